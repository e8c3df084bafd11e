// Defines the error of the fake storage server. Owns nothing; any thread.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_ERROR_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_ERROR_H_

#include <stdexcept>

namespace walnutspur::lab {

// Thrown if the server cannot be set up: its file, its memory or a listening socket is not available.
class StorageServerError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_ERROR_H_

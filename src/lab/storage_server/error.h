// The error of the storage server stand-in. Owns nothing; any thread.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_ERROR_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_ERROR_H_

#include <stdexcept>

namespace walnutspur::lab {

// The server cannot be set up: its file, its memory or a listening socket is missing.
class StorageServerError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_ERROR_H_

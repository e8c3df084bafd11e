// Exceptions thrown by the NBD code. Each message is a single line for operators.
#ifndef WALNUTSPUR_NBD_ERROR_H_
#define WALNUTSPUR_NBD_ERROR_H_

#include <stdexcept>

namespace walnutspur::nbd {

// The configuration file cannot be read, is invalid, or is inconsistent with the settings.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A blocking connection cannot be opened, has been closed, or has received no message within the timeout.
class ConnectionError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_ERROR_H_

// The errors that this folder throws. Their texts are single lines for operators.
#ifndef WALNUTSPUR_NBD_ERROR_H_
#define WALNUTSPUR_NBD_ERROR_H_

#include <stdexcept>

namespace walnutspur::nbd {

// A configuration file that cannot be read or does not fit the settings.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A blocking connection that cannot be opened, has ended, or stays silent for too long.
class ConnectionError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_ERROR_H_

// Exceptions that this folder throws. Each message is one line for an operator.
//
// All derive from std::runtime_error, so that main() and embedding programs can catch them as one.
#ifndef WALNUTSPUR_APP_ERRORS_H_
#define WALNUTSPUR_APP_ERRORS_H_

#include <stdexcept>

namespace walnutspur::app {

// The platform's configuration or a settings file cannot be read or is invalid.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The control socket cannot be opened, or no process responds on it.
class ControlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The fleet library cannot be loaded, or this process must leave its fleet.
class FleetError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A command of `walnutspur integrity` cannot be completed.
class IntegrityToolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The event loop cannot be created.
class EventLoopError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_ERRORS_H_

// The errors that the fleet's library throws.
#ifndef WALNUTSPUR_FLEET_ERROR_H_
#define WALNUTSPUR_FLEET_ERROR_H_

#include <stdexcept>

namespace walnutspur::fleet {

// The fleet cannot be joined with the given options; one line that names the option.
class FleetError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_ERROR_H_

// Declares the exception that the fleet library throws.
#ifndef WALNUTSPUR_FLEET_ERROR_H_
#define WALNUTSPUR_FLEET_ERROR_H_

#include <stdexcept>

namespace walnutspur::fleet {

// Reports that this process cannot join the fleet with the given options, in one line that names the option.
class FleetError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_ERROR_H_

// The Scheduler's settings as the simulator's protocol writes them; the platform's configuration uses the
// same form.
//
// Stateless.
#ifndef WALNUTSPUR_SIMULATOR_SETTINGS_H_
#define WALNUTSPUR_SIMULATOR_SETTINGS_H_

#include <nlohmann/json.hpp>

#include "walnutspur/scheduler.h"

namespace walnutspur::simulator {

// Throws std::exception if a field is missing or has another type.
Settings ParseSettings(const nlohmann::json& object);

}  // namespace walnutspur::simulator

#endif  // WALNUTSPUR_SIMULATOR_SETTINGS_H_

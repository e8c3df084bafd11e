// Parser of the Scheduler's settings in the JSON format of the simulator's protocol, which the platform's
// configuration uses as well.
//
// Stateless.
#ifndef WALNUTSPUR_SIMULATOR_SETTINGS_H_
#define WALNUTSPUR_SIMULATOR_SETTINGS_H_

#include <nlohmann/json.hpp>

#include "walnutspur/scheduler.h"

namespace walnutspur::simulator {

// Parses the settings. Throws std::exception if a required field is missing or a field has the wrong type.
Settings ParseSettings(const nlohmann::json& object);

}  // namespace walnutspur::simulator

#endif  // WALNUTSPUR_SIMULATOR_SETTINGS_H_

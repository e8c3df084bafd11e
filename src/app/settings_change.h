// Checks whether the platform's settings may be replaced by others while the process runs. Plain functions;
// any thread.
#ifndef WALNUTSPUR_APP_SETTINGS_CHANGE_H_
#define WALNUTSPUR_APP_SETTINGS_CHANGE_H_

#include <nlohmann/json.hpp>

namespace walnutspur::app {

// Throws ConfigError with the first key of the present settings that the next ones lack, or whose value has
// another type there: such a file is incomplete. New elements of a list need the keys that all present ones
// have.
void CheckKeys(const nlohmann::json& present, const nlohmann::json& next);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_SETTINGS_CHANGE_H_

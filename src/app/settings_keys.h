// Defines the keys of the settings file, by table: type, range, default and description of each.
//
// Immutable after the first call; callable from any thread.
#ifndef WALNUTSPUR_APP_SETTINGS_KEYS_H_
#define WALNUTSPUR_APP_SETTINGS_KEYS_H_

#include <vector>

#include "config/schema.h"

namespace walnutspur::app {

// Returns the keys in the order in which `walnutspur example` prints them.
const std::vector<config::Key>& SettingsKeys();

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_SETTINGS_KEYS_H_

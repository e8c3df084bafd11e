// Reads the [fleet] table of the settings file. Called on the thread that reads the file.
#ifndef WALNUTSPUR_APP_FLEET_SETTINGS_H_
#define WALNUTSPUR_APP_FLEET_SETTINGS_H_

#include <optional>
#include <vector>

#include "config/schema.h"
#include "fleet/fleet.h"

namespace walnutspur::app {

// Returns the options of the table, or nullopt if the table is missing or empty. Appends to `problems` the
// errors that the schema, which checks each key by itself, cannot detect.
std::optional<fleet::FleetOptions> ReadFleet(const config::Table& root,
                                             std::vector<config::Problem>* problems);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_FLEET_SETTINGS_H_

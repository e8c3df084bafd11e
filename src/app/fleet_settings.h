// The [fleet] table of the settings file. Called while the file is read, on the thread that reads it.
#ifndef WALNUTSPUR_APP_FLEET_SETTINGS_H_
#define WALNUTSPUR_APP_FLEET_SETTINGS_H_

#include <optional>
#include <vector>

#include "config/schema.h"
#include "fleet/fleet.h"

namespace walnutspur::app {

// The options of the table; empty if it is missing or sets nothing. Appends to `problems` what the schema of
// single keys can't express.
std::optional<fleet::FleetOptions> ReadFleet(const config::Table& root,
                                             std::vector<config::Problem>* problems);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_FLEET_SETTINGS_H_

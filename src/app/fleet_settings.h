// The [fleet] table of our own settings, checked as a whole; and the library that serves it.
#ifndef WALNUTSPUR_APP_FLEET_SETTINGS_H_
#define WALNUTSPUR_APP_FLEET_SETTINGS_H_

#include <memory>
#include <optional>
#include <vector>

#include "config/schema.h"
#include "fleet/fleet.h"

namespace walnutspur::app {

std::vector<config::Key> FleetKeys();

// What the table says; nothing if there is none, or if it says nothing. What no key alone can tell is wrong
// is put behind `problems`.
std::optional<fleet::FleetOptions> ReadFleet(const config::Table& root,
                                             std::vector<config::Problem>* problems);

// Loads libwalnutspur_fleet.so from beside the program and opens it. Throws std::runtime_error with one line.
std::unique_ptr<fleet::Fleet> OpenFleet(event_base* base, const fleet::FleetOptions& options,
                                        fleet::FleetHooks hooks);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_FLEET_SETTINGS_H_

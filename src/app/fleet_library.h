// Loads the fleet library. It is loaded only if the settings file has a [fleet] table.
//
// Called once, while the Initiator is constructed.
#ifndef WALNUTSPUR_APP_FLEET_LIBRARY_H_
#define WALNUTSPUR_APP_FLEET_LIBRARY_H_

#include <memory>

#include "fleet/fleet.h"

namespace walnutspur::app {

// Loads libwalnutspur_fleet.so from the program's folder or its parent folder, and joins the fleet. The
// library stays loaded until the process exits. Throws std::runtime_error (FleetError if it cannot be
// loaded).
std::unique_ptr<fleet::Fleet> OpenFleet(event_base* base, const fleet::FleetOptions& options,
                                        fleet::FleetHooks hooks);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_FLEET_LIBRARY_H_

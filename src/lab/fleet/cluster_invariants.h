// Checks the members' tables against the state of the simulated processes. Pure functions over the members of
// a SimulatedCluster.
#ifndef WALNUTSPUR_LAB_FLEET_CLUSTER_INVARIANTS_H_
#define WALNUTSPUR_LAB_FLEET_CLUSTER_INVARIANTS_H_

#include <string>
#include <vector>

#include "lab/fleet/simulated_member.h"

namespace walnutspur::lab {

// Returns the first violation of these invariants, or an empty string if there is none: all running members
// have the same table, in which exactly the running members are alive, and applying a member's reported
// changes in order gives its table.
std::string FindViolation(const std::vector<SimulatedMember>& members);

// Returns whether in each running member's table `name` has failed or left, or is missing.
bool IsDeadEverywhere(const std::vector<SimulatedMember>& members, const std::string& name);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_CLUSTER_INVARIANTS_H_

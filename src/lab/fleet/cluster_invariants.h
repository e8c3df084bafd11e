// Checks the members' tables against what the simulation knows to be true. Pure functions over a
// SimulatedCluster's members.
#ifndef WALNUTSPUR_LAB_FLEET_CLUSTER_INVARIANTS_H_
#define WALNUTSPUR_LAB_FLEET_CLUSTER_INVARIANTS_H_

#include <string>
#include <vector>

#include "lab/fleet/simulated_member.h"

namespace walnutspur::lab {

// The first violation of these, empty if there is none: all running members hold the same table, in which
// just the running members are alive, and each member's reported changes add up to its table.
std::string FindViolation(const std::vector<SimulatedMember>& members);

// Whether each running member holds `name` for failed or left, or does not know it.
bool IsDeadEverywhere(const std::vector<SimulatedMember>& members, const std::string& name);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_CLUSTER_INVARIANTS_H_

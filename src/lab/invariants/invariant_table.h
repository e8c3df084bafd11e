// Provides the table of all invariants that the lab checks.
#ifndef WALNUTSPUR_LAB_INVARIANTS_INVARIANT_TABLE_H_
#define WALNUTSPUR_LAB_INVARIANTS_INVARIANT_TABLE_H_

#include <span>

#include "lab/invariants/invariant.h"

namespace walnutspur::lab::invariants {

// Returns the invariants in the order in which they check an event.
std::span<const Invariant> AllInvariants();

}  // namespace walnutspur::lab::invariants

#endif  // WALNUTSPUR_LAB_INVARIANTS_INVARIANT_TABLE_H_

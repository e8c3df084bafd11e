// All invariants of the platform that the laboratory judges.
#ifndef WALNUTSPUR_LAB_INVARIANTS_INVARIANT_TABLE_H_
#define WALNUTSPUR_LAB_INVARIANTS_INVARIANT_TABLE_H_

#include <span>

#include "lab/invariants/invariant.h"

namespace walnutspur::lab::invariants {

// In the order in which they judge an event.
std::span<const Invariant> AllInvariants();

}  // namespace walnutspur::lab::invariants

#endif  // WALNUTSPUR_LAB_INVARIANTS_INVARIANT_TABLE_H_

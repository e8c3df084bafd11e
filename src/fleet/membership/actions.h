// What the caller of a Membership has to do, in the order of the returned actions. Plain values without an
// owner or a thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_ACTIONS_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fleet/membership/message.h"

namespace walnutspur::fleet {

struct SendDatagram {
  std::string address;
  Message message;
};

// Call Membership::HandleTimer with this id after `delay` microseconds.
struct StartTimer {
  std::uint64_t id = 0;
  Time delay = 0;
};

// One change of one member. Incarnations of a name never decrease, each change is reported once, and a reader
// that applies the changes in order of `number` has the same records as the member table.
struct MemberChanged {
  std::uint64_t sequence_number = 0;
  Record record;
};

// A member that failed or left long ago was removed from the table.
struct MemberRemoved {
  std::string name;
};

// Whether all members are known to have the same table.
struct ConvergenceChanged {
  bool converged = false;
};

// An older process has this member's name: this process has to terminate.
struct NameConflict {
  std::string error;
};

using Action =
    std::variant<SendDatagram, StartTimer, MemberChanged, MemberRemoved, ConvergenceChanged, NameConflict>;

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_ACTIONS_H_

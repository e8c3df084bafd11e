// Declares the actions that a Membership returns and its caller must execute in the given order. Plain values
// without an owner or a thread.
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

// Requests a call of Membership::HandleTimer with this id after `delay` microseconds.
struct StartTimer {
  std::uint64_t id = 0;
  Time delay = 0;
};

// Reports one change of one member. Incarnations of a name never decrease, each change is reported once, and
// a reader that applies the changes in the order of `sequence_number` has the same records as the member
// table.
struct MemberChanged {
  std::uint64_t sequence_number = 0;
  Record record;
};

// Reports that a member that failed or left long ago was removed from the table.
struct MemberRemoved {
  std::string name;
};

// Reports whether all members are known to have the same table.
struct ConvergenceChanged {
  bool converged = false;
};

// Reports that an older process has this member's name, so this process must terminate.
struct NameConflict {
  std::string error;
};

using Action =
    std::variant<SendDatagram, StartTimer, MemberChanged, MemberRemoved, ConvergenceChanged, NameConflict>;

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_ACTIONS_H_

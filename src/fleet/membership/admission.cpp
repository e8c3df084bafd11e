#include "fleet/membership/admission.h"

#include <utility>

namespace walnutspur::fleet {

bool Admission::Admit(const Message& message) {
  if (message.from.empty() || message.from.size() > kMaxNameLength) {
    return false;
  }
  if (message.from == state_.table.self_name()) {
    ResolveNameConflict(message);
    return false;
  }
  const Record* known = state_.table.Find(message.from);
  if (!known) {
    return true;
  }
  if (message.started_at < known->started_at) {
    ++state_.counters.earlier_process;
    return false;
  }
  // A new process assigns sequence numbers from 1 again; UpdateHandler decides whether it is accepted.
  if (message.started_at > known->started_at) {
    return true;
  }
  if (message.incarnation > known->incarnation) {
    state_.replays.Set(message.from, message.sequence_number);
    return true;
  }
  if (!state_.replays.Accept(message.from, message.sequence_number)) {
    ++state_.counters.replayed;
    return false;
  }
  return true;
}

void Admission::ResolveNameConflict(const Message& message) {
  const Record& self = state_.table.self();
  if (message.from_address == self.address || message.started_at <= 0) {
    return;  // this member's own datagram
  }
  const bool sender_is_older = message.started_at < self.started_at ||
                               (message.started_at == self.started_at && message.from_address < self.address);
  if (!sender_is_older) {
    Message conflict;
    conflict.kind = MessageKind::kConflict;
    sender_.Send(message.from_address, std::move(conflict), Piggyback::kNone);
  } else if (message.kind == MessageKind::kConflict) {
    state_.terminated = true;
    state_.actions.emplace_back(
        NameConflict{"the name " + self.name + " is in use at " + message.from_address +
                     " by a process that started earlier; initiator names must be unique within a fleet"});
  }
}

}  // namespace walnutspur::fleet

#include "fleet/membership/update_handler.h"

#include <utility>

namespace walnutspur::fleet {
namespace {

// Maximum live members in the table; further ones are not stored.
constexpr int kMaxLiveMembers = 4096;
// Maximum time by which an incarnation or a start time may lie in the future, us, because members' clocks
// differ.
constexpr Time kMaxClockSkew = 3'600'000'000;

}  // namespace

void UpdateHandler::ApplyUpdate(const Record& update) {
  if (update.name.empty() || update.name.size() > kMaxNameLength) {
    return;
  }
  if (IsForged(update)) {
    ++state_.counters.forged;
    return;
  }
  if (update.name == state_.table.self_name()) {
    ApplyUpdateOfSelf(update);
    return;
  }
  const Record* found = state_.table.Find(update.name);
  if (!found) {
    AddMember(update);
    return;
  }
  const Record known = *found;
  if (update.incarnation == known.incarnation) {
    MergeSameIncarnation(known, update);
  } else if (update.incarnation > known.incarnation) {
    ReplaceIncarnation(known, update);
  }
}

// Returns whether the update cannot come from a member: an incarnation starts as the start time of a process
// and is incremented by one, so a genuine one never lies far in the future.
bool UpdateHandler::IsForged(const Record& update) const {
  const Time latest = state_.timers.now() + kMaxClockSkew;
  return update.incarnation > static_cast<std::uint64_t>(latest) || update.started_at > latest;
}

void UpdateHandler::AddMember(const Record& update) {
  const bool live = !IsDead(update.state);
  if (live && state_.table.live_count() >= kMaxLiveMembers) {
    ++state_.counters.table_full;
    return;
  }
  if (live) {
    lifecycle_.StoreAndBroadcast(update);
  } else {
    lifecycle_.Store(update);
  }
  if (update.state == MemberState::kSuspect) {
    lifecycle_.ConfirmSuspicion(update.name, update.reported_by);
  }
}

void UpdateHandler::MergeSameIncarnation(const Record& known, const Record& update) {
  if (update.state == MemberState::kSuspect && known.state == MemberState::kSuspect) {
    lifecycle_.ConfirmSuspicion(update.name, update.reported_by);
  }
  Record next = known;
  const bool newer_facts = update.facts.version > known.facts.version;
  if (newer_facts) {
    next.facts = update.facts;
  }
  if (update.state > known.state) {
    next.state = update.state;
    next.reported_by = update.reported_by;
  }
  if (!newer_facts && next.state == known.state) {
    return;
  }
  if (next.state == MemberState::kSuspect && known.state == MemberState::kAlive) {
    if (newer_facts) {
      lifecycle_.Store(next);
    }
    lifecycle_.Suspect(update.name, update.reported_by);
  } else if (next.state == MemberState::kFailed && known.state != MemberState::kFailed) {
    lifecycle_.DeclareFailed(update.name, update.reported_by);
  } else {
    lifecycle_.StoreAndBroadcast(next);
  }
}

void UpdateHandler::ReplaceIncarnation(const Record& known, const Record& update) {
  // A later start time at another address may be a second process with the same name. The update is accepted
  // once the known process is dead, so that process is probed out of turn.
  if (update.address != known.address && !IsDead(known.state)) {
    state_.schedule.ProbeOutOfTurnOnce(known.name);
    return;
  }
  if (update.started_at > known.started_at) {
    state_.replays.Set(update.name, 0);
  }
  Record next = update;
  if (next.state == MemberState::kSuspect) {
    next.state = MemberState::kAlive;
  }
  lifecycle_.StoreAndBroadcast(next);
  if (update.state == MemberState::kSuspect) {
    lifecycle_.Suspect(update.name, update.reported_by);
  }
}

// Refutes false updates about this member: that it is suspect or dead, or that it has facts that it never
// published.
void UpdateHandler::ApplyUpdateOfSelf(const Record& update) {
  if (state_.left) {
    return;
  }
  const Record& self = state_.table.self();
  if (update.address != self.address && !IsDead(update.state)) {
    // The update is about another process with this name, or an earlier process of this member. The address
    // is pinged, since only a message from that process shows that it still runs.
    Message ping;
    ping.kind = MessageKind::kPing;
    ping.target = self.name;
    sender_.Send(update.address, std::move(ping), Piggyback::kNone);
  }
  if (update.incarnation < self.incarnation) {
    return;
  }
  const bool is_true = update.incarnation == self.incarnation && update.state == MemberState::kAlive &&
                       update.facts.version <= self.facts.version && update.started_at == self.started_at;
  if (is_true) {
    return;
  }
  ++state_.counters.refuted;
  if (update.state == MemberState::kSuspect) {
    state_.health.Adjust(1);
  }
  lifecycle_.IncrementIncarnation(update.incarnation);
}

}  // namespace walnutspur::fleet

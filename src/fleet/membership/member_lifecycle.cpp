#include "fleet/membership/member_lifecycle.h"

#include <algorithm>

namespace walnutspur::fleet {
namespace {

// Time for which a dead member stays in the table, us.
constexpr Time kTombstoneAge = 600'000'000;
// Maximum dead members in the table.
constexpr int kMaxDeadMembers = 1024;
// Fraction of the members whose failure within kPartitionWindow indicates that this member is partitioned
// from them.
constexpr double kPartitionFraction = 0.25;
// Minimum number of failures that indicates a partition.
constexpr int kMinPartitionFailures = 2;
// Window within which failures are counted, us.
constexpr Time kPartitionWindow = 10'000'000;
// Expected number of members that probe a suspect out of turn when they are notified of the suspicion.
constexpr double kSuspectProbes = 8;

}  // namespace

void MemberLifecycle::Store(const Record& record) {
  const MemberTable::StoreResult result = state_.table.Store(record, state_.timers.now());
  if (result.transitioned) {
    CancelTombstone(record.name);
    suspicions_.Clear(record.name);
  }
  state_.actions.emplace_back(MemberChanged{next_change_number_++, record});
  state_.convergence.Reset();
  if (record.name == state_.table.self_name()) {
    return;
  }
  if (!IsDead(record.state)) {
    if (result.is_new || result.was_dead) {
      state_.schedule.Add(record.name);
    }
  } else if (result.transitioned) {
    StartTombstone(record.name);
  }
}

void MemberLifecycle::StoreAndBroadcast(const Record& record) {
  Store(record);
  disseminator_.Broadcast(record.name);
}

void MemberLifecycle::Suspect(const std::string& name, const std::string& reporter) {
  const Record* known = state_.table.Find(name);
  if (!known || known->state != MemberState::kAlive) {
    return;
  }
  Record next = *known;
  next.state = MemberState::kSuspect;
  next.reported_by = reporter;
  Store(next);
  ConfirmSuspicion(name, reporter);
  disseminator_.Broadcast(name);
  // Members that are notified of a suspicion probe the suspect themselves: all of them in a small fleet, a
  // random subset in a large one.
  if (reporter != state_.table.self_name() && state_.draw() * state_.table.live_count() < kSuspectProbes) {
    state_.schedule.ProbeOutOfTurn(name);
  }
}

void MemberLifecycle::ConfirmSuspicion(const std::string& name, const std::string& reporter) {
  if (!suspicions_.Confirm(name, reporter)) {
    return;
  }
  // Each confirmation is broadcast with its own reporter, because only distinct reporters shorten the
  // timeout.
  state_.table.SetReporter(name, reporter);
  if (suspicions_.confirmations(name) > 1) {
    disseminator_.Broadcast(name);
  }
  const std::uint64_t incarnation = state_.table.Get(name).incarnation;
  suspicions_.StartTimer(name, [this, name, incarnation](Time) { OnSuspicionTimeout(name, incarnation); });
}

void MemberLifecycle::OnSuspicionTimeout(const std::string& name, std::uint64_t incarnation) {
  const Record* known = state_.table.Find(name);
  if (!known || known->state != MemberState::kSuspect || known->incarnation != incarnation) {
    return;
  }
  // A refutation that arrived during a stall may still be unread, so the suspicion is restarted.
  if (state_.health.StalledSince(suspicions_.started_at(name))) {
    suspicions_.Clear(name);
    ConfirmSuspicion(name, state_.table.self_name());
    return;
  }
  DeclareFailed(name, state_.table.self_name());
}

void MemberLifecycle::DeclareFailed(const std::string& name, const std::string& reporter) {
  Record next = state_.table.Get(name);
  next.state = MemberState::kFailed;
  next.reported_by = reporter;
  StoreAndBroadcast(next);
  RefuteIfPartitioned();
}

// Increments this member's incarnation if many members fail at once: it is more likely that this member is
// partitioned from them, and that they have declared it failed as well. The members on this side have the new
// incarnations when the partition ends, so one comparison of digests makes all of them alive on the other
// side, without one refutation for each.
void MemberLifecycle::RefuteIfPartitioned() {
  const Time now = state_.timers.now();
  if (now - recent_failures_since_ > kPartitionWindow) {
    recent_failures_since_ = now;
    recent_failures_ = 0;
  }
  ++recent_failures_;
  const double threshold = std::max<double>(
      kMinPartitionFailures, kPartitionFraction * (state_.table.live_count() + recent_failures_));
  if (recent_failures_ < threshold || state_.left) {
    return;
  }
  recent_failures_ = 0;
  IncrementIncarnation(state_.table.self().incarnation);
}

void MemberLifecycle::IncrementIncarnation(std::uint64_t above) {
  Record self = state_.table.self();
  self.incarnation = std::max(self.incarnation, above) + 1;
  self.facts.version = 0;
  StoreAndBroadcast(self);
}

void MemberLifecycle::StartTombstone(const std::string& name) {
  tombstone_timers_[name] = state_.timers.Start(kTombstoneAge, [this, name](Time) { Remove(name); });
  if (state_.table.dead_count() <= kMaxDeadMembers) {
    return;
  }
  // The limit prevents names that are used once each from exhausting the memory.
  const std::string oldest = state_.table.OldestDead(name);
  if (!oldest.empty()) {
    Remove(oldest);
  }
}

void MemberLifecycle::CancelTombstone(const std::string& name) {
  const auto at = tombstone_timers_.find(name);
  if (at == tombstone_timers_.end()) {
    return;
  }
  state_.timers.Cancel(at->second);
  tombstone_timers_.erase(at);
}

void MemberLifecycle::Remove(const std::string& name) {
  const Record* known = state_.table.Find(name);
  if (!known || !IsDead(known->state)) {
    return;
  }
  CancelTombstone(name);
  state_.table.Remove(name);
  state_.broadcasts.Remove(name);
  state_.convergence.Remove(name);
  state_.replays.Remove(name);
  state_.actions.emplace_back(MemberRemoved{name});
}

}  // namespace walnutspur::fleet

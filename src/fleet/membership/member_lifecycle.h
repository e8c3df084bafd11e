// Applies the state transitions of members: alive, suspect, failed, left and removed. The only writer of the
// member table.
//
// Failures and their guards:
// - A late update about a member that failed or left would make it alive again. Dead members stay in the
//   table as tombstones for longer than updates circulate, and their incarnation overrides late updates.
// - This process was stopped while a suspicion was running, and the refutation is still unread in its socket.
//   The suspicion is restarted, and the member is not declared failed yet.
// - This member is partitioned from others. Each side declares the members of the other side failed, and
// after
//   the partition each member would need one refutation. This member refutes its own failure in advance, with
//   a new incarnation.
// - Names that are used once each (processes with random names) would exhaust the memory. The number of dead
//   members is bounded; the one that has been dead for longest is removed first.
//
// A component of a Membership, used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_LIFECYCLE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_LIFECYCLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "fleet/membership/disseminator.h"
#include "fleet/membership/membership_state.h"
#include "fleet/membership/suspicion_tracker.h"

namespace walnutspur::fleet {

class MemberLifecycle {
 public:
  MemberLifecycle(MembershipState& state, Disseminator& disseminator)
      : state_(state), disseminator_(disseminator), suspicions_(state) {}

  // Stores a record and reports the change to the caller, without a broadcast.
  void Store(const Record& record);
  void StoreAndBroadcast(const Record& record);
  // Makes an alive member suspect; has no effect on a member in another state.
  void Suspect(const std::string& name, const std::string& reporter);
  // Counts a further confirmation of a running suspicion.
  void ConfirmSuspicion(const std::string& name, const std::string& reporter);
  void DeclareFailed(const std::string& name, const std::string& reporter);
  // Refutes all updates about this member's incarnations up to `above`, with a higher incarnation.
  void IncrementIncarnation(std::uint64_t above);
  // Returns the number of entries outside the table, for tests of memory bounds.
  std::size_t size() const { return suspicions_.size() + tombstone_timers_.size(); }

 private:
  void OnSuspicionTimeout(const std::string& name, std::uint64_t incarnation);
  void RefuteIfPartitioned();
  void StartTombstone(const std::string& name);
  void CancelTombstone(const std::string& name);
  void Remove(const std::string& name);

  MembershipState& state_;
  Disseminator& disseminator_;
  SuspicionTracker suspicions_;
  std::unordered_map<std::string, std::uint64_t> tombstone_timers_;  // by name of a dead member
  std::uint64_t next_change_number_ = 1;
  int recent_failures_ = 0;  // members declared failed since recent_failures_since_
  Time recent_failures_since_ = 0;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_LIFECYCLE_H_

// Cordon table: the targets that operators have taken out of service, as an overlay on the endpoint list.
//
// A cordoned target counts as draining, whatever discovery lists, until its cordon is ended. Owned by the
// engine, used on the scheduler thread. Uses no I/O, clock, thread or randomness.
#ifndef WALNUTSPUR_DECISION_CORDON_TABLE_H_
#define WALNUTSPUR_DECISION_CORDON_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>

#include "limits/recent_ids.h"
#include "walnutspur/events.h"

namespace walnutspur::decision {

class CordonTable {
 public:
  // Records the endpoints of an update from discovery. A target that is no longer listed stays known. Returns
  // the update with the cordoned targets that are listed as active changed to draining.
  EndpointUpdate Overlay(EndpointUpdate update);

  // Cordons a target at `now`, or keeps the cordon that it has. Returns the endpoints that change, or nullopt
  // if no list has ever contained the target.
  std::optional<EndpointUpdate> Cordon(const TargetId& target, Time now);

  // Cordons a target that a former process of this initiator had cordoned, listed or not.
  EndpointUpdate Adopt(const TargetId& target, Time now);

  // Ends the cordon of a target at `now`; has no effect if it has none. Returns the endpoints that change, or
  // nullopt if no list has ever contained the target.
  std::optional<EndpointUpdate> Uncordon(const TargetId& target, Time now);

  bool IsCordoned(const TargetId& target) const { return cordoned_.contains(target); }
  // Returns the number of entries that depend on the endpoint list and the cordons. The ids of removed
  // targets are bounded by a constant and not counted.
  std::size_t table_entries() const { return listed_.size() + cordoned_.size(); }

 private:
  bool IsKnown(const TargetId& target) const;
  // Returns an update that sets the state of a target, or an empty one if the target is not listed as active:
  // then neither a cordon nor its end changes its state.
  EndpointUpdate ChangeOf(const TargetId& target, EndpointState state) const;
  void Remove(const TargetId& target);

  std::map<TargetId, Endpoint> listed_;  // the entries of the present list
  limits::RecentIds removed_;            // targets of former lists
  std::map<TargetId, Time> cordoned_;    // since when, by target
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_CORDON_TABLE_H_

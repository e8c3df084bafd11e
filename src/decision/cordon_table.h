// Cordon table: the targets that operators have taken out of service, as an overlay on the endpoint list.
//
// A cordoned target counts as draining, whatever discovery lists, until its cordon is ended. Owned by the
// engine, used on the scheduler thread. Uses no I/O, clock, thread or randomness.
#ifndef WALNUTSPUR_DECISION_CORDON_TABLE_H_
#define WALNUTSPUR_DECISION_CORDON_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>

#include "walnutspur/events.h"

namespace walnutspur::decision {

class CordonTable {
 public:
  // Records the endpoints of an update from discovery. Returns the update with the cordoned targets that are
  // listed as active changed to draining.
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
  std::size_t table_entries() const { return listed_.size() + cordoned_.size(); }

 private:
  // Cordons a target of listed_.
  EndpointUpdate CordonListed(const Endpoint& listed, Time now);

  std::map<TargetId, Endpoint> listed_;  // the latest entry of each target that was ever listed
  std::map<TargetId, Time> cordoned_;    // since when, by target
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_CORDON_TABLE_H_

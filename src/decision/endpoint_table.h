// Endpoint table: the targets by id, and the target that holds each shard.
//
// A shard keeps its last target, active or not, until another target takes over, since the last target's
// record provides the initial estimates for the next one. Owned by the SchedulerState, used on the scheduler
// thread. References stay valid until EvictTerminated.
#ifndef WALNUTSPUR_DECISION_ENDPOINT_TABLE_H_
#define WALNUTSPUR_DECISION_ENDPOINT_TABLE_H_

#include <cstddef>
#include <map>

#include "decision/target.h"

namespace walnutspur::decision {

class EndpointTable {
 public:
  // Returns the target with this id, or null.
  TargetState* Find(const TargetId& id);

  // Returns the target with this id, and creates it if there is none.
  TargetState& FindOrAdd(const TargetId& id) { return targets_[id]; }

  // Returns the active target that holds a shard, or null.
  TargetState* ActiveTarget(int shard) const;

  // Returns the last known target of a shard, active or not, or null.
  TargetState* LatestTarget(int shard) const;

  // Makes an active target the holder of its shard.
  void AssignShard(TargetState& target) { holders_[target.shard] = &target; }

  // Marks all targets as terminated. Called before a complete list is applied.
  void TerminateAll();

  // Assigns each shard whose holder is not active to another active target of the shard. Called after a list
  // is applied.
  void ReassignShards();

  // Records that discovery has sent a list, or a change of it, that is current at `now`.
  void OnListReceived(Time now) { list_received_at_ = now; }

  // Returns the time of the latest list that discovery has sent; 0: none yet.
  Time list_received_at() const { return list_received_at_; }

  // Returns all targets by id. Callers may change the records but must not add or remove targets.
  std::map<TargetId, TargetState>& targets() { return targets_; }
  const std::map<TargetId, TargetState>& targets() const { return targets_; }

  // Returns the last known target of each shard.
  const std::map<int, TargetState*>& holders() const { return holders_; }

  // Removes the targets that are terminated, have no attempt in flight and hold no shard.
  void EvictTerminated();

  // Returns the number of entries in the table and its records.
  std::size_t table_entries() const;

 private:
  std::map<TargetId, TargetState> targets_;
  std::map<int, TargetState*> holders_;
  Time list_received_at_ = 0;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINT_TABLE_H_

// Endpoint table: the targets by id, and which of them holds each shard.
//
// A shard keeps its last target, active or not, until another one takes over: its record says what to expect
// of the next. Owned by the SchedulerState, used on its thread; references stay valid until EvictTerminated.
#ifndef WALNUTSPUR_DECISION_ENDPOINT_TABLE_H_
#define WALNUTSPUR_DECISION_ENDPOINT_TABLE_H_

#include <cstddef>
#include <map>

#include "decision/target.h"

namespace walnutspur::decision {

class EndpointTable {
 public:
  // The target with this id, or null.
  TargetState* Find(const TargetId& id);

  // The target with this id, created if there is none.
  TargetState& FindOrAdd(const TargetId& id) { return targets_[id]; }

  // The active target that holds a shard, or null.
  TargetState* ActiveTarget(int shard) const;

  // The last known target of a shard, active or not, or null.
  TargetState* LatestTarget(int shard) const;

  // Makes an active target the holder of the shard that it states.
  void AssignShard(TargetState& target) { holders_[target.shard] = &target; }

  // Before a complete list is applied: marks all targets as terminated.
  void TerminateAll();

  // After a list has been applied: a shard whose holder is not active passes to another active target of it.
  void ReassignShards();

  // Records that discovery has sent a list, or a change of it, that is current at `now`.
  void OnListReceived(Time now) { list_received_at_ = now; }

  // Time of the latest list that discovery has sent; 0: none yet.
  Time list_received_at() const { return list_received_at_; }

  // All targets by id. Records may be changed, targets are neither added nor removed here.
  std::map<TargetId, TargetState>& targets() { return targets_; }
  const std::map<TargetId, TargetState>& targets() const { return targets_; }

  // The last known target of each shard.
  const std::map<int, TargetState*>& holders() const { return holders_; }

  // Removes the targets that are terminated, have no attempt in flight and hold no shard.
  void EvictTerminated();

  // Number of entries in the table and its records.
  std::size_t table_entries() const;

 private:
  std::map<TargetId, TargetState> targets_;
  std::map<int, TargetState*> holders_;
  Time list_received_at_ = 0;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINT_TABLE_H_

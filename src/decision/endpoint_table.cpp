#include "decision/endpoint_table.h"

#include <set>

namespace walnutspur::decision {

TargetState* EndpointTable::Find(const TargetId& id) {
  const auto found = targets_.find(id);
  return found != targets_.end() ? &found->second : nullptr;
}

TargetState* EndpointTable::LatestTarget(int shard) const {
  const auto found = holders_.find(shard);
  return found != holders_.end() ? found->second : nullptr;
}

TargetState* EndpointTable::ActiveTarget(int shard) const {
  TargetState* target = LatestTarget(shard);
  return target != nullptr && target->active ? target : nullptr;
}

void EndpointTable::TerminateAll() {
  for (auto& [id, target] : targets_) {
    target.active = false;
    target.terminated = true;
  }
}

void EndpointTable::ReassignShards() {
  for (auto& [id, target] : targets_) {
    if (target.active && ActiveTarget(target.shard) == nullptr) {
      AssignShard(target);
    }
  }
}

void EndpointTable::EvictTerminated() {
  std::set<const TargetState*> in_use;
  for (const auto& [shard, target] : holders_) {
    in_use.insert(target);
  }
  std::erase_if(targets_, [&](const auto& entry) {
    const TargetState& target = entry.second;
    return target.terminated && target.attempts.empty() && !in_use.contains(&target);
  });
}

std::size_t EndpointTable::table_entries() const {
  std::size_t count = targets_.size();
  for (const auto& [id, target] : targets_) {
    count += target.attempts.size() + target.slow_start.table_entries();
  }
  return count;
}

}  // namespace walnutspur::decision

#include "decision/flow_table.h"

namespace walnutspur::decision {

void FlowTable::Enqueue(const RequestRef& request, Volume* volume, int shard, QueuePosition position,
                        std::size_t class_count) {
  ShardFlows& flows = shards_[shard];
  Flow& flow = flows.by_volume[volume->number];
  if (flow.volume == nullptr) {
    flow.volume = volume;
    flow.shard = shard;
  }
  if (flow.queues.size() < class_count) {
    flow.queues.resize(class_count);
  }
  request->flow = &flow;
  ++flows.queued;
  auto& queue = flow.queues[request->class_index];
  if (position == QueuePosition::kFront) {
    queue.push_front(request);
  } else {
    queue.push_back(request);
  }
}

void FlowTable::Remove(const RequestRef& request) {
  if (request->flow != nullptr) {
    Flow& flow = *request->flow;
    shards_[flow.shard].queued -= std::erase(flow.queues[request->class_index], request);
  }
}

void FlowTable::EvictIdle(const std::set<const Flow*>& in_use, Time idle_since) {
  for (auto& [shard, flows] : shards_) {
    std::erase_if(flows.by_volume, [&](const auto& entry) {
      return !in_use.contains(&entry.second) && entry.second.last_arrival < idle_since;
    });
  }
}

std::size_t FlowTable::flow_count() const {
  std::size_t count = 0;
  for (const auto& [shard, flows] : shards_) {
    count += flows.by_volume.size();
  }
  return count;
}

}  // namespace walnutspur::decision

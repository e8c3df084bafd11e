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
  ++flow.queued;
  ++flows.queued;
  flows.waiting[volume->number] = &flow;
  auto& queue = flow.queues[request->class_index];
  if (position == QueuePosition::kFront) {
    queue.insert(queue.begin(), request);
  } else {
    queue.push_back(request);
  }
}

void FlowTable::Remove(const RequestRef& request) {
  if (request->flow == nullptr) {
    return;
  }
  Flow& flow = *request->flow;
  ShardFlows& flows = shards_[flow.shard];
  const std::size_t removed = std::erase(flow.queues[request->class_index], request);
  flow.queued -= removed;
  flows.queued -= removed;
  if (flow.queued == 0) {
    flows.waiting.erase(flow.volume->number);
  }
}

bool FlowTable::Contains(int shard, int volume_number) const {
  const auto flows = shards_.find(shard);
  return flows != shards_.end() && flows->second.by_volume.contains(volume_number);
}

void FlowTable::EvictIdle(const std::set<const Flow*>& in_use, Time idle_since) {
  for (auto& [shard, flows] : shards_) {
    const auto is_idle = [&](const auto& entry) {
      const Flow& flow = entry.second;
      return !in_use.contains(&flow) && flow.last_arrival < idle_since;
    };
    std::map<int, Flow>& by_volume = flows.by_volume;
    std::erase_if(flows.waiting, [&](const auto& entry) { return is_idle(*by_volume.find(entry.first)); });
    std::erase_if(by_volume, is_idle);
  }
  std::erase_if(shards_, [](const auto& entry) { return entry.second.by_volume.empty(); });
}

std::size_t FlowTable::flow_count() const {
  std::size_t count = 0;
  for (const auto& [shard, flows] : shards_) {
    count += flows.by_volume.size();
  }
  return count;
}

}  // namespace walnutspur::decision

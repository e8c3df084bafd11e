#include "decision/object_locations.h"

namespace walnutspur::decision {

void ObjectLocations::Add(const std::string& name, int shard) {
  if (!shards_.insert_or_assign(name, shard).second) {
    return;
  }
  order_.push_back(name);
  if (order_.size() > kMaxObjectLocations) {
    shards_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<int> ObjectLocations::Find(const std::string& name) const {
  const auto found = shards_.find(name);
  return found == shards_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace walnutspur::decision

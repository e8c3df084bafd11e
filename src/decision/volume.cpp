#include "decision/volume.h"

#include <algorithm>

namespace walnutspur::decision {

Volume& VolumeTable::FindOrAdd(const std::string& name) {
  const auto [entry, is_new] = volumes_.try_emplace(name);
  Volume& volume = entry->second;
  if (is_new) {
    ++added_count_;
    volume.number = added_count_;
  }
  return volume;
}

const Volume* VolumeTable::Find(const std::string& name) const {
  const auto entry = volumes_.find(name);
  return entry != volumes_.end() ? &entry->second : nullptr;
}

void VolumeTable::EndInterval(double seconds) {
  for (auto& [name, volume] : volumes_) {
    volume.demand.EndInterval(seconds);
  }
}

double VolumeTable::SumPresentDemand(double initial_sum) const {
  double total = initial_sum;
  for (const auto& [name, volume] : volumes_) {
    total += volume.demand.CurrentDemand();
  }
  return total;
}

void VolumeTable::EvictIdle(const std::set<const Volume*>& in_use, Time now, Time idle_time) {
  std::erase_if(volumes_, [&](const auto& entry) {
    const Volume& volume = entry.second;
    const Plan& plan = *volume.plan;
    const Time refill_time = plan.limit > 0 ? ToTime(plan.burst / plan.limit * kSecond) : 0;
    return !in_use.contains(&volume) && now - volume.last_arrival > std::max(idle_time, refill_time);
  });
}

}  // namespace walnutspur::decision

// Volume table: the credit and demand of each volume, by the name that requests state.
//
// Owned by the SchedulerState, used on the scheduler thread. References stay valid until EvictIdle.
#ifndef WALNUTSPUR_DECISION_VOLUME_H_
#define WALNUTSPUR_DECISION_VOLUME_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "limits/duration.h"
#include "limits/rate_meter.h"
#include "limits/token_bucket.h"
#include "walnutspur/settings.h"

namespace walnutspur::decision {

// One volume.
struct Volume {
  int number = 0;              // assigned in order of first arrival; 0: not assigned yet
  const Plan* plan = nullptr;  // null: not assigned yet
  int initiator_count = 1;
  limits::TokenBucket reserve;  // credit of the volume's reserved rate
  limits::TokenBucket limit;    // credit of this instance's share of the volume's limit
  Time refilled_at = 0;
  limits::RateMeter demand;
  double usage = 0;    // latest reported fleet-wide rate, divided by the plan's rate
  Time usage_at = -1;  // time of that report; -1: none yet
  Time last_arrival = 0;
};

// All volumes, ordered by name.
class VolumeTable {
 public:
  // Returns the volume with this name. An unknown volume is added without a plan, with the next number.
  Volume& FindOrAdd(const std::string& name);

  // Returns the volume with this name, or null.
  const Volume* Find(const std::string& name) const;

  // Ends a measurement interval of `seconds` for the demand of all volumes.
  void EndInterval(double seconds);

  // Returns `initial_sum` plus the present demand of all volumes, units per second.
  double SumPresentDemand(double initial_sum) const;

  // Removes the volumes that are not `in_use`, have had no request for `idle_time`, and whose limit's bucket
  // has had time to fill: a volume that is added again gets no more credit than one that was kept.
  void EvictIdle(const std::set<const Volume*>& in_use, Time now, Time idle_time);

  std::size_t size() const { return volumes_.size(); }
  bool contains(const std::string& name) const { return volumes_.contains(name); }

 private:
  std::map<std::string, Volume> volumes_;
  int added_count_ = 0;  // volumes added so far
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_VOLUME_H_

// Records of volumes: the credit of one volume, and the table of all volumes by the name that requests carry.
//
// Owned by the SchedulerState, used on its thread; references stay valid until EvictIdle.
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
  int number = 0;              // in order of first arrival; 0: not known yet
  const Plan* plan = nullptr;  // null: not known yet
  int initiator_count = 1;
  limits::TokenBucket reserve;  // the volume's reserved rate
  limits::TokenBucket limit;    // this instance's part of the volume's limit
  Time refilled_at = 0;
  limits::RateMeter demand;
  double usage = 0;    // fleet-wide rate over the plan's rate
  Time usage_at = -1;  // of that report; -1: none yet
  Time last_arrival = 0;
};

// All volumes, in order of their names.
class VolumeTable {
 public:
  // The volume with this name. One that is not known is added without a plan, under the next number.
  Volume& FindOrAdd(const std::string& name);

  // Ends an interval of `seconds` of all volumes' demand.
  void EndInterval(double seconds);

  // Adds the present demand of all volumes to `initial_sum`, units a second.
  double SumPresentDemand(double initial_sum) const;

  // Removes the volumes that are not `in_use`, have had no request for `idle_time`, and whose limit's bucket
  // has had time to fill up: a volume that comes back finds no more credit than one that stayed.
  void EvictIdle(const std::set<const Volume*>& in_use, Time now, Time idle_time);

  std::size_t size() const { return volumes_.size(); }
  bool contains(const std::string& name) const { return volumes_.contains(name); }

 private:
  std::map<std::string, Volume> volumes_;
  int seen_ = 0;  // volumes added so far
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_VOLUME_H_

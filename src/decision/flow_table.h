// Index of the flows: the queued requests of each volume at each shard.
//
// Holds queues and finds them; what is queued where and what leaves next is decided by the callers. Owned by
// the SchedulerState, used on its thread.
#ifndef WALNUTSPUR_DECISION_FLOW_TABLE_H_
#define WALNUTSPUR_DECISION_FLOW_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "decision/request.h"
#include "decision/volume.h"
#include "limits/fair_queue.h"
#include "limits/rate_meter.h"
#include "limits/token_bucket.h"

namespace walnutspur::decision {

// Requests of one volume at one shard.
struct Flow {
  Volume* volume = nullptr;
  int shard = 0;
  std::vector<std::deque<RequestRef>> queues;  // one for each request class
  limits::FlowTag tag;
  Time last_arrival = 0;
  double throttle = 0;  // units a second; 0: not throttled
  limits::TokenBucket throttle_bucket;
  Time refilled_at = 0;
  limits::RateMeter demand;
  double lateness = 0;  // sum of latency over latency objective, since the last interval
  int samples = 0;      // terms of that sum

  // Counts a request that took `latency` (us) under an objective (us).
  void RecordLateness(Time latency, Time objective) {
    lateness += static_cast<double>(latency) / static_cast<double>(objective);
    ++samples;
  }
};

// Flows of one shard.
struct ShardFlows {
  std::map<int, Flow> by_volume;  // by Volume::number, an order that does not depend on addresses
  std::size_t queued = 0;         // requests in all queues

  // Calls `visit` with each queued request, in the order of volumes, classes and queue positions.
  template <typename Visitor>
  void ForEachQueued(Visitor visit) const {
    if (queued == 0) {
      return;  // most shards of a large fleet hold none
    }
    for (const auto& [number, flow] : by_volume) {
      for (const auto& queue : flow.queues) {
        for (const RequestRef& request : queue) {
          visit(request);
        }
      }
    }
  }
};

// Where a request joins its queue.
enum class QueuePosition { kFront, kBack };

// Flows of all shards.
class FlowTable {
 public:
  // The flows of a shard, created empty on first use.
  ShardFlows& Shard(int shard) { return shards_[shard]; }

  // All shards in the order of their numbers.
  std::map<int, ShardFlows>& shards() { return shards_; }
  const std::map<int, ShardFlows>& shards() const { return shards_; }

  // Queues a request in the flow of `volume` at `shard`, created with one queue for each of `class_count`
  // classes on first use, and sets the request's flow.
  void Enqueue(const RequestRef& request, Volume* volume, int shard, QueuePosition position,
               std::size_t class_count);

  // Removes a request from its queue, if it is in one.
  void Remove(const RequestRef& request);

  // Removes the flows that are not in `used` and whose last arrival is before `since` (us).
  void EvictIdle(const std::set<const Flow*>& used, Time since);

  // Number of flows.
  std::size_t flow_count() const;

 private:
  std::map<int, ShardFlows> shards_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_FLOW_TABLE_H_

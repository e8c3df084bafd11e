// Flow table: the queued requests of each volume at each shard.
//
// Stores the queues. The callers decide where a request is queued and which one is sent next. Owned by the
// SchedulerState, used on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_FLOW_TABLE_H_
#define WALNUTSPUR_DECISION_FLOW_TABLE_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "decision/request.h"
#include "decision/volume.h"
#include "limits/fair_queue.h"
#include "limits/rate_meter.h"
#include "limits/token_bucket.h"

namespace walnutspur::decision {

// Requests in the order in which they are sent. Most queues are empty, and an empty vector has no memory.
using RequestQueue = std::vector<RequestRef>;

// Requests of one volume at one shard.
struct Flow {
  Volume* volume = nullptr;
  int shard = 0;
  std::vector<RequestQueue> queues;  // one for each request class
  std::size_t queued = 0;            // requests in all queues
  limits::FlowTag tag;
  Time last_arrival = 0;
  double throttle = 0;  // units per second; 0: not throttled
  limits::TokenBucket throttle_bucket;
  Time refilled_at = 0;
  limits::RateMeter demand;
  double lateness = 0;  // sum of latency divided by latency objective, in this interval
  int samples = 0;      // number of terms of `lateness`

  // Records a request that took `latency` (us) and has the latency objective `objective` (us).
  void RecordLateness(Time latency, Time objective) {
    lateness += static_cast<double>(latency) / static_cast<double>(objective);
    ++samples;
  }
};

// Flows of one shard.
struct ShardFlows {
  std::map<int, Flow> by_volume;  // by Volume::number, an order that does not depend on addresses
  std::map<int, Flow*> waiting;   // those with queued requests
  std::size_t queued = 0;         // requests in all queues

  // Calls `visit` with each queued request, in the order of volumes, classes and queue positions.
  template <typename Visitor>
  void ForEachQueued(Visitor visit) const {
    for (const auto& [number, flow] : waiting) {
      for (const auto& queue : flow->queues) {
        for (const RequestRef& request : queue) {
          visit(request);
        }
      }
    }
  }
};

// The end of its queue at which a request is added.
enum class QueuePosition { kFront, kBack };

// Flows of all shards.
class FlowTable {
 public:
  // Returns whether there is a flow of the volume with this number at a shard.
  bool Contains(int shard, int volume_number) const;

  // Returns the flows of a shard, created empty on first use.
  ShardFlows& Shard(int shard) { return shards_[shard]; }

  // Returns all shards in the order of their numbers.
  std::map<int, ShardFlows>& shards() { return shards_; }
  const std::map<int, ShardFlows>& shards() const { return shards_; }

  // Adds a request to its class's queue in the flow of `volume` at `shard` and sets the request's flow. The
  // flow is created on first use. It has a queue for each of `class_count` classes, whose number may grow.
  void Enqueue(const RequestRef& request, Volume* volume, int shard, QueuePosition position,
               std::size_t class_count);

  // Removes a request from its queue, if it is in one.
  void Remove(const RequestRef& request);

  // Removes the flows that are not `in_use` and whose last arrival is before `idle_since` (us), and shards
  // without a flow.
  void EvictIdle(const std::set<const Flow*>& in_use, Time idle_since);

  // Returns the number of flows.
  std::size_t flow_count() const;

 private:
  std::map<int, ShardFlows> shards_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_FLOW_TABLE_H_

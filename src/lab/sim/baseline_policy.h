// Baseline policies that the Scheduler is compared with. They follow the rules that every initiator must
// follow (endpoints, drains, idempotency, maximum attempts) but do not adapt to load or latency. Owned by one
// engine; used on its thread.
#ifndef WALNUTSPUR_LAB_SIM_BASELINE_POLICY_H_
#define WALNUTSPUR_LAB_SIM_BASELINE_POLICY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/random.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::lab::sim {

// Class BaselinePolicy decides on the events of one engine.
class BaselinePolicy {
 public:
  enum class Kind {
    kImmediate,         // sends each request to a random server as it arrives
    kTokenBuckets,      // limits each volume to its plan's rate divided by the number of initiators
    kLeastOutstanding,  // sends to the server with the fewest outstanding attempts, up to a limit for each
  };

  BaselinePolicy(Kind kind, const Settings& settings, std::uint64_t seed)
      : kind_(kind), settings_(settings), random_(seed, "baseline") {}

  // Returns the actions for an event at `now` (us); see Scheduler::Handle.
  std::vector<Action> Handle(const Event& event, Time now);

 private:
  struct Target {
    Endpoint endpoint;
    int outstanding = 0;  // attempts
    std::deque<RequestId> waiting;
  };
  struct OpenRequest {
    RequestArrived attributes;
    Time deadline = 0;  // us
    int attempts = 0;
  };
  struct TokenBucket {
    double tokens = 0;   // units
    Time filled_at = 0;  // us; 0: never
    std::deque<RequestId> waiting;
  };

  void On(const Started& event);
  void On(const EndpointUpdate& event);
  void On(const RequestArrived& event);
  void On(const AttemptFinished& event);
  void On(const TimerFired& event);
  void On(const ClientDisconnected& event);
  void On(const HealthCheckFinished&) {}
  void On(const FleetSize&) {}
  void On(const ResponseStarted&) {}
  void On(const SettingsChanged&) {}

  // Retries, rejects or fails the request of a finished attempt, unless the request has a response.
  void Resolve(const AttemptFinished& event);
  // Sends or queues a request; rejects it if no active server holds its shard.
  void Place(const RequestId& id);
  std::vector<Target*> Candidates(const RequestArrived& attributes);
  void Send(Target& target, const RequestId& id);
  void SendWaiting(Target& target);

  double RatePerInitiator(int plan) const;  // units per second
  double BucketCapacity(int plan) const;    // units
  // Refills the bucket of a volume and places as many waiting requests as its tokens allow.
  void DrainBucket(const std::string& volume);
  // Starts the refill timer if requests are waiting and it is not running.
  void StartRefillTimer();

  Kind kind_;
  Settings settings_;
  Random random_;
  Time now_ = 0;
  std::map<TargetId, Target> targets_;
  std::unordered_map<RequestId, OpenRequest> requests_;
  std::map<std::string, TokenBucket> buckets_;  // by volume
  int initiator_count_ = 1;                     // initiators that receive requests of the volume placed last
  bool timer_running_ = false;
  std::vector<Action> actions_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_BASELINE_POLICY_H_

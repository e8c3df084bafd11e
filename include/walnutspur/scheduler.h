// walnutspur: the decisions of a host-side I/O scheduler for a shared disk pool.
//
// This file is the whole interface: settings, events, actions and the class Scheduler. One Scheduler serves
// one initiator. It owns no thread, clock or socket: the initiator hands it each event with the time at
// which it happened, and carries out the actions that come back, in their order. Equal settings, seed and
// events give equal actions.
//
// All times are integer microseconds of one clock that never runs backwards.
#ifndef WALNUTSPUR_SCHEDULER_H_
#define WALNUTSPUR_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace walnutspur {

using Time = std::int64_t;
using RequestId = std::string;
using TargetId = std::string;

enum class Idempotency { kIdempotent, kIdempotentWithKey, kNotIdempotent };
enum class DeduplicationScope { kAll, kZone, kShard };  // the targets that drop a keyed request's repeats
enum class DiscoveryMode { kAutomatic, kSubscribe };
enum class EndpointState { kActive, kDraining, kTerminated };
enum class EndpointUpdateKind { kDelta, kFull, kCached, kFailed };
enum class Outcome {
  kCompleted,
  kErrored,          // may have run
  kOverloaded,       // never ran: turned away unseen
  kTimedOut,         // may have run, may still run
  kConnectFailed,    // never ran: no connection in time
  kConnectionReset,  // may have run
  kCancelled,        // may have run
  kNotSent,          // never ran: not sent
  kCorrupted         // may have run: what came back fails its checksum
};

// A class of requests.
struct RequestClass {
  Time latency_objective = 0;  // an answer in this time earns the full worth
  Time deadline = 0;           // what a client waits over all its tries
  Idempotency idempotency = Idempotency::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Time deduplication_window =
      0;  // keyed: how long repeats are dropped, from the first send that may have run
  double priority_weight = 1;
  double late_weight_fraction = 0;  // the part of the worth that a late answer earns
  bool ordered_by_key = false;
};

// A plan on which volumes stand; figures are units a second for one volume over all initiators and targets.
struct Plan {
  double rate = 0;
  double reserved_rate = 0;  // reserved: earns the full worth
  double limit = 0;          // 0: none
  double burst = 0;          // the store behind the limit
  double weight = 1;         // weight in what a target does beyond the reserves
  double priority_factor = 1;
};

struct Rules {
  Time poll_interval = 0;
  Time drain_grace = 0;
  Time answer_grace = 0;
  double slow_start_fraction = 1;
  Time slow_start_duration = 0;
  double overload_threshold = 1;
  Time overload_window = 0;
  std::optional<Time> key_quarantine;
  std::optional<Time> retry_budget_window;  // with further_ratio: the ration of further attempts
  std::optional<double> retry_budget_ratio;
  double retry_budget_minimum = 0;
};

struct Settings {
  int instances = 1;
  double traffic_fraction =
      0;  // of all initiators' requests that come to this one; 0: not known, an even part
  DiscoveryMode discovery = DiscoveryMode::kAutomatic;
  Time event_granularity = 0;  // the shortest time between two batches of events
  std::vector<RequestClass> classes;
  std::vector<Plan> plans;
  Rules rules;
  int max_attempts = 1;
  bool can_cancel = false;
  bool can_check_health = false;
  bool sends_retry_after = false;  // clients are told a hold-off
  Time max_retry_after = 0;
  double slow_start_units = 0;     // what a cold target bears in overload_for from all initiators
  double mean_request_units = 1;   // mean units of a request
  double max_request_units = 1;    // the most units of a request
  double fair_share_weight = 1;    // part of the worth earned inside the share, beyond the reserve
  double excess_weight = 1;        // part earned beyond the share
  Time usage_report_interval = 0;  // 0: answers do not tell the use of a volume
  bool reports_remote_usage = false;
  std::vector<std::string> load_report_fields;
};

// ---- events ----

struct Started {};  // once, before all else

struct Endpoint {
  TargetId target;
  EndpointState state = EndpointState::kActive;
  int shard = 0;  // the shard that the target holds
  int zone = 0;
  int kind = 0;
  double scale = 1;
  Time started_at = 0;              // 0: long ago
  bool accepts_new_objects = true;  // a new object may be placed there
};

struct EndpointUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::kFull;
  std::vector<Endpoint> endpoints;
};

struct RequestArrived {
  RequestId id;
  int request_class = 0;
  int plan = 0;
  std::string key;     // the piece of data; empty: none
  std::string volume;  // by which reserve, limit and share are counted
  Time ttl = 0;        // before the client stops waiting
  double units = 1;
  int shard = -1;                // where the data lies; -1: a new object, any target may take it
  int initiator_count = 1;       // initiators that the volume's requests come through
  bool is_client_retry = false;  // the client marks it as a further try of its own
};

struct AttemptFinished {
  RequestId id;
  int attempt = 0;
  TargetId target;
  Outcome outcome = Outcome::kCompleted;
  Time latency = 0;
  bool request_finished = false;  // the request is over
  int reported_usage = 0;         // 1 + the volume's use everywhere in percent of its rate; 0: not told
  double units_served_elsewhere = 0;
  std::vector<double> load_report;
};

struct TimerFired {
  std::int64_t timer_id = 0;
};

struct HealthCheckFinished {
  TargetId target;
  Outcome outcome = Outcome::kCompleted;
  Time latency = 0;
  std::vector<double> load_report;
};

struct ClientDisconnected {
  RequestId id;
};

struct ResponseStarted {
  RequestId id;
};

// How many initiators there are and what part of all requests comes to this one, where somebody knows: in
// place of Settings::instances and an even part. The fleet's view tells it (src/fleet/view/).
struct FleetSize {
  int live_instances = 1;
  double traffic_fraction = 1;
};

using Event = std::variant<Started, EndpointUpdate, RequestArrived, AttemptFinished, TimerFired,
                           HealthCheckFinished, ClientDisconnected, ResponseStarted, FleetSize>;

// ---- actions ----

struct SendAttempt {
  RequestId id;
  TargetId target;
  Time timeout = 0;    // 0: until the client stops waiting
  Time not_after = 0;  // the repeat of a keyed request: when its target drops such no more; 0: no such bound
};
struct RejectRequest {  // final: no, and a new try does no harm
  RequestId id;
  Time retry_after = 0;
};
struct FailRequest {  // final: failed, the effect is unknown
  RequestId id;
};
struct StartTimer {
  std::int64_t timer_id = 0;
  Time delay = 0;
};
struct CancelAttempt {
  RequestId id;
  int attempt = 0;
};
struct CheckHealth {
  TargetId target;
};
struct WatchEndpoints {};  // asks discovery for changes from now on

using Action = std::variant<SendAttempt, RejectRequest, FailRequest, StartTimer, CancelAttempt, CheckHealth,
                            WatchEndpoints>;

class Scheduler {
 public:
  Scheduler(const Settings& settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Takes one event that happens at `now` and returns what to do, in order. Ids that are no longer held and
  // targets that were never listed are passed over.
  std::vector<Action> Handle(const Event& event, Time now);

  // Entries in all tables: what is over must leave none behind.
  std::size_t table_entries() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace walnutspur

#endif  // WALNUTSPUR_SCHEDULER_H_

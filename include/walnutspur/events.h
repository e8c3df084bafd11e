// Events: what an initiator reports to its Scheduler, as they happen.
//
// Plain data, made by the initiator on the scheduler's thread.
#ifndef WALNUTSPUR_EVENTS_H_
#define WALNUTSPUR_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "walnutspur/types.h"

namespace walnutspur {

// The initiator has started. Once, before all other events.
struct Started {};

// A target, as of the endpoint list.
struct Endpoint {
  TargetId target;
  EndpointState state = EndpointState::kActive;
  int shard = 0;                    // the shard that the target holds
  int zone = 0;                     // failure domain
  int target_type = 0;              // of target, as numbered by the list
  double relative_capacity = 1;     // capacity, over that of a common target
  Time started_at = 0;              // of the target's process, by the list's clock; 0: long ago
  Time clock_offset = 0;            // us by which that clock is ahead of the events' clock
  bool accepts_new_objects = true;  // new objects may be placed there
};

// The endpoint list has changed, or could not be fetched.
struct EndpointUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::kFull;
  std::vector<Endpoint> endpoints;
  // kFailed: until when the subscription has brought everything: its end, or its last heartbeat if it fell
  // silent. kUpdateStarted: when that part arrived. 0: now.
  Time received_at = 0;
  DiscoveryFailure failure = DiscoveryFailure::kNoResponse;  // kFailed
};

// A client has sent a request.
struct RequestArrived {
  RequestId id;
  int request_class = 0;         // index in Settings::classes
  int plan = 0;                  // index in Settings::plans
  std::string key;               // of the data, by which requests are ordered; empty: none
  std::string volume;            // to whose reserve, limit and fair share the request counts
  Time ttl = 0;                  // us that the client will wait
  double units = 1;              // cost of the request
  int shard = -1;                // where the data is; -1: a new object, any target may take it
  int initiator_count = 1;       // initiators that the volume's requests come through
  bool is_client_retry = false;  // the client says that it has sent the request before
};

// An attempt has ended.
struct AttemptFinished {
  RequestId id;
  int attempt = 0;  // counted from 0
  TargetId target;
  Outcome outcome = Outcome::kCompleted;
  Time latency = 0;               // us since the attempt was sent
  bool request_finished = false;  // the client has its final response
  int reported_usage = 0;         // 1 + the volume's use everywhere in percent of its rate; 0: not reported
  // units of the volume that this target served for other initiators since the last report
  double units_served_elsewhere = 0;
  std::vector<double> load_report;  // values of Settings::load_report_fields
};

// The delay of a StartTimer action has passed.
struct TimerFired {
  std::int64_t timer_id = 0;
};

// A CheckHealth action has its result.
struct HealthCheckFinished {
  TargetId target;
  Outcome outcome = Outcome::kCompleted;
  Time latency = 0;                 // us
  std::vector<double> load_report;  // values of Settings::load_report_fields
};

// The client of a request has disconnected.
struct ClientDisconnected {
  RequestId id;
};

// The response to a request is on its way to the client.
struct ResponseStarted {
  RequestId id;
};

// The number of initiators and this one's part of all requests, where the membership service knows them. They
// replace Settings::instances and Settings::traffic_fraction.
struct FleetSize {
  int live_instances = 1;
  double traffic_fraction = 1;
};

// Any event.
using Event = std::variant<Started, EndpointUpdate, RequestArrived, AttemptFinished, TimerFired,
                           HealthCheckFinished, ClientDisconnected, ResponseStarted, FleetSize>;

}  // namespace walnutspur

#endif  // WALNUTSPUR_EVENTS_H_

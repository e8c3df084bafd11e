// Events: what an initiator reports to its Scheduler when it happens.
//
// Plain data, created by the initiator on the scheduler thread.
#ifndef WALNUTSPUR_EVENTS_H_
#define WALNUTSPUR_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "walnutspur/settings.h"
#include "walnutspur/types.h"

namespace walnutspur {

// The initiator has started. Sent once, before all other events.
struct Started {};

// One target, as listed in the endpoint list.
struct Endpoint {
  TargetId target;
  EndpointState state = EndpointState::kActive;
  int shard = 0;                    // the shard that the target holds
  int zone = 0;                     // failure domain
  int target_type = 0;              // type of the target, numbered by the endpoint list
  double relative_capacity = 1;     // capacity divided by that of a standard target
  Time started_at = 0;              // start of the target's process, by the list's clock; 0: long ago
  Time clock_offset = 0;            // us by which the list's clock is ahead of the events' clock
  bool accepts_new_objects = true;  // new objects may be placed there
};

// The endpoint list has changed, or could not be fetched.
struct EndpointUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::kFull;
  std::vector<Endpoint> endpoints;
  // For kFailed: the time up to which the subscription has delivered every change, which is its end, or its
  // last heartbeat if it fell silent. For kUpdateStarted: the arrival time of that first part. 0: now.
  Time received_at = 0;
  DiscoveryFailure failure = DiscoveryFailure::kNoResponse;  // for kFailed only
};

// A client has sent a request.
struct RequestArrived {
  RequestId id;
  int request_class = 0;         // index in Settings::classes
  int plan = 0;                  // index in Settings::plans
  std::string key;               // key of the data, used to order requests; empty: none
  std::string volume;            // volume whose reserve, limit and fair share are charged
  Time ttl = 0;                  // us until the client stops waiting
  double units = 1;              // cost of the request
  int shard = -1;                // shard that holds the data; -1: a new object, any target may store it
  int initiator_count = 1;       // number of initiators that receive requests of this volume
  bool is_client_retry = false;  // the client has marked the request as a retry
};

// An attempt has ended.
struct AttemptFinished {
  RequestId id;
  int attempt = 0;  // counted from 0
  TargetId target;
  Outcome outcome = Outcome::kCompleted;
  Time latency = 0;               // us since the attempt was sent
  bool request_finished = false;  // the client has received its final response
  int reported_usage = 0;         // 1 + the volume's fleet-wide usage in percent of its rate; 0: not reported
  // units of the volume that this target has served for other initiators since its last report
  double units_served_elsewhere = 0;
  std::vector<double> load_report;  // values of Settings::load_report_fields
};

// The delay of a StartTimer action has passed.
struct TimerFired {
  std::int64_t timer_id = 0;
};

// A CheckHealth action has finished.
struct HealthCheckFinished {
  TargetId target;
  Outcome outcome = Outcome::kCompleted;
  Time latency = 0;                 // us
  std::vector<double> load_report;  // values of Settings::load_report_fields
};

// The client of a request has disconnected.
struct ClientDisconnected {
  RequestId id;
  // Whether the client waited for this response alone. One that had sent more requests behind it does not
  // show how long clients wait.
  bool waited = true;
};

// The initiator has started to send the response to a request to its client.
struct ResponseStarted {
  RequestId id;
};

// The number of live initiators and this initiator's fraction of all requests, as reported by the membership
// service. They replace Settings::instances and Settings::traffic_fraction.
struct FleetSize {
  int live_instances = 1;
  double traffic_fraction = 1;
  int processes = 1;  // processes of this initiator: more than one while a process replaces another
};

// The settings have changed. The classes and plans of the former ones keep their indexes; a request under way
// keeps its class. Instances, traffic fraction and processes do not change.
struct SettingsChanged {
  Settings settings;
};

// Any event.
using Event =
    std::variant<Started, EndpointUpdate, RequestArrived, AttemptFinished, TimerFired, HealthCheckFinished,
                 ClientDisconnected, ResponseStarted, FleetSize, SettingsChanged>;

}  // namespace walnutspur

#endif  // WALNUTSPUR_EVENTS_H_

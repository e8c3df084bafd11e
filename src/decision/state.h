// The state of one Scheduler, shared by the modules of this folder.
//
// Each member maintains its own records and invariants. The functions of the other files take the decisions.
// Owned by one Scheduler, used on the thread that calls it. Points in time are in microseconds of the events'
// clock, rates in units per second.
#ifndef WALNUTSPUR_DECISION_STATE_H_
#define WALNUTSPUR_DECISION_STATE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "decision/client_wait.h"
#include "decision/endpoint_lease.h"
#include "decision/endpoint_poller.h"
#include "decision/endpoint_table.h"
#include "decision/fleet_latency.h"
#include "decision/flow_table.h"
#include "decision/key_order.h"
#include "decision/object_locations.h"
#include "decision/random_source.h"
#include "decision/request_table.h"
#include "decision/volume.h"
#include "limits/retry_budget.h"
#include "routing/outlier_detection.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::decision {

// Maximum time between two checks of the queued requests.
constexpr Time kTimerPeriod = ToTime(std::chrono::milliseconds(20));

struct SchedulerState {
  // `seed` initializes the random number generator; `initial_limits` apply before any sample.
  SchedulerState(const Settings& initial_settings, const limits::AdaptiveLimits& initial_limits,
                 std::uint64_t seed);

  // Replaces the settings, except for the size of the fleet. Volumes keep the addresses of their plans.
  void ReplaceSettings(const Settings& next);

  // Returns the time elapsed since `at`.
  Duration Since(Time at) const { return Elapsed(at, now); }
  const RequestClass& ClassOf(const RequestState& request) const {
    return settings.classes[request.class_index];
  }
  // Returns whether requests with the key of `request` are sent one at a time.
  bool IsOrdered(const RequestState& request) const {
    return ClassOf(request).ordered_by_key && !request.key.empty();
  }
  // Returns the number of entries in all tables.
  std::size_t table_entries() const;

  Settings settings;
  RandomSource random;
  Time now = 0;
  Time started_at = 0;
  Duration tightest_objective;  // minimum latency objective of the classes that accept requests
  std::vector<Action> actions;  // emitted by the event being handled

  EndpointTable endpoints;
  EndpointLease endpoint_lease;
  EndpointPoller endpoint_poller;
  routing::OutlierDetection outliers;
  FleetLatency fleet_latency;

  RequestTable requests;
  FlowTable flows;
  VolumeTable volumes;
  Time next_eviction_at = 0;  // when full tables may be searched for idle entries again
  KeyOrder key_order;
  ObjectLocations object_locations;
  limits::RetryBudget retry_budget;
  ClientWait client_wait;
  double served_rate = 0;  // steady rate of service to this instance at all targets
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_STATE_H_

// Everything that one Scheduler knows, as the modules of this folder share it.
//
// Each member keeps its own records and invariants; what is decided on them is in the functions of the other
// files. Owned by one Scheduler, used on the thread that calls it. Points in time are in microseconds of the
// events' clock, rates in units a second.
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
#include "decision/random_source.h"
#include "decision/request_table.h"
#include "decision/volume.h"
#include "limits/retry_budget.h"
#include "routing/outlier_detection.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::decision {

// Queued requests are looked at this often at least.
constexpr Time kTimerPeriod = ToTime(std::chrono::milliseconds(20));

struct SchedulerState {
  // `seed` starts the random draws; `initial_limits` are the concurrency limits before any sample.
  SchedulerState(const Settings& initial_settings, const limits::AdaptiveLimits& initial_limits,
                 std::uint64_t seed);

  // Time since `at`.
  Duration Since(Time at) const { return Elapsed(at, now); }
  const RequestClass& ClassOf(const RequestState& request) const {
    return settings.classes[request.class_index];
  }
  // Whether requests with the request's key are sent one at a time.
  bool IsOrdered(const RequestState& request) const {
    return ClassOf(request).ordered_by_key && !request.key.empty();
  }
  // Number of entries in all tables.
  std::size_t table_entries() const;

  Settings settings;
  RandomSource random;
  Time now = 0;
  Time started_at = 0;
  Duration tightest_objective;  // the shortest latency objective of any class
  std::vector<Action> actions;  // of the event in hand

  EndpointTable endpoints;
  EndpointLease endpoint_lease;
  EndpointPoller endpoint_poller;
  routing::OutlierDetection outliers;
  FleetLatency fleet_latency;

  RequestTable requests;
  FlowTable flows;
  VolumeTable volumes;
  KeyOrder key_order;
  limits::RetryBudget retry_budget;
  ClientWait client_wait;
  double served_rate = 0;  // steady rate of service to this instance at all targets
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_STATE_H_

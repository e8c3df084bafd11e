// The record of one target: its entry in the endpoint list and the estimates from its attempts.
//
// Plain data without decisions. Owned by the EndpointTable.
#ifndef WALNUTSPUR_DECISION_TARGET_H_
#define WALNUTSPUR_DECISION_TARGET_H_

#include <vector>

#include "decision/request.h"
#include "limits/adaptive_limit.h"
#include "limits/fair_queue.h"
#include "limits/latency_estimate.h"
#include "limits/slow_start.h"
#include "limits/steady_state_rate.h"
#include "limits/target_backoff.h"
#include "routing/outcome_history.h"
#include "walnutspur/events.h"

namespace walnutspur::decision {

// One attempt at a target.
struct Attempt {
  RequestRef request;
  Time sent_at = 0;
  double units = 0;
  // The attempt has ended without a response and is presumed to occupy the target until this time; 0: in
  // flight.
  Time presumed_in_flight_until = 0;

  bool has_ended() const { return presumed_in_flight_until > 0; }
};

// One target.
struct TargetState {
  TargetId id;
  int shard = 0;
  int zone = 0;
  Time started_at = 0;
  bool active = false;
  bool terminated = false;
  bool accepts_new_objects = true;
  std::vector<Attempt> attempts;  // in flight or presumed in flight, in the order in which they were sent
  limits::AdaptiveLimits limits;
  limits::LatencySamples samples;  // samples since the last adjustment of the limits
  limits::LatencyEstimate latency;
  Time latest_completed_send = 0;  // send time of the latest attempt that has completed
  routing::OutcomeHistory outcomes;
  limits::TargetBackoff backoff;
  limits::DecayingCounter placed_units;  // units of new objects placed at the target
  limits::SteadyStateRate steady_rate;   // rate of service to this instance, kept when the target restarts
  limits::SlowStart slow_start;
  limits::VirtualClock virtual_clock;
  double reserved_rate = 0;  // rate at which reserved work arrives, units per second
  Time last_send = 0;

  // Copies the fields of the target's entry in the endpoint list.
  void CopyFrom(const Endpoint& endpoint);
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_TARGET_H_

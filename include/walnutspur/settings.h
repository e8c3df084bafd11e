// Settings of a Scheduler: classes of requests, plans of volumes, rules and capabilities.
//
// Given once, at construction; read-only to the scheduler but for Settings::instances and traffic_fraction,
// which a FleetSize event replaces.
#ifndef WALNUTSPUR_SETTINGS_H_
#define WALNUTSPUR_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "walnutspur/types.h"

namespace walnutspur {

// A class of requests.
struct RequestClass {
  Time latency_objective = 0;  // us; a response within it earns the full priority weight
  Time deadline = 0;           // us that a client waits over all its attempts
  Idempotency idempotency = Idempotency::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;  // for kIdempotentWithKey
  // us for which repeats are dropped, from the first attempt that may have run
  Time deduplication_window = 0;
  double priority_weight = 1;       // earned by a unit
  double late_weight_fraction = 0;  // part of the weight that a response after the objective earns
  bool ordered_by_key = false;      // requests with one key are executed in order of arrival
};

// A plan of volumes: rates of one volume over all initiators and targets, in units a second.
struct Plan {
  double rate = 0;             // fair share
  double reserved_rate = 0;    // guaranteed; earns the full priority weight
  double limit = 0;            // most that is served; 0: not limited
  double burst = 0;            // units that may exceed the limit at once
  double weight = 1;           // share of a target's capacity beyond the reserves
  double priority_factor = 1;  // multiplies the priority weight of the request's class
};

// Rules that hold for all initiators.
struct Rules {
  Time poll_interval = 0;              // us without a poll until an unsubscribed instance counts as informed
  Time drain_grace = 0;                // us in which sends to a draining or terminated target have to stop
  Time response_grace = 0;             // us past its deadline by which a request has its final response
  double slow_start_fraction = 1;      // part of its capacity that a target has when it starts
  Time slow_start_duration = 0;        // us until it has all of it
  double overload_threshold = 1;       // times its capacity that overload a target in slow start
  Time overload_window = 0;            // us over which that is counted
  std::optional<Time> key_quarantine;  // us without a new request, after one that may still run
  std::optional<Time> retry_budget_window;   // us over which retries and arrivals are counted
  std::optional<double> retry_budget_ratio;  // retries allowed for each arrival
  double retry_budget_minimum = 0;           // retries allowed besides
};

// Settings of one Scheduler.
struct Settings {
  int instances = 1;            // initiators that share the targets
  double traffic_fraction = 0;  // of all initiators' requests that come to this one; 0: unknown, an even part
  DiscoveryMode discovery = DiscoveryMode::kAutomatic;
  Time event_granularity = 0;  // us; the shortest time between two batches of events
  std::vector<RequestClass> classes;
  std::vector<Plan> plans;
  Rules rules;
  int max_attempts = 1;            // for each request
  bool can_cancel = false;         // CancelAttempt is carried out
  bool can_check_health = false;   // CheckHealth is carried out
  bool sends_retry_after = false;  // rejections carry RejectRequest::retry_after
  Time max_retry_after = 0;        // us
  // units that a target in slow start bears from all initiators in overload_window
  double slow_start_units = 0;
  double mean_request_units = 1;      // mean units of a request
  double max_request_units = 1;       // the most units of a request
  double fair_share_weight = 1;       // part of the weight earned within the fair share, beyond the reserve
  double excess_weight = 1;           // part of it earned beyond the fair share
  Time usage_report_interval = 0;     // us between reports of a volume's use; 0: responses carry none
  bool reports_remote_usage = false;  // responses state the units that other initiators were served
  std::vector<std::string> load_report_fields;  // names of the values in a load report, in their order
};

}  // namespace walnutspur

#endif  // WALNUTSPUR_SETTINGS_H_

// Settings of a Scheduler: classes of requests, plans of volumes, rules and capabilities.
//
// Passed to the Scheduler's constructor. Later a FleetSize event replaces Settings::instances,
// traffic_fraction and processes, and a SettingsChanged event the others.
#ifndef WALNUTSPUR_SETTINGS_H_
#define WALNUTSPUR_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "walnutspur/types.h"

namespace walnutspur {

// A class of requests.
struct RequestClass {
  Time latency_objective = 0;  // us; a response within it earns the full priority weight
  Time deadline = 0;           // us that a client waits, over all its attempts
  Idempotency idempotency = Idempotency::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;  // for kIdempotentWithKey
  // us during which targets drop repeats, counted from the first attempt that may have run
  Time deduplication_window = 0;
  double priority_weight = 1;       // weight earned by each unit served
  double late_weight_fraction = 0;  // fraction of the weight that a response after the objective earns
  bool ordered_by_key = false;      // requests with the same key are executed in order of arrival
  // Whether new requests may have this class. If not, only requests under way refer to it.
  bool accepts_requests = true;

  bool operator==(const RequestClass&) const = default;
};

// A plan: the rates of one volume over all initiators and targets, in units per second.
struct Plan {
  double rate = 0;             // fair share
  double reserved_rate = 0;    // guaranteed rate; earns the full priority weight
  double limit = 0;            // maximum rate; 0: unlimited
  double burst = 0;            // units by which a volume may exceed the limit at once
  double weight = 1;           // relative share of a target's capacity beyond the reserves
  double priority_factor = 1;  // multiplies the priority weight of the request's class
};

// Rules that apply to all initiators.
struct Rules {
  Time poll_interval = 0;   // us without a poll after which an unsubscribed instance counts as notified
  Time drain_grace = 0;     // us within which sends to a draining or terminated target must stop
  Time response_grace = 0;  // us after its deadline by which a request must have its final response
  double slow_start_fraction = 1;  // fraction of its full capacity that a target has when it starts
  Time slow_start_duration = 0;    // us until a started target has its full capacity
  double overload_threshold = 1;   // multiple of its capacity that overloads a target in slow start
  Time overload_window = 0;        // us over which the load for overload_threshold is counted
  // us for which a key gets no new request after an attempt that may still be running
  std::optional<Time> key_quarantine;
  std::optional<Time> retry_budget_window;   // us over which retries and arrivals are counted
  std::optional<double> retry_budget_ratio;  // retries allowed per arrival
  double retry_budget_minimum = 0;           // retries allowed in addition
};

// Bounds of the tables that are keyed by names from outside.
struct TableLimits {
  std::size_t max_flows = 24'576;  // pairs of a volume and a shard; also the maximum of volumes and keys
  std::size_t max_request_ids = 49'152;  // ids of unserved requests that may have run

  bool operator==(const TableLimits&) const = default;
};

// Settings of one Scheduler.
struct Settings {
  int instances = 1;  // initiators that share the targets
  // fraction of all initiators' requests that this one receives; 0: unknown, an even share
  double traffic_fraction = 0;
  int processes = 1;  // processes of this initiator, which share its limits
  DiscoveryMode discovery = DiscoveryMode::kAutomatic;
  Time event_granularity = 0;  // us; minimum time between two batches of events
  std::vector<RequestClass> classes;
  std::vector<Plan> plans;
  Rules rules;
  int max_attempts = 1;            // maximum number of attempts per request
  bool can_cancel = false;         // the initiator carries out CancelAttempt
  bool can_check_health = false;   // the initiator carries out CheckHealth
  bool sends_retry_after = false;  // rejections carry RejectRequest::retry_after
  Time max_retry_after = 0;        // us
  // units that a target in slow start can take from all initiators within overload_window
  double slow_start_units = 0;
  double mean_request_units = 1;   // mean units of a request
  double max_request_units = 1;    // maximum units of a request
  double fair_share_weight = 1;    // fraction of the weight earned within the fair share, beyond the reserve
  double excess_weight = 1;        // fraction of the weight earned beyond the fair share
  Time usage_report_interval = 0;  // us between usage reports of a volume; 0: responses carry none
  bool reports_remote_usage = false;            // responses state the units served for other initiators
  std::vector<std::string> load_report_fields;  // names of the values in a load report, in order
  TableLimits tables;
};

}  // namespace walnutspur

#endif  // WALNUTSPUR_SETTINGS_H_

// Adaptive concurrency limit: a bound on the units in flight that is adjusted to latency, and the latency
// samples that it is adjusted by.
//
// This file contains only data types; decision/concurrency_limit.h adjusts the limits. Owned by the records
// of targets and by decision::FleetLatency. No I/O, clock or thread.
#ifndef WALNUTSPUR_LIMITS_ADAPTIVE_LIMIT_H_
#define WALNUTSPUR_LIMITS_ADAPTIVE_LIMIT_H_

#include "limits/duration.h"

namespace walnutspur::limits {

// A bound on the units in flight. It is raised only if it was binding: while no request was held back, the
// latencies do not show how much more the target could serve.
struct AdaptiveLimit {
  double units = 0;
  bool was_binding = false;  // a request was held back since the last adjustment
};

// A pair of limits: `shared` for requests beyond their volume's reserve, `reserved` for requests within it.
struct AdaptiveLimits {
  AdaptiveLimit shared;
  AdaptiveLimit reserved;

  AdaptiveLimit& Select(bool is_reserved) { return is_reserved ? reserved : shared; }
  const AdaptiveLimit& Select(bool is_reserved) const { return is_reserved ? reserved : shared; }
};

// The sums of the latency samples since the last adjustment of the limits.
struct LatencySamples {
  Duration queueing = Duration::zero();
  Duration service = Duration::zero();
  int count = 0;

  void Add(Duration queueing_time, Duration service_time) {
    queueing += queueing_time;
    service += service_time;
    ++count;
  }
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_ADAPTIVE_LIMIT_H_

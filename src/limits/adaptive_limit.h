// Adaptive concurrency limit: a bound of the units in flight that follows latency, and the latency samples
// that it follows.
//
// Records only; how a limit moves is decided in decision/concurrency_limit.h. Owned by the records of targets
// and by decision::FleetLatency. No I/O, clock or thread.
#ifndef WALNUTSPUR_LIMITS_ADAPTIVE_LIMIT_H_
#define WALNUTSPUR_LIMITS_ADAPTIVE_LIMIT_H_

#include "limits/duration.h"

namespace walnutspur::limits {

// Bound of the units in flight. It grows only if it was binding: a limit that holds nothing back says nothing
// of what the target could bear.
struct AdaptiveLimit {
  double units = 0;
  bool was_binding = false;  // it held a request back since the last adjustment
};

// A pair of limits: for requests beyond their volume's reserve, and for those inside it.
struct AdaptiveLimits {
  AdaptiveLimit shared;
  AdaptiveLimit reserved;

  AdaptiveLimit& Select(bool is_reserved) { return is_reserved ? reserved : shared; }
  const AdaptiveLimit& Select(bool is_reserved) const { return is_reserved ? reserved : shared; }
};

// Sums of latency samples since the last adjustment of the limits.
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

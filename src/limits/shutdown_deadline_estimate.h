// Estimates how long before the shutdown deadline a connection's next response must be marked as its last.
//
// A client that sends a new request after each response always has a request in flight. If it is notified of
// the shutdown too late, its last request gets no response in time; if too early, it is without a server for
// the time that remains. The lead time is therefore the present latency of slow responses. No I/O, clock or
// thread; each front end owns one.
#ifndef WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_

#include <algorithm>

#include "limits/duration.h"

namespace walnutspur::limits {

// Weights of a response slower than the estimate and of a faster one. With this ratio four fifths of the
// responses are faster than the estimate.
constexpr double kSlowerResponseWeight = 0.2;
constexpr double kFasterResponseWeight = 0.05;
// Lead time as a multiple of the estimate: the last responses of all connections are due at the same time.
constexpr double kLeadTimeFactor = 1.5;
// The minimum lead time must be longer than ShutdownLimits::close_idle_before of the front ends, which closes
// idle connections.
constexpr Duration kMinLeadTime = std::chrono::milliseconds(200);
// By the end of a longer lead time most clients would have disconnected.
constexpr Duration kMaxLeadTime = std::chrono::seconds(1);

// Class ShutdownDeadlineEstimate tracks the latency of one front end's responses.
class ShutdownDeadlineEstimate {
 public:
  // Records a response that was sent `latency` us after its request arrived.
  void OnResponse(Time latency) {
    const Duration difference = Microseconds(latency) - slow_latency_;
    const bool is_slower = difference > Duration::zero();
    slow_latency_ += (is_slower ? kSlowerResponseWeight : kFasterResponseWeight) * difference;
  }

  // Returns whether the next response of each connection must be its last, with `remaining` us left until the
  // shutdown deadline.
  bool IsLastResponse(Time remaining) const {
    const Duration lead_time = std::clamp(kLeadTimeFactor * slow_latency_, kMinLeadTime, kMaxLeadTime);
    return remaining <= ToTime(lead_time);
  }

 private:
  Duration slow_latency_ = Duration::zero();
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_

// Shutdown deadline estimate: how long before shutdown a connection's next response is to be marked as its
// last.
//
// A client that sends again after each response has a request in flight at any moment. If it learns of the
// shutdown too late, its last request has no response in time; if too early, it has no server for that long.
// So the lead time is what responses take at present, slow ones included. No I/O, clock or thread; each front
// end owns one.
#ifndef WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_

#include <algorithm>

#include "limits/duration.h"

namespace walnutspur::limits {

// Weight of a response slower than the estimate, and of a faster one. At this ratio four fifths of responses
// are faster than the estimate.
constexpr double kSlowerResponseWeight = 0.2;
constexpr double kFasterResponseWeight = 0.05;
// Lead time as a multiple of the estimate: the last responses come all at once.
constexpr double kLeadTimeFactor = 1.5;
// The lead time is longer than what idle connections are given (ShutdownLimits::close_idle_before of the
// front ends).
constexpr Duration kMinLeadTime = std::chrono::milliseconds(200);
// Beyond this lead time most clients have disconnected.
constexpr Duration kMaxLeadTime = std::chrono::seconds(1);

// Estimate over the responses of one front end.
class ShutdownDeadlineEstimate {
 public:
  // Records a response given `latency` us after its request arrived.
  void OnResponse(Time latency) {
    const Duration difference = Microseconds(latency) - slow_latency_;
    const bool is_slower = difference > Duration::zero();
    slow_latency_ += (is_slower ? kSlowerResponseWeight : kFasterResponseWeight) * difference;
  }

  // Whether the next response of each connection is its last, with `remaining` us until shutdown.
  bool IsLastResponse(Time remaining) const {
    const Duration lead_time = std::clamp(kLeadTimeFactor * slow_latency_, kMinLeadTime, kMaxLeadTime);
    return remaining <= ToTime(lead_time);
  }

 private:
  Duration slow_latency_ = Duration::zero();
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_

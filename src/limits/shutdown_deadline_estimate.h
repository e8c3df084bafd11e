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

#include "walnutspur/scheduler.h"

namespace walnutspur::limits {

constexpr double kSlowResponseRise = 0.2;   // weight of a response slower than the estimate, and
constexpr double kSlowResponseFall = 0.05;  // of a faster one, such that four fifths of responses are faster
constexpr double kLeadTimeFactor = 1.5;     // of the estimate: the last responses come all at once
constexpr Time kShortestLeadTime =
    200'000;  // us: longer than idle connections are given (http/client_connection.cpp)
constexpr Time kLongestLeadTime = 1'000'000;  // us: beyond it most clients have disconnected

// Estimate over the responses of one front end.
class ShutdownDeadlineEstimate {
 public:
  // Records a response given `latency` us after its request arrived.
  void OnResponse(Time latency) {
    const double difference = static_cast<double>(latency) - slow_latency_;
    slow_latency_ += (difference > 0 ? kSlowResponseRise : kSlowResponseFall) * difference;
  }

  // Whether the next response of each connection is its last, with `remaining` us until shutdown.
  bool IsLastResponse(Time remaining) const {
    const auto lead_time = static_cast<Time>(kLeadTimeFactor * slow_latency_);
    return remaining <= std::clamp(lead_time, kShortestLeadTime, kLongestLeadTime);
  }

 private:
  double slow_latency_ = 0;  // us
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_

#include "limits/poll_backoff.h"

#include <algorithm>

#include "limits/duration.h"

namespace walnutspur::limits {
namespace {

// Upper bound of the delay after the first failure.
constexpr Time kInitialDelay = ToTime(std::chrono::seconds(1));
// The upper bound that delays grow to is proportional to the number of instances, but never lower than this;
// takes effect in small fleets.
constexpr Time kMaxDelayFloor = ToTime(std::chrono::seconds(2));
// Upper bound of the delay after a time-out, per instance of the fleet: all instances together make about ten
// calls a second.
constexpr Time kTimeoutSpacing = ToTime(std::chrono::milliseconds(100));
// Upper bound of the delay after an immediate rejection, per instance of the fleet: about the time that the
// service takes for a response.
constexpr Time kRejectionSpacing = ToTime(std::chrono::milliseconds(30));
// A call that failed sooner than this was rejected at once; a call that failed later had waited in the
// service's queue.
constexpr Time kMinQueuedCallTime = ToTime(std::chrono::seconds(1));
// Bounds of the delay after a call that found no listener. A service that returns for longer is noticed.
constexpr Time kMinUnreachableDelay = ToTime(std::chrono::milliseconds(150));
constexpr Time kMaxUnreachableDelay = ToTime(std::chrono::milliseconds(300));

}  // namespace

PollBackoff::PollBackoff(int instances, Time max_delay)
    : max_delay_(max_delay), rejected_(kInitialDelay, max_delay), timed_out_(kInitialDelay, max_delay) {
  SetInstanceCount(instances);
}

void PollBackoff::SetInstanceCount(int instances) {
  rejected_.SetBounds(kInitialDelay, std::clamp(instances * kRejectionSpacing, kMaxDelayFloor, max_delay_));
  timed_out_.SetBounds(std::clamp(instances * kTimeoutSpacing / 2, kInitialDelay, max_delay_),
                       std::clamp(instances * kTimeoutSpacing, kMaxDelayFloor, max_delay_));
}

Time PollBackoff::NextDelay(Time now, double random) {
  const bool was_queued = polled_at_ >= 0 && now - polled_at_ >= kMinQueuedCallTime;
  return (was_queued ? timed_out_ : rejected_).NextDelay(random);
}

Time PollBackoff::UnreachableDelay(double random) {
  const Time jitter = kMaxUnreachableDelay - kMinUnreachableDelay;
  return kMinUnreachableDelay + static_cast<Time>(random * static_cast<double>(jitter));
}

void PollBackoff::OnResponse() {
  polled_at_ = -1;
  rejected_.Reset();
  timed_out_.Reset();
}

}  // namespace walnutspur::limits

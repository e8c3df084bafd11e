#include "limits/poll_backoff.h"

#include <algorithm>

#include "limits/duration.h"

namespace walnutspur::limits {
namespace {

// Upper bound of the delay after the first failure.
constexpr Time kFirstDelay = ToTime(std::chrono::seconds(1));
// Least upper bound of any delay: it holds where instances are few.
constexpr Time kMinLongestDelay = ToTime(std::chrono::seconds(2));
// Upper bound of the delay for each instance, after time-outs: ten calls a second from all.
constexpr Time kTimeoutSpacing = ToTime(std::chrono::milliseconds(100));
// The same after refusals: about the service's time for a response.
constexpr Time kRefusalSpacing = ToTime(std::chrono::milliseconds(30));
// A call that failed sooner than this was refused; a later one had waited in the service's queue.
constexpr Time kQueuedCallTime = ToTime(std::chrono::seconds(1));
// Shortest delay after a call that found no listener; the longest is kMinLongestDelay.
constexpr Time kMinUnreachableDelay = kMinLongestDelay / 2;

}  // namespace

PollBackoff::PollBackoff(int instances, Time longest)
    : longest_(longest), refused_(kFirstDelay, longest), timed_out_(kFirstDelay, longest) {
  SetInstanceCount(instances);
}

void PollBackoff::SetInstanceCount(int instances) {
  refused_.SetBounds(kFirstDelay, std::clamp(instances * kRefusalSpacing, kMinLongestDelay, longest_));
  timed_out_.SetBounds(std::clamp(instances * kTimeoutSpacing / 2, kFirstDelay, longest_),
                       std::clamp(instances * kTimeoutSpacing, kMinLongestDelay, longest_));
}

Time PollBackoff::NextDelay(Time now, double random) {
  const bool was_queued = polled_at_ >= 0 && now - polled_at_ >= kQueuedCallTime;
  return (was_queued ? timed_out_ : refused_).NextDelay(random);
}

Time PollBackoff::UnreachableDelay(double random) {
  const Time jitter = kMinLongestDelay - kMinUnreachableDelay;
  return kMinUnreachableDelay + static_cast<Time>(random * static_cast<double>(jitter));
}

void PollBackoff::OnResponse() {
  polled_at_ = -1;
  refused_.Reset();
  timed_out_.Reset();
}

}  // namespace walnutspur::limits

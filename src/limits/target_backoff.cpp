#include "limits/target_backoff.h"

#include <algorithm>

#include "limits/duration.h"

namespace walnutspur::limits {
namespace {

// Backoff after the first overload, and its maximum: a full queue takes about a second to drain.
constexpr Time kInitialOverloadBackoff = ToTime(std::chrono::milliseconds(30));
constexpr Time kMaxOverloadBackoff = ToTime(std::chrono::milliseconds(960));
// Backoff after the first failed connect, and its maximum. It is short enough that a target is used again
// soon after its restart.
constexpr Time kInitialConnectBackoff = ToTime(std::chrono::milliseconds(200));
constexpr Time kMaxConnectBackoff = ToTime(std::chrono::milliseconds(1600));
// Maximum number of doublings; keeps the shift within the range of Time.
constexpr int kMaxDoublings = 16;

Time DoubledBackoff(Time initial, Time max, int previous_failures) {
  return std::min(max, initial << std::min(previous_failures, kMaxDoublings));
}

}  // namespace

void TargetBackoff::OnOverloaded(Time now) {
  ends_at_ = now + DoubledBackoff(kInitialOverloadBackoff, kMaxOverloadBackoff, overloads_);
  ++overloads_;
}

void TargetBackoff::OnConnectFailed(Time now) {
  ends_at_ = now + DoubledBackoff(kInitialConnectBackoff, kMaxConnectBackoff, connect_failures_);
  ++connect_failures_;
}

void TargetBackoff::OnCompleted() {
  overloads_ = 0;
  connect_failures_ = 0;
}

}  // namespace walnutspur::limits

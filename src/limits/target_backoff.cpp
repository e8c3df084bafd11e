#include "limits/target_backoff.h"

#include <algorithm>

#include "limits/duration.h"

namespace walnutspur::limits {
namespace {

// Backoff after the first overload, and the number of times that it doubles: up to 0.96 s, since a full queue
// takes about a second to drain.
constexpr Time kOverloadBackoff = ToTime(std::chrono::milliseconds(30));
constexpr int kMaxOverloadDoublings = 5;
// Backoff after the first failed connect, and the number of times that it doubles: up to 1.6 s, so that a
// target that has restarted is soon in use.
constexpr Time kConnectBackoff = ToTime(std::chrono::milliseconds(200));
constexpr int kMaxConnectDoublings = 3;

}  // namespace

void TargetBackoff::OnOverloaded(Time now) {
  ends_at_ = now + (kOverloadBackoff << std::min(overloads_, kMaxOverloadDoublings));
  ++overloads_;
}

void TargetBackoff::OnConnectFailed(Time now) {
  ends_at_ = now + (kConnectBackoff << std::min(connect_failures_, kMaxConnectDoublings));
  ++connect_failures_;
}

void TargetBackoff::OnCompleted() {
  overloads_ = 0;
  connect_failures_ = 0;
}

}  // namespace walnutspur::limits

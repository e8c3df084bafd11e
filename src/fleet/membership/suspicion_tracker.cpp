#include "fleet/membership/suspicion_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutspur::fleet {
namespace {

// Minimum timeout of a suspicion, as a multiple of the protocol period times log10 of the number of members.
constexpr double kMinTimeoutPeriods = 3;
// Maximum timeout, used while no other member confirms the suspicion, as a multiple of the minimum.
constexpr double kMaxTimeoutFactor = 4;
// Number of confirmations by other members at which the timeout reaches its minimum.
constexpr int kConfirmationsForMinimum = 3;

}  // namespace

bool SuspicionTracker::Confirm(const std::string& name, const std::string& reporter) {
  Suspicion& suspicion = suspicions_[name];
  if (suspicion.confirmed_by.empty()) {
    suspicion.started_at = state_.timers.now();
  }
  return static_cast<int>(suspicion.confirmed_by.size()) <= kConfirmationsForMinimum &&
         suspicion.confirmed_by.insert(reporter).second;
}

std::size_t SuspicionTracker::confirmations(const std::string& name) const {
  const auto at = suspicions_.find(name);
  return at == suspicions_.end() ? 0 : at->second.confirmed_by.size();
}

void SuspicionTracker::StartTimer(const std::string& name, TimerQueue::Callback on_timeout) {
  Suspicion& suspicion = suspicions_.at(name);
  state_.timers.Cancel(suspicion.timer);
  const Time remaining = suspicion.started_at + Timeout(suspicion) - state_.timers.now();
  suspicion.timer = state_.timers.Start(std::max<Time>(remaining, 0), std::move(on_timeout));
}

void SuspicionTracker::Clear(const std::string& name) {
  const auto at = suspicions_.find(name);
  if (at == suspicions_.end()) {
    return;
  }
  state_.timers.Cancel(at->second.timer);
  suspicions_.erase(at);
}

Time SuspicionTracker::Timeout(const Suspicion& suspicion) const {
  const int live = state_.table.live_count();
  const double minimum = kMinTimeoutPeriods * static_cast<double>(state_.options.period) *
                         std::max(1.0, std::log10(static_cast<double>(live)));
  const int expected = std::min(kConfirmationsForMinimum, live - 2);
  if (!state_.options.lifeguard || expected < 1) {
    return static_cast<Time>(minimum);
  }
  const double others = std::max<double>(0, static_cast<double>(suspicion.confirmed_by.size()) - 1);
  const double fraction = std::min(1.0, std::log(others + 1) / std::log(static_cast<double>(expected) + 1));
  return static_cast<Time>(minimum * (kMaxTimeoutFactor - (kMaxTimeoutFactor - 1) * fraction));
}

}  // namespace walnutspur::fleet

#include "decision/endpoint_lease.h"

#include <algorithm>

#include "limits/duration.h"

namespace walnutspur::decision {
namespace {

// Notification deadline, a rule of the platform: a change counts as notified this long after discovery knew
// it and was reachable.
constexpr Time kNotificationDeadline = ToTime(std::chrono::seconds(6));
// Notification deadline after a new configuration names another discovery service; a rule of the platform.
constexpr Time kServiceChangeDeadline = ToTime(std::chrono::seconds(4));
// Maximum time between reading the clock and writing an attempt. The platform may pause an instance for
// 0.15 s; another 0.05 s are for the path from the scheduler to the socket.
constexpr Time kMaxWriteDelay = ToTime(std::chrono::milliseconds(200));
// If two refused connections, or the end of the watch and the first one, are at most this far apart,
// discovery was unreachable between them as well. The first call comes up to 1 s after the end of the watch,
// further ones come sooner (limits/poll_backoff).
constexpr Time kMaxUnreachableGap = ToTime(std::chrono::milliseconds(1'200));

}  // namespace

EndpointLease::EndpointLease(DiscoveryMode mode, Time drain_grace)
    : is_pushed_(mode == DiscoveryMode::kAutomatic), drain_grace_(drain_grace) {}

Time EndpointLease::DrainGraceEnd(Time at) const { return at + drain_grace_ - kMaxWriteDelay; }

void EndpointLease::ShortenTo(Time at) { expires_at_ = std::min(expires_at_, at); }

void EndpointLease::OnStarted(Time now) {
  is_watching_ = false;
  confirmed_until_ = now;
  expires_at_ = DrainGraceEnd(now + kNotificationDeadline);
}

void EndpointLease::OnListConfirmed() {
  is_watching_ = true;
  has_list_ = true;
  update_started_at_ = -1;
}

void EndpointLease::OnUpdateStarted(Time at) {
  if (update_started_at_ < 0) {
    update_started_at_ = at;
  }
}

void EndpointLease::OnFailed(Time now, Time current_until, DiscoveryFailure failure) {
  if (is_watching_) {
    is_watching_ = false;
    confirmed_until_ = current_until;
    expires_at_ = DrainGraceEnd(current_until + kNotificationDeadline);
  } else {
    OnCallFailed(now, failure);
  }
  if (update_started_at_ >= 0) {
    ShortenTo(DrainGraceEnd(update_started_at_));
    update_started_at_ = -1;
  }
}

void EndpointLease::OnCallFailed(Time now, DiscoveryFailure failure) {
  if (failure == DiscoveryFailure::kUnreachable) {
    Renew(now);
    return;
  }
  // The age of a cached list is unknown, so a drain that it does not contain may have been notified by now.
  // The same holds for a drain in a response that was lost with its connection.
  if (!has_list_ || failure == DiscoveryFailure::kConnectionLost) {
    ShortenTo(DrainGraceEnd(now));
  }
}

void EndpointLease::Renew(Time now) {
  const Time unshortened_expiry = DrainGraceEnd(confirmed_until_ + kNotificationDeadline);
  const bool was_shortened = expires_at_ < unshortened_expiry;
  if (!has_list_ || now - confirmed_until_ > kMaxUnreachableGap || was_shortened) {
    return;
  }
  confirmed_until_ = now;
  expires_at_ = DrainGraceEnd(now + kNotificationDeadline);
}

void EndpointLease::OnServiceChanged(Time now) {
  if (is_watching_) {
    is_watching_ = false;
    expires_at_ = kNever;
  }
  confirmed_until_ = now - kNotificationDeadline;  // too early for any renewal by Renew
  ShortenTo(DrainGraceEnd(now + kServiceChangeDeadline));
}

Time EndpointLease::expires_at() const {
  if (is_pushed_) {
    return kNever;
  }
  const Time expiry = is_watching_ ? kNever : expires_at_;
  return update_started_at_ >= 0 ? std::min(expiry, DrainGraceEnd(update_started_at_)) : expiry;
}

}  // namespace walnutspur::decision

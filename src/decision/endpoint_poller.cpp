#include "decision/endpoint_poller.h"

#include "limits/duration.h"

namespace walnutspur::decision {
namespace {

// Time allowed for the response to a poll: longer than the timeout of a call, well below the poll interval.
constexpr Time kPollTimeout = ToTime(std::chrono::seconds(5));
// Maximum backoff after failures.
constexpr Time kMaxPollDelay = ToTime(std::chrono::seconds(16));

}  // namespace

EndpointPoller::EndpointPoller(const Settings& settings)
    : is_enabled_(settings.discovery == DiscoveryMode::kSubscribe),
      backoff_(settings.instances, kMaxPollDelay) {}

void EndpointPoller::AwaitResponse(Time now) {
  if (is_enabled_) {
    next_poll_ = now + kPollTimeout;
  }
}

void EndpointPoller::OnPolled(Time now) {
  backoff_.OnPoll(now);
  AwaitResponse(now);
}

void EndpointPoller::OnResponse() {
  next_poll_ = -1;
  backoff_.OnResponse();
}

void EndpointPoller::OnFailed(Time now, DiscoveryFailure failure, RandomSource& random) {
  if (!is_enabled_) {
    return;
  }
  const bool is_unreachable = failure == DiscoveryFailure::kUnreachable;
  const double draw = random.Next();
  next_poll_ =
      now + (is_unreachable ? limits::PollBackoff::UnreachableDelay(draw) : backoff_.NextDelay(now, draw));
}

}  // namespace walnutspur::decision

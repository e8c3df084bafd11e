#include "app/graceful_shutdown.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "app/time_limits.h"
#include "core/clock.h"

namespace walnutspur::app {
namespace {

// Time for which new clients are accepted, us: the platform routes them here until then after SIGTERM.
constexpr Time kAcceptDuration = 450'000;

// Time between the deadline of the last responses and the stop of the event loop, us.
constexpr Time kResponseMargin = 100'000;

// Time between two calls of FrontEnd::AdvanceShutdown, us.
constexpr Time kCloseIdleInterval = 50'000;

}  // namespace

GracefulShutdown::GracefulShutdown(event_base* base, FrontEnds front_ends, std::function<void()> on_begin)
    : base_(base),
      front_ends_(std::move(front_ends)),
      on_begin_(std::move(on_begin)),
      close_idle_timer_(loop::MakeTimer(base, [this] { CloseIdle(); })),
      end_timer_(loop::MakeTimer(base, [this] { End(); })) {}

void GracefulShutdown::Begin(Time longest_deadline) {
  if (begun()) {
    return;
  }
  const Time begun_at = core::Now();
  close_idle_timer_.Start(kAcceptDuration);
  const Time duration = std::min(kMaxPlatformDeadline, longest_deadline) + kEndAfterMaxDeadline;
  end_timer_.Start(duration);
  ends_at_ = begun_at + duration;
  on_begin_();
  for (core::FrontEnd* front_end : front_ends_()) {
    front_end->SetShutdownDeadline(ends_at_ - kResponseMargin);
  }
}

void GracefulShutdown::CloseIdle() {
  std::size_t remaining = 0;
  for (core::FrontEnd* front_end : front_ends_()) {
    front_end->AdvanceShutdown(ends_at_ - kResponseMargin - core::Now());
    remaining += front_end->pending_requests() + front_end->connections();
  }
  if (remaining == 0) {
    event_base_loopbreak(base_);
  } else {
    close_idle_timer_.Start(kCloseIdleInterval);
  }
}

// Connections are shut down before they are closed, even if the event loop runs late: closing a socket with
// unread bytes would reset the connection.
void GracefulShutdown::End() {
  for (core::FrontEnd* front_end : front_ends_()) {
    front_end->AdvanceShutdown(-kResponseMargin);
  }
  event_base_loopbreak(base_);
}

}  // namespace walnutspur::app

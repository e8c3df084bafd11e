// Holds the requests that a front end has submitted and that have no response yet, each with a timer for its
// deadline.
//
// A timer that fires submits DeadlineExpired; the request stays in the table until its response arrives. Each
// front end owns one table; event-loop thread.
#ifndef WALNUTSPUR_FRONTEND_PENDING_REQUESTS_H_
#define WALNUTSPUR_FRONTEND_PENDING_REQUESTS_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/clock.h"
#include "core/messages.h"
#include "core/port.h"
#include "loop/loop.h"

namespace walnutspur::frontend {

// The timer of a request fires this long after the deadline set by its client, so that the timeouts of its
// attempts, which expire at the deadline itself, fire first.
constexpr Time kDeadlineGuard = 5'000;  // us

// `Origin` identifies where the response is sent: the connection and further data that the protocol needs.
template <typename Origin>
class PendingRequests {
 public:
  // `submit` is called with core::DeadlineExpired and core::ClientClosed.
  PendingRequests(event_base* base, core::SubmitInput submit) : base_(base), submit_(std::move(submit)) {}

  // Adds a request that arrives now and must have a response by `deadline` (us).
  void Add(core::RequestNumber number, Time deadline, Origin origin) {
    Request& request = requests_[number];
    request.origin = std::move(origin);
    request.received_at = core::Now();
    request.expires_at = deadline + kDeadlineGuard;
    request.timer = loop::MakeTimer(base_, [this, number] { submit_(core::DeadlineExpired{number}); });
    const Time fires_at =
        shutdown_deadline_ ? std::min(request.expires_at, *shutdown_deadline_) : request.expires_at;
    request.timer.Start(fires_at - core::Now());
  }

  // Returns the origin of a request, or null if the request is not pending because its client has
  // disconnected.
  const Origin* Find(core::RequestNumber number) const {
    const auto at = requests_.find(number);
    return at == requests_.end() ? nullptr : &at->second.origin;
  }

  struct CompletedRequest {
    Origin origin;
    Time latency = 0;  // time elapsed since the request arrived, us
  };
  // Removes a request whose response has arrived, and returns it; returns nullopt if it is not pending.
  std::optional<CompletedRequest> TakeCompleted(core::RequestNumber number) {
    const auto at = requests_.find(number);
    if (at == requests_.end()) {
      return std::nullopt;
    }
    CompletedRequest completed{std::move(at->second.origin), core::Now() - at->second.received_at};
    requests_.erase(at);
    return completed;
  }

  // Removes a request whose client has disconnected, and submits ClientClosed; does nothing if it is not
  // pending. `waited`: as in ClientClosed.
  void RemoveDisconnected(core::RequestNumber number, bool waited = true) {
    if (requests_.erase(number) > 0) {
      submit_(core::ClientClosed{number, waited});
    }
  }

  // Limits the deadlines of all present and later requests to `deadline` (us).
  void SetShutdownDeadline(Time deadline) {
    shutdown_deadline_ = deadline;
    for (auto& [number, request] : requests_) {
      if (request.expires_at > deadline) {
        request.timer.Start(deadline - core::Now());
      }
    }
  }

  std::size_t size() const { return requests_.size(); }

 private:
  struct Request {
    Origin origin;
    Time received_at = 0;  // us
    Time expires_at = 0;   // us; applies without a shutdown
    loop::EventHandle timer;
  };

  event_base* base_;
  core::SubmitInput submit_;
  std::optional<Time> shutdown_deadline_;  // us
  std::unordered_map<core::RequestNumber, Request> requests_;
};

}  // namespace walnutspur::frontend

#endif  // WALNUTSPUR_FRONTEND_PENDING_REQUESTS_H_

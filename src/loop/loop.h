// RAII over libevent: the event loop, and events (timers, signals, sockets) that call a function.
//
// All of it belongs to the thread that runs the loop; only EventHandle::Activate may be called from others,
// and only where libevent's threads are in use.
#ifndef WALNUTSPUR_LOOP_LOOP_H_
#define WALNUTSPUR_LOOP_LOOP_H_

#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "core/engine.h"

namespace walnutspur::loop {

constexpr Time kMicrosecondsPerSecond = 1'000'000;

// libevent's bit sets EV_* and BEV_EVENT_*, which its interface has as `short`.
using EventMask = std::int16_t;

// A deleter for std::unique_ptr that calls one of libevent's functions.
template <auto Free>
struct Deleter {
  template <typename T>
  void operator()(T* object) const {
    Free(object);
  }
};
using EventBasePtr = std::unique_ptr<event_base, Deleter<event_base_free>>;
using EventPtr = std::unique_ptr<event, Deleter<event_free>>;

// A duration in microseconds as a timeval; a negative one is zero.
inline timeval ToTimeval(Time delay) {
  delay = std::max<Time>(delay, 0);
  return {static_cast<time_t>(delay / kMicrosecondsPerSecond),
          static_cast<suseconds_t>(delay % kMicrosecondsPerSecond)};
}

inline Time ToMicroseconds(const timeval& time) {
  return static_cast<Time>(time.tv_sec) * kMicrosecondsPerSecond + time.tv_usec;
}

// An event of the loop that calls a function: a timer, a signal or a socket. It is off until it is started.
class EventHandle {
 public:
  // No event: only Stop may be called.
  EventHandle() = default;
  EventHandle(event_base* base, evutil_socket_t fd, EventMask events, std::function<void()> callback)
      : callback_(std::make_unique<std::function<void()>>(std::move(callback))),
        event_(event_new(
            base, fd, events,
            [](evutil_socket_t, EventMask, void* arg) {
              // A copy, because the call may destroy this handle.
              const auto function = *static_cast<std::function<void()>*>(arg);
              function();
            },
            callback_.get())) {}

  // Waits for the event without a time limit.
  void Start() { event_add(event_.get(), nullptr); }
  // Fires in `delay` microseconds at the latest; restarts one that runs.
  void Start(Time delay) {
    const timeval time = ToTimeval(delay);
    event_add(event_.get(), &time);
  }
  void Stop() {
    if (event_) {
      event_del(event_.get());
    }
  }
  // When a timer that runs will fire, as libevent has it on the wall clock.
  timeval ExpiryOnWallClock() const {
    timeval expiry{};
    event_pending(event_.get(), EV_TIMEOUT, &expiry);
    return expiry;
  }
  // Fires in the loop's next turn, started or not.
  void Activate() { event_active(event_.get(), EV_READ, 0); }

 private:
  std::unique_ptr<std::function<void()>> callback_;  // on the heap: libevent holds its address
  EventPtr event_;
};

// A timer that fires once each time it is started.
inline EventHandle MakeTimer(event_base* base, std::function<void()> callback) {
  return {base, -1, 0, std::move(callback)};
}

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_LOOP_H_

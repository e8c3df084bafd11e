// RAII over libevent: the event loop, and events (timers, signals, sockets) that call a function.
//
// Used on the thread that runs the loop only. The exception is EventHandle::Activate, which may be called
// from other threads if libevent's thread support is enabled.
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

// The bit masks EV_* and BEV_EVENT_*, which have the type `short` in libevent's interface.
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

// Converts a delay in microseconds to a timeval; a negative delay becomes zero.
inline timeval ToTimeval(Time delay) {
  delay = std::max<Time>(delay, 0);
  return {static_cast<time_t>(delay / kMicrosecondsPerSecond),
          static_cast<suseconds_t>(delay % kMicrosecondsPerSecond)};
}

inline Time ToMicroseconds(const timeval& time) {
  return static_cast<Time>(time.tv_sec) * kMicrosecondsPerSecond + time.tv_usec;
}

// Class EventHandle owns an event of the loop (a timer, a signal or a socket) that calls a function. The
// event is inactive until it is started.
class EventHandle {
 public:
  // Creates a handle without an event; only Stop may be called on it.
  EventHandle() = default;
  EventHandle(event_base* base, evutil_socket_t fd, EventMask events, std::function<void()> callback)
      : callback_(std::make_unique<std::function<void()>>(std::move(callback))),
        event_(event_new(
            base, fd, events,
            [](evutil_socket_t, EventMask, void* arg) {
              // Calls a copy, because the function may destroy this handle.
              const auto function = *static_cast<std::function<void()>*>(arg);
              function();
            },
            callback_.get())) {}

  // Waits for the event without a time limit.
  void Start() { event_add(event_.get(), nullptr); }
  // Waits for the event for at most `delay` microseconds, then calls the function all the same. Restarts a
  // timer that is running.
  void Start(Time delay) {
    const timeval time = ToTimeval(delay);
    event_add(event_.get(), &time);
  }
  void Stop() {
    if (event_) {
      event_del(event_.get());
    }
  }
  // Returns when a running timer will fire, as wall time by libevent's clock.
  timeval ExpiryOnWallClock() const {
    timeval expiry{};
    event_pending(event_.get(), EV_TIMEOUT, &expiry);
    return expiry;
  }
  // Fires in the loop's next iteration, whether or not the event is started.
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

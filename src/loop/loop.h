// RAII over libevent: the loop, and one timer for each wait.
#ifndef WALNUTSPUR_LOOP_LOOP_H_
#define WALNUTSPUR_LOOP_LOOP_H_

#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "core/engine.h"

namespace walnutspur::loop {

template <auto Free>
struct Deleter {
  template <typename T>
  void operator()(T* object) const {
    Free(object);
  }
};
using EventBasePtr = std::unique_ptr<event_base, Deleter<event_base_free>>;
using EventPtr = std::unique_ptr<event, Deleter<event_free>>;

inline timeval ToTimeval(Time after) {
  after = std::max<Time>(after, 0);
  return {static_cast<time_t>(after / 1'000'000), static_cast<suseconds_t>(after % 1'000'000)};
}

// An event of the loop that calls a function: a timer, a signal or a socket.
class EventHandle {
 public:
  EventHandle() = default;
  EventHandle(event_base* base, evutil_socket_t fd, short what, std::function<void()> call)
      : call_(std::make_unique<std::function<void()>>(std::move(call))),
        event_(event_new(
            base, fd, what,
            [](evutil_socket_t, short, void* arg) {
              const auto run = *static_cast<std::function<void()>*>(arg);  // it may destroy the watcher
              run();
            },
            call_.get())) {}

  void Start() { event_add(event_.get(), nullptr); }
  void Start(Time after) {
    const timeval time = ToTimeval(after);
    event_add(event_.get(), &time);
  }
  void Stop() {
    if (event_) event_del(event_.get());
  }
  void Activate() { event_active(event_.get(), EV_READ, 0); }

 private:
  std::unique_ptr<std::function<void()>> call_;
  EventPtr event_;
};

inline EventHandle MakeTimer(event_base* base, std::function<void()> call) {
  return EventHandle(base, -1, 0, std::move(call));
}

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_LOOP_H_

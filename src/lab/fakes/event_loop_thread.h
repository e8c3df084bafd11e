// Runs an event loop on a thread of its own, for fakes of clients, targets and discovery.
//
// Created and destroyed by its owner's thread, which also starts and stops it. The owner must free the events
// and sockets of the loop after Stop and before the loop itself is destroyed.
#ifndef WALNUTSPUR_LAB_FAKES_EVENT_LOOP_THREAD_H_
#define WALNUTSPUR_LAB_FAKES_EVENT_LOOP_THREAD_H_

#include <stdexcept>
#include <thread>

#include "loop/loop.h"

namespace walnutspur::lab {

// Thrown if libevent has no support for threads.
class EventLoopError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class EventLoopThread {
 public:
  // Creates the loop, which does not run before Start. Throws EventLoopError.
  EventLoopThread();
  ~EventLoopThread();  // stops the loop
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  // Runs the loop until Stop.
  void Start();
  // Stops the loop and joins its thread. The loop's events and sockets stay open.
  void Stop();

  event_base* base() const { return base_.get(); }

 private:
  loop::EventBasePtr base_;
  loop::EventHandle stop_;
  std::thread thread_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_EVENT_LOOP_THREAD_H_

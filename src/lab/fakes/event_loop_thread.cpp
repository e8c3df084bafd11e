#include "lab/fakes/event_loop_thread.h"

#include <event2/thread.h>

namespace walnutspur::lab {
namespace {

// Creates an event base. Libevent's locks must be set up before the first base is created.
loop::EventBasePtr MakeThreadSafeBase() {
  static const int status = evthread_use_pthreads();
  if (status != 0) {
    throw EventLoopError("libevent: cannot enable support for threads");
  }
  return loop::EventBasePtr(event_base_new());
}

}  // namespace

EventLoopThread::EventLoopThread()
    : base_(MakeThreadSafeBase()),
      stop_(base_.get(), -1, EV_PERSIST, [this] { event_base_loopbreak(base_.get()); }) {}

EventLoopThread::~EventLoopThread() { Stop(); }

void EventLoopThread::Start() {
  thread_ = std::thread([this] { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); });
}

void EventLoopThread::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  stop_.Activate();
  thread_.join();
}

}  // namespace walnutspur::lab

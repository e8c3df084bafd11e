// The thread that owns the engine, and with it the Scheduler.
#ifndef WALNUTSPUR_CORE_SCHEDULER_THREAD_H_
#define WALNUTSPUR_CORE_SCHEDULER_THREAD_H_

#include <functional>
#include <thread>
#include <vector>

#include "core/engine.h"
#include "core/queue.h"

namespace walnutspur::core {

// Microseconds of Unix time that never run backwards: taken once, carried on by the steady clock.
Time Now();

class SchedulerThread {
 public:
  // `wake` is called on the owner's thread whenever outputs wait that the reader has not been told of.
  SchedulerThread(const Settings& settings, std::uint64_t seed, std::function<void()> wake);
  ~SchedulerThread();
  SchedulerThread(const SchedulerThread&) = delete;
  SchedulerThread& operator=(const SchedulerThread&) = delete;

  void Submit(Input input) { inputs_.Push(std::move(input)); }
  std::vector<Output> TakeOutputs() { return outputs_.Take(); }

 private:
  void Run();

  Engine engine_;
  std::function<void()> wake_;
  Queue<Input> inputs_;
  Queue<Output> outputs_;
  std::thread thread_;
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_SCHEDULER_THREAD_H_

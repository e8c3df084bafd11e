// Runs the engine, and with it the Scheduler, on a thread of its own. Owned by the Initiator.
#ifndef WALNUTSPUR_CORE_SCHEDULER_THREAD_H_
#define WALNUTSPUR_CORE_SCHEDULER_THREAD_H_

#include <cstdint>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/engine.h"
#include "core/queue.h"

namespace walnutspur::core {

// Class SchedulerThread handles submitted inputs on its thread and queues the outputs for the event-loop
// thread.
class SchedulerThread {
 public:
  // Starts the thread. It calls `notify_outputs` when outputs are queued and the reader has not been notified
  // since it last took outputs.
  SchedulerThread(const Settings& settings, std::uint64_t seed, std::function<void()> notify_outputs);
  // Handles the inputs submitted so far, then joins the thread.
  ~SchedulerThread();
  SchedulerThread(const SchedulerThread&) = delete;
  SchedulerThread& operator=(const SchedulerThread&) = delete;

  // Queues an input; callable from any thread.
  void Submit(Input input) { inputs_.Push(std::move(input)); }
  // Removes and returns the queued outputs, in order; must be called on the event-loop thread.
  std::vector<Output> TakeOutputs() { return outputs_.Take(); }

 private:
  void Run();

  Engine engine_;
  std::function<void()> notify_outputs_;
  Queue<Input> inputs_;
  Queue<Output> outputs_;
  std::thread thread_;  // declared last, because it uses the members above
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_SCHEDULER_THREAD_H_

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

class Owner {
 public:
  // `wake` is called on the owner's thread whenever outputs wait that the reader has not been told of.
  Owner(const Settings& settings, std::uint64_t seed, std::function<void()> wake);
  ~Owner();
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void Post(Input input) { inputs_.Push(std::move(input)); }
  std::vector<Output> Take() { return outputs_.Take(); }

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

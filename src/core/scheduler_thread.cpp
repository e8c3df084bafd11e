#include "core/scheduler_thread.h"

#include <chrono>
#include <utility>

namespace walnutspur::core {

Time Now() {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  static const Time offset =
      duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count() -
      duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
  return offset + duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

SchedulerThread::SchedulerThread(const Settings& settings, std::uint64_t seed, std::function<void()> wake)
    : engine_(settings, seed), wake_(std::move(wake)), thread_([this] { Run(); }) {}

SchedulerThread::~SchedulerThread() {
  inputs_.Close();
  thread_.join();
}

void SchedulerThread::Run() {
  if (outputs_.Push(engine_.Start(Now()))) wake_();
  while (true) {
    const std::vector<Input> inputs = inputs_.Wait();
    if (inputs.empty()) return;
    for (const Input& input : inputs) {
      if (outputs_.Push(engine_.Handle(input, Now()))) wake_();
    }
  }
}

}  // namespace walnutspur::core

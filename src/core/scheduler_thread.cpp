#include "core/scheduler_thread.h"

#include <utility>

namespace walnutspur::core {

SchedulerThread::SchedulerThread(const Settings& settings, std::uint64_t seed,
                                 std::function<void()> notify_outputs)
    : engine_(settings, seed), notify_outputs_(std::move(notify_outputs)), thread_([this] { Run(); }) {}

SchedulerThread::~SchedulerThread() {
  inputs_.Close();
  thread_.join();
}

void SchedulerThread::Run() {
  if (outputs_.Push(engine_.Start(Now()))) {
    notify_outputs_();
  }
  while (true) {
    const std::vector<Input> inputs = inputs_.Wait();
    if (inputs.empty()) {
      return;
    }
    for (const Input& input : inputs) {
      if (outputs_.Push(engine_.Handle(input, Now()))) {
        notify_outputs_();
      }
    }
  }
}

}  // namespace walnutspur::core

#include "lab/soak/stall_monitor.h"

#include <algorithm>
#include <utility>

#include "core/clock.h"

namespace walnutspur::lab::soak {
namespace {

constexpr Time kCheckInterval = 10'000;       // us
constexpr Time kWaitCheckInterval = 100'000;  // us
constexpr Time kMinRecorded = 20'000;         // us; shorter stalls and waits are not recorded
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

StallMonitor::StallMonitor(event_base* base, int processes, FindProcess find_process, Record* record)
    : processes_(processes),
      find_process_(std::move(find_process)),
      record_(record),
      timer_(loop::MakeTimer(base, [this] { Check(); })) {}

void StallMonitor::Start() {
  due_at_ = core::Now();
  Check();
}

void StallMonitor::Check() {
  const Time now = core::Now();
  const Time stall = now - due_at_;
  longest_stall_ = std::max(longest_stall_, stall);
  if (stall >= kMinRecorded) {
    record_->stalls.push_back({due_at_, now});
  }
  if (now >= next_wait_check_at_) {
    RecordWaits(now);
    next_wait_check_at_ = now + kWaitCheckInterval;
  }
  due_at_ = now + kCheckInterval;
  timer_.Start(kCheckInterval);
}

void StallMonitor::RecordWaits(Time now) {
  for (int number = 0; number < processes_; ++number) {
    const Process* process = find_process_(number);
    if (process == nullptr) {
      continue;
    }
    const Time total = static_cast<Time>(process->processor_wait() * kMicrosecondsPerSecond);
    const Time waited = total - std::exchange(waited_[number], total);  // negative after a restart
    if (waited >= kMinRecorded) {
      record_->waits.push_back({now, number, waited});
    }
  }
}

}  // namespace walnutspur::lab::soak

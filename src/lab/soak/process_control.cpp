#include "lab/soak/process_control.h"

#include <algorithm>
#include <csignal>

#include "core/clock.h"

namespace walnutspur::lab::soak {
namespace {

// The platform sends SIGKILL at the earliest this long after SIGTERM: the longest deadline, up to a maximum,
// and a margin. All in us.
constexpr Time kMaxKillDelay = 3'000'000;
constexpr Time kKillDelay = 700'000;

constexpr Time kRestartDelay = 800'000;        // us from the exit of a process to its restart
constexpr Time kExitPollInterval = 20'000;     // us
constexpr Time kReloadInterval = 20'000;       // us between the signals of a series
constexpr int kReloads = 5;                    // signals of a series
constexpr Time kTerminationInterval = 50'000;  // us from the SIGTERM of one process to that of the next

}  // namespace

ProcessControl::ProcessControl(const SoakPlan& plan, TestEnvironment* environment)
    : plan_(plan), environment_(environment) {}

bool ProcessControl::IsBusy(int process) const {
  const auto at = busy_.find(process);
  return at != busy_.end() && at->second;
}

void ProcessControl::Apply(const FaultEvent& event) {
  const int process = event.process;
  switch (event.kind) {
    case FaultEventKind::kPause:
      Pause(process, event.duration);
      break;
    case FaultEventKind::kReload:
      environment_->Reload(process);
      break;
    case FaultEventKind::kReloadSeries:
      ReloadInSeries(process);
      break;
    case FaultEventKind::kKill:
      StopUnlessBusy(process, [this, process] { Restart(process); });
      break;
    case FaultEventKind::kTerminateAll:
      TerminateAll();
      break;
    default:
      ApplyTermination(event);
      break;
  }
}

// Applies an event that sends SIGTERM to one process.
void ProcessControl::ApplyTermination(const FaultEvent& event) {
  const int process = event.process;
  const auto terminate = [this, process] { TerminateThenKill(process); };
  switch (event.kind) {
    case FaultEventKind::kTerminate:
      StopUnlessBusy(process, terminate);
      break;
    case FaultEventKind::kReloadTerminate:
      environment_->Reload(process);
      StopUnlessBusy(process, terminate);
      break;
    case FaultEventKind::kTerminateReload:
      StopUnlessBusy(process, terminate);
      environment_->Reload(process);
      break;
    case FaultEventKind::kTerminateTwice:
      StopUnlessBusy(process, [&] {
        TerminateThenKill(process);
        SignalAfter(event.duration, process, SIGTERM);
      });
      break;
    case FaultEventKind::kTerminatePaused:
      StopUnlessBusy(process, [&] {
        Pause(process, event.duration);
        TerminateThenKill(process);
      });
      break;
    case FaultEventKind::kTerminateRestart:
      StopUnlessBusy(process, [&] { TerminateThenRestart(process, event.duration); });
      break;
    default:
      break;
  }
}

void ProcessControl::Pause(int process, Time duration) {
  environment_->Signal(process, SIGSTOP);
  SignalAfter(duration, process, SIGCONT);
}

void ProcessControl::ReloadInSeries(int process) {
  for (int number = 0; number < kReloads; ++number) {
    environment_->After(number * kReloadInterval, [this, process] { environment_->Reload(process); });
  }
}

// Calls `stop`, which stops and restarts the process, unless the process is busy.
void ProcessControl::StopUnlessBusy(int process, const std::function<void()>& stop) {
  if (!IsBusy(process)) {
    busy_[process] = true;
    stop();
  }
}

void ProcessControl::TerminateAll() {
  for (int process = 0; process < plan_.processes; ++process) {
    environment_->After(process * kTerminationInterval, [this, process] {
      StopUnlessBusy(process, [this, process] { TerminateThenKill(process); });
    });
  }
}

void ProcessControl::TerminateThenKill(int process) {
  environment_->Terminate(process);
  environment_->After(KillDelay(), [this, process] { Restart(process); });
}

void ProcessControl::TerminateThenRestart(int process, Time second_signal_after) {
  environment_->Terminate(process);
  SignalAfter(second_signal_after, process, SIGTERM);
  RestartOnExit(process, core::Now() + KillDelay());
}

// Restarts the process as soon as it has exited. Kills it if it still runs at `kill_at`.
void ProcessControl::RestartOnExit(int process, Time kill_at) {
  if (environment_->IsRunning(process) && core::Now() < kill_at) {
    environment_->After(kExitPollInterval, [this, process, kill_at] { RestartOnExit(process, kill_at); });
    return;
  }
  if (environment_->IsRunning(process)) {
    environment_->Kill(process);
  }
  environment_->Start(process, TestEnvironment::StartMode::kAtOnce);
  busy_[process] = false;
}

void ProcessControl::Restart(int process) {
  environment_->Kill(process);
  environment_->After(kRestartDelay, [this, process] {
    environment_->Start(process, TestEnvironment::StartMode::kAtOnce);
    busy_[process] = false;
  });
}

// Sends the signal to the process that has this number then.
void ProcessControl::SignalAfter(Time delay, int process, int number) {
  environment_->After(delay, [this, process, number] { environment_->Signal(process, number); });
}

Time ProcessControl::KillDelay() const { return std::min(plan_.load.deadline, kMaxKillDelay) + kKillDelay; }

}  // namespace walnutspur::lab::soak

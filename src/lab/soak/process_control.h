// Signals, kills and restarts the processes of a test environment as the platform does.
//
// Owned by the run of a plan; runs on the thread of the environment's event loop. A process that is being
// stopped or restarted is busy: a further event that would stop it has no effect.
#ifndef WALNUTSPUR_LAB_SOAK_PROCESS_CONTROL_H_
#define WALNUTSPUR_LAB_SOAK_PROCESS_CONTROL_H_

#include <functional>
#include <map>

#include "lab/soak/plan.h"
#include "lab/soak/test_environment.h"

namespace walnutspur::lab::soak {

class ProcessControl {
 public:
  // `environment` must outlive the control.
  ProcessControl(const SoakPlan& plan, TestEnvironment* environment);

  // Sends the first signal of an event now and schedules those that follow. Ignores events of other kinds.
  void Apply(const FaultEvent& event);

  bool IsBusy(int process) const;

 private:
  void Pause(int process, Time duration);
  void ReloadInSeries(int process);
  void ApplyTermination(const FaultEvent& event);
  void StopUnlessBusy(int process, const std::function<void()>& stop);
  void TerminateAll();
  void TerminateThenKill(int process);
  void TerminateThenRestart(int process, Time second_signal_after);
  void RestartOnExit(int process, Time kill_at);
  void Restart(int process);
  void SignalAfter(Time delay, int process, int number);
  Time KillDelay() const;

  const SoakPlan& plan_;
  TestEnvironment* environment_;
  std::map<int, bool> busy_;
};

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_PROCESS_CONTROL_H_

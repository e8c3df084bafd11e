// The state shared by the models of one simulated run: the experiment, the virtual clock, the event queue,
// the event log and the results. Owned by Simulation; used on its one thread.
#ifndef WALNUTSPUR_LAB_SIM_SIMULATION_CONTEXT_H_
#define WALNUTSPUR_LAB_SIM_SIMULATION_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "lab/sim/event_log.h"
#include "lab/sim/experiment.h"
#include "lab/sim/results.h"
#include "lab/sim/scheduled_event.h"
#include "lab/sim/test_hooks.h"

namespace walnutspur::lab::sim {

// Virtual time of the first possible request, us. Endpoints are known before it.
constexpr Time kLoadStart = 1'000'000;

// Work is counted and logged in integer thousandths of a unit.
constexpr double kUnitScale = 1000;

class SimulationContext {
 public:
  // `log` outlives the context.
  SimulationContext(const Experiment& experiment, EventLog* log, TestHooks hooks);

  const Experiment& experiment() const { return experiment_; }
  const TestHooks& hooks() const { return hooks_; }
  SimulationResults& results() { return results_; }
  Time now() const { return now_; }  // virtual time, us
  // Returns the end of the load, before which the last request arrives, us.
  Time load_end() const { return kLoadStart + experiment_.duration; }

  // Schedules an event for `at`, or for now if `at` is in the past.
  void Schedule(Time at, const EventBody& body);
  // Removes the next event from the queue, advances the clock to its time and returns it; returns nullopt if
  // no event is due up to `end`.
  std::optional<EventBody> TakeNext(Time end);
  // Advances the clock without an event, to the end of the run.
  void set_now(Time now) { now_ = now; }

  // Logs `entry` with the current time.
  void Record(LogEntry entry);

 private:
  const Experiment experiment_;
  EventLog* log_;
  TestHooks hooks_;
  SimulationResults results_;
  Time now_ = 0;
  std::uint64_t next_order_ = 0;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> queue_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_SIMULATION_CONTEXT_H_

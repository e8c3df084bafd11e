#include "lab/sim/simulation_context.h"

#include <algorithm>
#include <utility>

namespace walnutspur::lab::sim {

SimulationContext::SimulationContext(const Experiment& experiment, EventLog* log, TestHooks hooks)
    : experiment_(experiment), log_(log), hooks_(std::move(hooks)) {}

void SimulationContext::Schedule(Time at, const EventBody& body) {
  queue_.push({std::max(at, now_), next_order_++, body});
}

std::optional<EventBody> SimulationContext::TakeNext(Time end) {
  if (queue_.empty() || queue_.top().at > end) {
    return std::nullopt;
  }
  const ScheduledEvent event = queue_.top();
  queue_.pop();
  now_ = event.at;
  return event.body;
}

void SimulationContext::Record(LogEntry entry) {
  entry.at = now_;
  if (hooks_.entry && !hooks_.entry(&entry)) {
    return;
  }
  log_->Append(entry);
}

}  // namespace walnutspur::lab::sim

#include "decision/loss_detection.h"

namespace walnutspur::decision {
namespace {

// Number of the attempt's service times in the margin. The service time of equal work varies by less.
constexpr double kMarginServiceTimes = 4;
// Fraction of the tightest latency objective in the margin for "presumed lost".
constexpr double kLostObjectiveFraction = 0.25;
// Fraction of the class's latency objective in the margin for "overtaken".
constexpr double kOvertakenObjectiveFraction = 0.12;

// Returns whether an attempt that was sent more than the margin after `sent_at` has completed.
bool IsOvertakenBy(const TargetState& target, Time sent_at, double units, Duration objective_margin) {
  const Duration margin = kMarginServiceTimes * units * target.latency.unit_time() + objective_margin;
  return Elapsed(sent_at, target.latest_completed_send) > margin;
}

}  // namespace

bool IsPresumedLost(const SchedulerState& state, const TargetState& target, Time sent_at, double units) {
  return IsOvertakenBy(target, sent_at, units, kLostObjectiveFraction * state.tightest_objective);
}

bool IsPresumedLost(const SchedulerState& state, const TargetState& target, const Attempt& attempt) {
  return IsPresumedLost(state, target, attempt.sent_at, attempt.units);
}

bool IsOvertaken(const SchedulerState& state, const TargetState& target, const Attempt& attempt) {
  const Duration objective = Microseconds(state.ClassOf(*attempt.request).latency_objective);
  return IsOvertakenBy(target, attempt.sent_at, attempt.units, kOvertakenObjectiveFraction * objective);
}

}  // namespace walnutspur::decision

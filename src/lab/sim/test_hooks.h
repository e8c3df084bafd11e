// Hooks with which tests violate an invariant on purpose. Each is optional; none is set outside of tests.
#ifndef WALNUTSPUR_LAB_SIM_TEST_HOOKS_H_
#define WALNUTSPUR_LAB_SIM_TEST_HOOKS_H_

#include <functional>
#include <vector>

#include "core/engine.h"
#include "lab/sim/event_log.h"

namespace walnutspur::lab::sim {

// Optional interventions in a run.
struct TestHooks {
  // Called with the outputs of an initiator's engine before they are executed; may change them.
  std::function<void(int initiator, Time now, std::vector<core::Output>* outputs)> outputs;
  // Wraps the decision function of the policy.
  std::function<core::DecisionFunction(core::DecisionFunction)> decide;
  // Called with an entry before it is logged; may change it, and returns false to discard it.
  std::function<bool(LogEntry* entry)> entry;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_TEST_HOOKS_H_

#include "decision/key_order.h"

#include <algorithm>

namespace walnutspur::decision {

bool IsKeyFree(SchedulerState& state, const RequestState& request) {
  if (!state.IsOrdered(request)) {
    return true;
  }
  KeyChain& chain = state.key_chains[request.key];
  chain.RemoveFinished();
  const bool is_first = !chain.requests.empty() && chain.requests.front().get() == &request;
  return is_first && (request.attempts > 0 || state.now >= chain.quarantined_until);
}

void QuarantineKey(SchedulerState& state, const RequestState& request, Outcome outcome) {
  const bool may_run_on =
      outcome == Outcome::kTimedOut || outcome == Outcome::kConnectionReset || outcome == Outcome::kCancelled;
  if (may_run_on && state.IsOrdered(request) && state.settings.rules.key_quarantine) {
    Time& until = state.key_chains[request.key].quarantined_until;
    until = std::max(until, state.now + *state.settings.rules.key_quarantine);
  }
}

}  // namespace walnutspur::decision

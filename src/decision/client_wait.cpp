#include "decision/client_wait.h"

#include "limits/duration.h"

namespace walnutspur::decision {

void ClientWait::OnRequestEnded(const RequestState& request, Time objective, bool disconnected, Time now) {
  // Clients that announce a short wait, or disconnect after the objective, do not represent the others.
  const double age = Elapsed(request.arrived_at, now) / Microseconds(objective);
  const bool announced_long_wait = request.deadline - request.arrived_at >= objective;
  const bool disconnected_late = disconnected && age >= 1;
  if (!request.finished && announced_long_wait && !disconnected_late) {
    abandonment_.Record(age, disconnected, now);
  }
}

}  // namespace walnutspur::decision

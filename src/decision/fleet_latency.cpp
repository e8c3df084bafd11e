#include "decision/fleet_latency.h"

#include <algorithm>

namespace walnutspur::decision {
namespace {

// Time in which the weight of a response decays to 1/e.
constexpr Duration kDecayTime = std::chrono::seconds(2);

}  // namespace

void FleetLatency::OnCompleted(Duration queueing, Duration max_queueing, Time now) {
  queueing_sum_.Add(std::min(queueing, max_queueing).count(), now, kDecayTime);
  responses_.Add(1, now, kDecayTime);
  samples_.Add(queueing, Duration::zero());
}

Duration FleetLatency::MeanQueueing(Time now) const {
  return Duration(queueing_sum_.ValueAt(now, kDecayTime) / (1 + responses_.ValueAt(now, kDecayTime)));
}

}  // namespace walnutspur::decision

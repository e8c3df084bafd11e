#include "lab/sim/discovery_model.h"

#include <utility>

namespace walnutspur::lab::sim {

void DiscoveryModel::Publish(int server, EndpointState state) {
  if (outage_) {
    held_updates_.push_back({server, state});
    return;
  }
  const Experiment& experiment = context_.experiment();
  for (int initiator = 0; initiator < experiment.initiators; ++initiator) {
    const Time delay =
        experiment.discovery_delay +
        static_cast<Time>(random_.Uniform() * static_cast<double>(experiment.discovery_jitter));
    context_.Schedule(context_.now() + delay, EndpointNotified{initiator, server, state});
  }
}

void DiscoveryModel::SetOutage(bool outage) {
  outage_ = outage;
  if (outage) {
    return;
  }
  for (const HeldUpdate& update : std::exchange(held_updates_, {})) {
    Publish(update.server, update.state);
  }
}

}  // namespace walnutspur::lab::sim

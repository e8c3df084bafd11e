// Models service discovery: notifies every initiator of a server's state, each after a separately drawn
// delay. Notifications are held back during an outage and sent when it ends. Owned by Simulation; used on its
// one thread.
#ifndef WALNUTSPUR_LAB_SIM_DISCOVERY_MODEL_H_
#define WALNUTSPUR_LAB_SIM_DISCOVERY_MODEL_H_

#include <vector>

#include "lab/random.h"
#include "lab/sim/simulation_context.h"

namespace walnutspur::lab::sim {

// Publishes endpoint states to all initiators.
class DiscoveryModel {
 public:
  // `context` outlives the model.
  explicit DiscoveryModel(SimulationContext* context)
      : context_(*context), random_(context->experiment().seed, "list") {}

  // Schedules a notification of the server's state for each initiator.
  void Publish(int server, EndpointState state);
  // Begins or ends an outage.
  void SetOutage(bool outage);

 private:
  struct HeldUpdate {
    int server = 0;
    EndpointState state = EndpointState::kActive;
  };

  SimulationContext& context_;
  Random random_;
  bool outage_ = false;
  std::vector<HeldUpdate> held_updates_;  // during an outage, in order
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_DISCOVERY_MODEL_H_

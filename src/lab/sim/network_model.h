// Models the network between initiators and storage servers: one-way delays, reordering, broken connections
// and zones that are partitioned from the others. Owned by Simulation; used on its one thread.
#ifndef WALNUTSPUR_LAB_SIM_NETWORK_MODEL_H_
#define WALNUTSPUR_LAB_SIM_NETWORK_MODEL_H_

#include <set>

#include "lab/random.h"
#include "lab/sim/experiment.h"

namespace walnutspur::lab::sim {

// Time until both ends of a broken connection detect the reset, us.
constexpr Time kResetDetectionTime = 200'000;

// Whether a request is delivered and whether its connection breaks.
enum class Delivery {
  kDelivered,              // the connection stays open
  kDeliveredAndBroken,     // the server receives the request; the connection is reset
  kNotDeliveredAndBroken,  // the server never receives the request; the connection is reset
};

// Class NetworkModel draws the delays and failures of messages from its own random stream.
class NetworkModel {
 public:
  // `experiment` outlives the model.
  explicit NetworkModel(const Experiment& experiment)
      : experiment_(experiment), random_(experiment.seed, "network") {}

  // Draws a one-way delay, us.
  Time DrawDelay();
  // Draws whether the connection breaks during a request, and whether before or after the delivery.
  Delivery DrawDelivery();

  // Begins or ends the partition of a zone from all others.
  void SetPartitioned(int zone, bool partitioned);
  // Returns whether a partition separates the two zones.
  bool IsPartitioned(int zone_a, int zone_b) const;

 private:
  const Experiment& experiment_;
  Random random_;
  std::set<int> partitioned_zones_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_NETWORK_MODEL_H_

// The network between initiators and storage servers: one-way delays, reordering, broken connections and
// zones that are partitioned from the others. Owned by Simulation; used on its one thread.
#ifndef WALNUTSPUR_LAB_SIM_NETWORK_MODEL_H_
#define WALNUTSPUR_LAB_SIM_NETWORK_MODEL_H_

#include <set>

#include "lab/random.h"
#include "lab/sim/experiment.h"

namespace walnutspur::lab::sim {

// Time until both ends of a broken connection know of it, us.
constexpr Time kResetDetectionTime = 200'000;

// What becomes of a request and its connection.
enum class Delivery {
  kDelivered,              // the connection holds
  kDeliveredAndBroken,     // the server has the request, the initiator sees a reset
  kNotDeliveredAndBroken,  // the request never reaches the server, the initiator sees a reset
};

// Draws what happens to messages; its random stream is its own.
class NetworkModel {
 public:
  // `experiment` outlives the model.
  explicit NetworkModel(const Experiment& experiment)
      : experiment_(experiment), random_(experiment.seed, "network") {}

  // Draws a one-way delay, us.
  Time DrawDelay();
  // Draws whether the connection breaks under a request, and on which side of its delivery.
  Delivery DrawDelivery();

  // Partitions a zone from all others, or ends that.
  void SetPartitioned(int zone, bool partitioned);
  // Whether no message passes between two zones.
  bool IsPartitioned(int zone_a, int zone_b) const;

 private:
  const Experiment& experiment_;
  Random random_;
  std::set<int> partitioned_zones_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_NETWORK_MODEL_H_

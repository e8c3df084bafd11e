#include "lab/sim/network_model.h"

namespace walnutspur::lab::sim {
namespace {

constexpr double kReorderedDelayMultiple = 10;  // delay of a reordered message / its drawn delay
constexpr double kNotDeliveredFraction = 0.5;   // fraction of broken connections that lose the request

}  // namespace

Time NetworkModel::DrawDelay() {
  double time = static_cast<double>(experiment_.network_delay) +
                static_cast<double>(experiment_.network_jitter) * random_.Uniform();
  if (experiment_.reorder_probability > 0 && random_.Chance(experiment_.reorder_probability)) {
    time *= kReorderedDelayMultiple;
  }
  return static_cast<Time>(time);
}

Delivery NetworkModel::DrawDelivery() {
  if (experiment_.loss_probability <= 0 || !random_.Chance(experiment_.loss_probability)) {
    return Delivery::kDelivered;
  }
  return random_.Chance(kNotDeliveredFraction) ? Delivery::kNotDeliveredAndBroken
                                               : Delivery::kDeliveredAndBroken;
}

void NetworkModel::SetPartitioned(int zone, bool partitioned) {
  if (partitioned) {
    partitioned_zones_.insert(zone);
  } else {
    partitioned_zones_.erase(zone);
  }
}

bool NetworkModel::IsPartitioned(int zone_a, int zone_b) const {
  return zone_a != zone_b && (partitioned_zones_.contains(zone_a) || partitioned_zones_.contains(zone_b));
}

}  // namespace walnutspur::lab::sim

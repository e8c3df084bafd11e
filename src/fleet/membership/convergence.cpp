#include "fleet/membership/convergence.h"

#include <cmath>

namespace walnutspur::fleet {
namespace {

// Number of consecutive messages that must agree in a large fleet, as a multiple of log2 of its members.
constexpr double kSampleFactor = 3;

}  // namespace

void Convergence::Reset() {
  ++epoch_;
  agreeing_ = 0;
  differing_ = 0;
  consecutive_agreeing_ = 0;
}

void Convergence::Observe(const std::string& name, bool agrees) {
  Observation& observation = observations_[name];
  if (observation.epoch == epoch_) {
    --(observation.agreed ? agreeing_ : differing_);
  }
  observation.epoch = epoch_;
  observation.agreed = agrees;
  ++(agrees ? agreeing_ : differing_);
  consecutive_agreeing_ = agrees ? consecutive_agreeing_ + 1 : 0;
}

bool Convergence::Agreed(int live_count) const {
  const int sample =
      static_cast<int>(std::ceil(kSampleFactor * std::log2(static_cast<double>(live_count) + 1)));
  const int others = live_count - 1;
  if (others <= sample) {
    return differing_ == 0 && agreeing_ >= others;
  }
  return consecutive_agreeing_ >= sample;
}

}  // namespace walnutspur::fleet

// The random number generator of one Scheduler: equal seeds give equal sequences.
#ifndef WALNUTSPUR_DECISION_RANDOM_SOURCE_H_
#define WALNUTSPUR_DECISION_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace walnutspur::decision {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Returns the next number, uniformly distributed over [0, 1).
  double Next() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_RANDOM_SOURCE_H_

// Random numbers of an experiment: one seed, and a separate stream for each purpose, so that additional draws
// for one purpose do not change those for another. The seed alone determines a run. Owned by the model that
// draws; used on its thread.
#ifndef WALNUTSPUR_LAB_RANDOM_H_
#define WALNUTSPUR_LAB_RANDOM_H_

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace walnutspur::lab {

// One stream of random numbers.
class Random {
 public:
  // Selects the stream by its name and a number.
  Random(std::uint64_t seed, std::string_view name, std::uint64_t number = 0)
      : pcg_(seed, Hash(name) ^ (number * 0x9e3779b97f4a7c15ull)) {}

  // Returns a uniform integer in [0, bound), or 0 without a draw if `bound` is at most 1.
  std::uint64_t Below(std::uint64_t bound) { return bound <= 1 ? 0 : pcg_(bound); }
  // Returns a uniform number in [0, 1).
  double Uniform() { return static_cast<double>(pcg_() >> 11) * 0x1.0p-53; }
  // Returns true with the given probability.
  bool Chance(double probability) { return Uniform() < probability; }
  // Returns a uniform number in [min, max).
  double Between(double min, double max) { return min + (max - min) * Uniform(); }
  // Returns an exponentially distributed number.
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }

  // Returns the FNV-1a hash.
  static std::uint64_t Hash(std::string_view name) {
    std::uint64_t hash = 0xcbf29ce484222325ull;
    for (const char byte : name) {
      hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ull;
    }
    return hash;
  }

 private:
  pcg64 pcg_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_RANDOM_H_

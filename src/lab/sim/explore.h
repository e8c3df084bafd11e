// Many drawn worlds on all cores, each checked, and a failing one made small: faults, load, length and fleet
// are taken away for as long as the same rule still breaks.
#ifndef WALNUTSPUR_LAB_SIM_EXPLORE_H_
#define WALNUTSPUR_LAB_SIM_EXPLORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/sim/checker.h"
#include "lab/sim/world.h"

namespace walnutspur::lab {

// A world drawn from the seed: sizes, network, discovery and faults are drawn round `base`.
Experiment Draw(const Experiment& base, std::uint64_t seed);

struct Checked {
  std::uint64_t seed = 0;
  Outcomes outcomes;
  std::vector<Breach> breaches;
  std::uint32_t sum = 0;  // of the log
};
Checked RunChecked(const Experiment& experiment, const Meddling& meddling = {});

// Draws and checks worlds of seeds from `first` to `last`, on `jobs` threads; `each` is called one at a time,
// in the order of ends. Stops after the first breach if `until_breach`.
void Explore(const Experiment& base, std::uint64_t first, std::uint64_t last, int jobs, bool until_breach,
             const std::function<void(const Checked&)>& each, const Meddling& meddling = {});

// The smallest that was found in `tries` tries and that still breaks the rule.
Experiment Shrink(const Experiment& failing, const std::string& rule, int tries,
                  const Meddling& meddling = {});

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_SIM_EXPLORE_H_

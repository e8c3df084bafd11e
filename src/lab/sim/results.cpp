#include "lab/sim/results.h"

#include <algorithm>

namespace walnutspur::lab::sim {
namespace {

constexpr Time kSecond = 1'000'000;  // us

}  // namespace

SecondTotals& SimulationResults::SecondAt(Time since_start) {
  const auto index = static_cast<std::size_t>(since_start / kSecond);
  if (seconds.size() <= index) {
    seconds.resize(index + 1);
  }
  return seconds[index];
}

double SimulationResults::service() const {
  double due = 0;
  double earned = 0;
  for (const SecondTotals& second : seconds) {
    due += second.due;
    earned += second.earned;
  }
  return due > 0 ? earned / due : 1;
}

double SimulationResults::worst_service(int span) const {
  double lowest = 1;
  const std::size_t width = std::min(seconds.size(), static_cast<std::size_t>(span));
  for (std::size_t from = 0; width > 0 && from + width <= seconds.size(); ++from) {
    double due = 0;
    double earned = 0;
    for (std::size_t i = from; i < from + width; ++i) {
      due += seconds[i].due;
      earned += seconds[i].earned;
    }
    if (due > 0) {
      lowest = std::min(lowest, earned / due);
    }
  }
  return lowest;
}

double SimulationResults::percentile(double fraction) const {
  if (latencies.empty()) {
    return 0;
  }
  std::vector<float> sorted = latencies;
  const auto index =
      std::min(sorted.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
  return sorted[index];
}

}  // namespace walnutspur::lab::sim

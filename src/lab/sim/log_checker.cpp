#include "lab/sim/log_checker.h"

namespace walnutspur::lab::sim {
namespace {

// The simulation records exact event times, so only responses need a tolerance: for the engine's timer and
// for the delay of the response to the client.
constexpr Time kResponseGrace = 20'000;  // us

invariants::Tolerances SimulationTolerances() {
  invariants::Tolerances tolerances;
  tolerances.response_grace = kResponseGrace;
  return tolerances;
}

}  // namespace

LogChecker::LogChecker()
    : checker_(invariants::RecordSource::kSimulation, SimulationTolerances(),
               [this](const invariants::Violation& violation) { Add(violation); }) {}

void LogChecker::Observe(const LogEntry& entry) {
  entry_ = entry;
  checker_.Observe(reader_.Read(entry));
}

void LogChecker::Add(const invariants::Violation& violation) {
  if (++counts_[violation.invariant] > 1) {
    return;
  }
  LogViolation first{violation, entry_};
  if (violation.request != invariants::kNoRequest) {
    first.entry.request = violation.request;  // the last entry of a log may show violations of many requests
  }
  first_violations_.push_back(std::move(first));
}

}  // namespace walnutspur::lab::sim

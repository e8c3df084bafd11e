// Results of a simulated run: totals for each second and the latencies of the served requests. Filled in by
// the load generator and the initiators while the run lasts; read by the caller of Simulation::Run
// afterwards.
#ifndef WALNUTSPUR_LAB_SIM_RESULTS_H_
#define WALNUTSPUR_LAB_SIM_RESULTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::lab::sim {

// Totals of the requests that arrived within one second of the run.
struct SecondTotals {
  double due = 0;     // sum of the priority weights of all requests
  double earned = 0;  // part of `due` earned by responses; a late one earns a fraction of its weight
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t missed_objective = 0;  // served, but after the latency objective
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
};

// Totals of a run.
struct SimulationResults {
  std::vector<SecondTotals> seconds;  // by second of arrival
  std::vector<float> latencies;       // of served requests, ms, in order of their responses
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t events = 0;            // events of the simulation
  std::uint64_t wasted_units = 0;      // work for requests that already had a response, in 1/1000 of a unit
  std::uint64_t completed_units = 0;   // all work, in 1/1000 of a unit
  std::uint64_t overload_crashes = 0;  // warming servers that crashed because of overload

  // Returns the totals of the second that contains `since_start` (us after the first possible arrival);
  // extends `seconds` as needed.
  SecondTotals& SecondAt(Time since_start);
  // Returns the earned weight divided by the due weight, 0 to 1; 1 for a run without requests.
  double service() const;
  // Returns the lowest service within any `span` consecutive seconds.
  double worst_service(int span) const;
  // Returns the latency in ms that `fraction` of the served requests does not exceed; 0 if none was served.
  double percentile(double fraction) const;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_RESULTS_H_

// Simulates a fleet of initiators, their storage servers and clients in virtual time on one thread: runs the
// real core::Engine and scheduler with models of the network, the servers, discovery and the load. The same
// experiment, seed and build produce a byte-identical event log.
//
// Modelled: slots, queues and overload, speeds that differ, pauses, slow starts and crashes by overload,
// delayed and reordered messages, broken connections, partitioned zones, clock drift, discovery delays that
// differ between initiators, and the faults of the experiment. Not modelled: connections and their cost,
// caches, write buffering, meters.
#ifndef WALNUTSPUR_LAB_SIM_SIMULATION_H_
#define WALNUTSPUR_LAB_SIM_SIMULATION_H_

#include <functional>
#include <memory>

#include "lab/sim/event_log.h"
#include "lab/sim/experiment.h"
#include "lab/sim/results.h"
#include "lab/sim/test_hooks.h"

namespace walnutspur::lab::sim {

// One run of an experiment. Used on one thread.
class Simulation {
 public:
  // `log` must outlive the simulation. An unknown policy is reported by Run.
  Simulation(const Experiment& experiment, EventLog* log, TestHooks hooks = {});
  ~Simulation();
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  // Runs until the last possible deadline has expired and the remaining work had time to finish; must be
  // called once. `progress`, if set, is called with the completed fraction, 0 to 1. Throws ExperimentError if
  // the policy is unknown.
  SimulationResults Run(const std::function<void(double)>& progress = {});

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_SIMULATION_H_

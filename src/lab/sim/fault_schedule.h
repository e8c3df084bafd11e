// Schedules the faults of the experiment and applies the begin and end of each to the model that it affects.
// Owned by Simulation; used on its one thread.
#ifndef WALNUTSPUR_LAB_SIM_FAULT_SCHEDULE_H_
#define WALNUTSPUR_LAB_SIM_FAULT_SCHEDULE_H_

#include "lab/sim/discovery_model.h"
#include "lab/sim/load_generator.h"
#include "lab/sim/network_model.h"
#include "lab/sim/simulation_context.h"
#include "lab/sim/storage_servers.h"

namespace walnutspur::lab::sim {

// Applies the faults of the experiment.
class FaultSchedule {
 public:
  // Everything passed outlives the schedule.
  FaultSchedule(SimulationContext* context, NetworkModel* network, DiscoveryModel* discovery,
                LoadGenerator* load, StorageServers* servers);

  // Schedules the beginning and end of every fault for each of its targets.
  void Start();
  // Begins or ends a fault for one target.
  void Handle(const FaultStep& step);

 private:
  void Begin(const FaultPlan& fault, int target);
  void End(const FaultPlan& fault, int target);

  SimulationContext& context_;
  NetworkModel& network_;
  DiscoveryModel& discovery_;
  LoadGenerator& load_;
  StorageServers& servers_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_FAULT_SCHEDULE_H_

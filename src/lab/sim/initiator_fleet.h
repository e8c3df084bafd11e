// The initiators of the simulated cluster: one core::Engine each, with a separate clock, and the connections
// and health checks that execute the outputs of the engines. Owned by Simulation; used on its one thread.
#ifndef WALNUTSPUR_LAB_SIM_INITIATOR_FLEET_H_
#define WALNUTSPUR_LAB_SIM_INITIATOR_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/engine.h"
#include "lab/sim/load_generator.h"
#include "lab/sim/network_model.h"
#include "lab/sim/request_table.h"
#include "lab/sim/simulation_context.h"
#include "lab/sim/storage_servers.h"

namespace walnutspur::lab::sim {

// Class InitiatorFleet holds all initiators, by number.
class InitiatorFleet {
 public:
  // Everything passed outlives the fleet.
  InitiatorFleet(SimulationContext* context, NetworkModel* network, const StorageServers* servers,
                 LoadGenerator* load, RequestTable* requests);

  // Creates and starts the engines, and passes the endpoints of all servers to each.
  void Start();

  // Accepts a request of a client; its deadline is in virtual time.
  void Receive(core::RequestReceived request);
  void Handle(const DeadlinePassed& event);
  void Handle(const AttemptEnded& event);
  void Handle(const EngineTimerExpired& event);
  void Handle(const HealthCheckEnded& event);
  void Handle(const EndpointNotified& event);

 private:
  struct Initiator {
    std::unique_ptr<core::Engine> engine;
    int zone = 0;
    double clock_rate = 1;  // local time per unit of virtual time
    Time clock_offset = 0;  // local time at virtual time 0, us

    Time LocalTime(Time virtual_time) const {
      return clock_offset + static_cast<Time>(static_cast<double>(virtual_time) * clock_rate);
    }
    Time VirtualDuration(Time local_duration) const {
      return static_cast<Time>(static_cast<double>(local_duration) / clock_rate);
    }
  };

  Initiator& At(int number) { return initiators_[static_cast<std::size_t>(number)]; }
  void CreateEngines();
  void PublishAllEndpoints(int number);
  // Passes an input to the engine and executes its outputs.
  void Submit(int number, const core::Input& input);
  void ExecuteOutputs(int number, std::vector<core::Output> outputs);

  // Executes one output of the engine of initiator `number`.
  void Execute(int number, const core::StartAttempt& attempt);
  void Execute(int number, const core::AbortAttempt& abort);
  void Execute(int number, const core::Response& response);
  void Execute(int number, const core::ArmTimer& timer);
  void Execute(int number, const core::StartHealthCheck& check);
  // No effect in the simulation: every initiator is always subscribed to discovery, and attempts to a drained
  // target are already in flight.
  void Execute(int, const core::DrainTarget&) {}
  void Execute(int, const core::ActivateTarget&) {}
  void Execute(int, const core::OpenWatch&) {}
  void Execute(int, const core::CordonResult&) {}
  void Execute(int, const core::TableLimitReached&) {}

  // Sends an attempt to a server that exists, through the network.
  void SendToServer(int number, const StorageServer& server, AttemptDelivered delivery);
  void CountResponse(const RequestState& request, core::ResponseStatus status);

  SimulationContext& context_;
  NetworkModel& network_;
  const StorageServers& servers_;
  LoadGenerator& load_;
  RequestTable& requests_;
  std::vector<Initiator> initiators_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_INITIATOR_FLEET_H_

// Dispatches the scheduler's outputs to front ends, connectors, discovery and timers.
//
// Owned by the Initiator; runs on the event-loop thread.
#ifndef WALNUTSPUR_APP_OUTPUT_DISPATCHER_H_
#define WALNUTSPUR_APP_OUTPUT_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "app/fleet_publisher.h"
#include "checksummed/checksummed_exports.h"
#include "checksummed/scrub.h"
#include "core/port.h"
#include "http/discovery_client.h"
#include "http/front_end.h"
#include "http/target_pool.h"
#include "loop/loop.h"
#include "nbd/front_end.h"

namespace walnutspur::app {

// The components that outputs are dispatched to; owned by the Initiator.
struct OutputDestinations {
  http::DiscoveryClient* discovery = nullptr;
  http::FrontEnd* http = nullptr;
  http::TargetPool* http_targets = nullptr;
  nbd::FrontEnd* nbd = nullptr;                        // null: no NBD front end
  checksummed::ChecksummedExports* exports = nullptr;  // null: no NBD front end
  checksummed::Scrub* scrub = nullptr;                 // null: no scrub
  FleetPublisher* fleet = nullptr;                     // null: no fleet
  // Called for each cordon that an operator has requested.
  std::function<void(const core::CordonResult&)> on_cordon_result;
};

class OutputDispatcher {
 public:
  OutputDispatcher(event_base* base, const OutputDestinations& destinations, core::SubmitInput submit);

  void Dispatch(const std::vector<core::Output>& outputs);

 private:
  void Execute(const core::StartAttempt& output) const;
  void Execute(const core::AbortAttempt& output) const;
  void Execute(const core::DrainTarget& output) const;
  void Execute(const core::ActivateTarget& output) const;
  void Execute(const core::Response& output) const;
  void Execute(const core::ArmTimer& output);
  void Execute(const core::OpenWatch& output) const;
  void Execute(const core::StartHealthCheck& output) const;
  void Execute(const core::CordonResult& output) const;
  void Execute(const core::TableLimitReached& output) const;
  core::FrontEnd& FrontEndOf(core::Protocol protocol) const;
  core::Connector& ConnectorOf(core::Protocol protocol) const;

  event_base* base_;
  OutputDestinations destinations_;
  core::SubmitInput submit_;
  std::uint64_t next_timer_ = 0;
  std::map<std::uint64_t, loop::EventHandle> timers_;  // armed timers, in order of arming
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_OUTPUT_DISPATCHER_H_

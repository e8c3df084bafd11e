// Publishes the state and load of this process to its fleet, and forwards the events of the fleet to the
// Initiator.
//
// Owned by the Initiator; runs on the event-loop thread.
#ifndef WALNUTSPUR_APP_FLEET_PUBLISHER_H_
#define WALNUTSPUR_APP_FLEET_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "http/target_pool.h"
#include "loop/loop.h"

namespace walnutspur::app {

class FleetPublisher {
 public:
  struct Hooks {
    std::function<void(FleetSize size)> on_size;  // the number of members has changed
    // An older process has the same member name; this process must terminate.
    std::function<void(const std::string& reason)> on_removed;
    std::function<bool()> is_draining;
  };

  // Loads the fleet library and joins the fleet. Throws FleetError.
  FleetPublisher(event_base* base, const fleet::FleetOptions& options, http::TargetPool* targets,
                 const Hooks& hooks);

  // Counts a response towards the published load.
  void CountResponse() { ++responses_; }
  // Publishes immediately, and then once per interval.
  void Publish();
  // Announces to the other members that this process leaves the fleet.
  void Leave() { fleet_->Leave(); }
  // Executes an operator's command. Returns JSON, or a line that starts with "error: ".
  std::string Execute(const std::vector<std::string>& words) { return fleet_->Execute(words); }

 private:
  http::TargetPool* targets_;
  std::function<bool()> is_draining_;
  std::uint64_t responses_ = 0;  // since the last publication
  double load_ = 0;              // responses per second, exponentially weighted
  std::unique_ptr<fleet::Fleet> fleet_;
  loop::EventHandle timer_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_FLEET_PUBLISHER_H_

#include "app/fleet_publisher.h"

#include <string_view>
#include <utility>
#include <vector>

#include "app/fleet_library.h"
#include "log/log.h"

namespace walnutspur::app {
namespace {

constexpr Time kPublishInterval = 1'000'000;  // us
constexpr double kMicrosPerSecond = 1e6;

// Weight of the newest interval in the published load.
constexpr double kLoadGain = 0.2;

fleet::FleetHooks ToFleetHooks(const FleetPublisher::Hooks& hooks) {
  fleet::FleetHooks result;
  result.log = [](bool warning, std::string_view kind, const std::vector<log::Field>& fields) {
    log::Event(warning ? log::Level::kWarn : log::Level::kInfo, kind, fields);
  };
  result.on_size_changed = [on_size = hooks.on_size](int live, double part) {
    on_size(FleetSize{live, part});
  };
  result.on_terminate = hooks.on_removed;
  return result;
}

}  // namespace

FleetPublisher::FleetPublisher(event_base* base, const fleet::FleetOptions& options,
                               http::TargetPool* targets, const Hooks& hooks)
    : targets_(targets),
      is_draining_(hooks.is_draining),
      fleet_(OpenFleet(base, options, ToFleetHooks(hooks))),
      timer_(loop::MakeTimer(base, [this] { Publish(); })) {
  timer_.Start(kPublishInterval);
}

void FleetPublisher::Publish() {
  timer_.Start(kPublishInterval);
  const auto responses = static_cast<double>(std::exchange(responses_, 0));
  load_ += kLoadGain * (responses * kMicrosPerSecond / kPublishInterval - load_);
  fleet::Facts facts;
  facts.phase = is_draining_() ? fleet::Phase::kDraining : fleet::Phase::kServing;
  facts.load = load_;
  facts.connections = targets_->connections_by_target();
  fleet_->Publish(facts);
}

}  // namespace walnutspur::app

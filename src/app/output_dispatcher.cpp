#include "app/output_dispatcher.h"

#include <string>
#include <utility>
#include <variant>

#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::app {

OutputDispatcher::OutputDispatcher(event_base* base, const OutputDestinations& destinations,
                                   core::SubmitInput submit)
    : base_(base), destinations_(destinations), submit_(std::move(submit)) {}

void OutputDispatcher::Dispatch(const std::vector<core::Output>& outputs) {
  for (const core::Output& output : outputs) {
    std::visit([this](const auto& alternative) { Execute(alternative); }, output);
  }
}

core::FrontEnd& OutputDispatcher::FrontEndOf(core::Protocol protocol) const {
  if (protocol == core::Protocol::kNbd) {
    return *destinations_.nbd;
  }
  if (protocol == core::Protocol::kInternal) {
    return *destinations_.scrub;
  }
  return *destinations_.http;
}

core::Connector& OutputDispatcher::ConnectorOf(core::Protocol protocol) const {
  if (protocol != core::Protocol::kHttp) {
    return *destinations_.exports;
  }
  return *destinations_.http_targets;
}

// If the client has disconnected since the scheduler decided, nothing is sent to the target.
void OutputDispatcher::Execute(const core::StartAttempt& output) const {
  if (FrontEndOf(output.protocol).IsClientConnected(output.request)) {
    ConnectorOf(output.protocol).Start(output);
    return;
  }
  core::AttemptResult result;
  result.request = output.request;
  result.attempt = output.attempt;
  result.outcome = Outcome::kNotSent;
  submit_(std::move(result));
}

void OutputDispatcher::Execute(const core::AbortAttempt& output) const {
  ConnectorOf(output.protocol).Cancel(output.request, output.attempt);
}

void OutputDispatcher::Execute(const core::DrainTarget& output) const {
  destinations_.http_targets->Drain(output.target);
  if (destinations_.exports != nullptr) {
    destinations_.exports->Drain(output.target);
  }
  if (destinations_.scrub != nullptr) {
    destinations_.scrub->OnTargetState(output.target, false, 0);
  }
}

void OutputDispatcher::Execute(const core::ActivateTarget& output) const {
  if (destinations_.exports != nullptr) {
    destinations_.exports->Activate(output.target);
  }
  if (destinations_.scrub != nullptr) {
    destinations_.scrub->OnTargetState(output.target, true, output.started_at);
  }
}

void OutputDispatcher::Execute(const core::Response& output) const {
  if (destinations_.scrub != nullptr && output.protocol != core::Protocol::kInternal) {
    destinations_.scrub->ObserveResponse(output);
  }
  if (destinations_.fleet != nullptr) {
    destinations_.fleet->CountResponse();
  }
  FrontEndOf(output.protocol).Respond(output);
}

void OutputDispatcher::Execute(const core::ArmTimer& output) {
  const std::uint64_t number = next_timer_++;
  const std::int64_t timer_id = output.timer_id;
  timers_[number] = loop::MakeTimer(base_, [this, number, timer_id] {
    timers_.erase(number);
    submit_(core::TimerExpired{timer_id});
  });
  timers_[number].Start(output.delay);
}

void OutputDispatcher::Execute(const core::OpenWatch& /*output*/) const {
  destinations_.discovery->OpenWatch();
}

void OutputDispatcher::Execute(const core::StartHealthCheck& output) const {
  destinations_.http_targets->CheckHealth(output.target);
}

void OutputDispatcher::Execute(const core::CordonResult& output) const {
  destinations_.on_cordon_result(output);
}

void OutputDispatcher::Execute(const core::TableLimitReached& output) const {
  const bool are_flows = output.table == core::LimitedTable::kFlows;
  log::Event(log::Level::kWarn, log::kTableLimitReached,
             {{"table", are_flows ? "volumes" : "request_ids"},
              {"entries", std::to_string(output.entries)},
              {"outcome", are_flows ? "request_rejected" : "oldest_forgotten"}});
}

}  // namespace walnutspur::app

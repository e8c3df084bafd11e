#include "lab/sim/initiator_fleet.h"

#include <string>
#include <utility>
#include <variant>

#include "lab/random.h"
#include "lab/sim/policies.h"

namespace walnutspur::lab::sim {
namespace {

constexpr Time kClockOffset = 1'000'000'000;       // minimum local time at the start, us
constexpr std::uint64_t kClockSpread = 1'000'000;  // maximum difference between local times at the start, us
constexpr std::uint64_t kSeedStride = 1'000'003;   // between the engine seeds of consecutive experiments

constexpr double kMicrosPerMilli = 1000;

TargetId TargetOf(int server) { return "b" + std::to_string(server); }

int ServerOf(const TargetId& target) { return std::stoi(target.substr(1)); }

Endpoint EndpointOf(const StorageServer& server, EndpointState state) {
  Endpoint endpoint;
  endpoint.target = TargetOf(server.number);
  endpoint.state = state;
  endpoint.shard = server.shard;
  endpoint.zone = server.zone;
  return endpoint;
}

}  // namespace

InitiatorFleet::InitiatorFleet(SimulationContext* context, NetworkModel* network,
                               const StorageServers* servers, LoadGenerator* load, RequestTable* requests)
    : context_(*context), network_(*network), servers_(*servers), load_(*load), requests_(*requests) {}

void InitiatorFleet::Start() {
  CreateEngines();
  for (int number = 0; number < context_.experiment().initiators; ++number) {
    Initiator& initiator = At(number);
    ExecuteOutputs(number, initiator.engine->Start(initiator.LocalTime(context_.now())));
    PublishAllEndpoints(number);
  }
}

void InitiatorFleet::CreateEngines() {
  const Experiment& experiment = context_.experiment();
  const Settings settings = experiment.SchedulerSettings();
  Random clocks(experiment.seed, "clocks");
  for (int number = 0; number < experiment.initiators; ++number) {
    Initiator initiator;
    const std::uint64_t seed = experiment.seed * kSeedStride + static_cast<std::uint64_t>(number);
    core::DecisionFunction decide = MakePolicy(experiment.policy, settings, seed);
    if (context_.hooks().decide) {
      decide = context_.hooks().decide(std::move(decide));
    }
    initiator.engine = std::make_unique<core::Engine>(settings, std::move(decide));
    initiator.zone = experiment.ZoneOf(number);
    initiator.clock_rate = 1 + experiment.clock_drift * clocks.Between(-1, 1);
    initiator.clock_offset = kClockOffset + static_cast<Time>(clocks.Below(kClockSpread));
    initiators_.push_back(std::move(initiator));
  }
}

void InitiatorFleet::PublishAllEndpoints(int number) {
  EndpointUpdate update;
  for (int server = 0; server < servers_.count(); ++server) {
    update.endpoints.push_back(EndpointOf(servers_.at(server), EndpointState::kActive));
    context_.Record({.type = LogEntryType::kEndpointNotified,
                     .initiator = number,
                     .server = server,
                     .value = static_cast<int>(EndpointState::kActive),
                     .detail = servers_.at(server).shard});
  }
  Submit(number, core::EndpointsUpdated{std::move(update)});
}

void InitiatorFleet::Submit(int number, const core::Input& input) {
  Initiator& initiator = At(number);
  ExecuteOutputs(number, initiator.engine->Handle(input, initiator.LocalTime(context_.now())));
}

void InitiatorFleet::ExecuteOutputs(int number, std::vector<core::Output> outputs) {
  if (context_.hooks().outputs) {
    context_.hooks().outputs(number, context_.now(), &outputs);
  }
  for (const core::Output& output : outputs) {
    std::visit([&](const auto& typed) { Execute(number, typed); }, output);
  }
}

// ---- clients ----

void InitiatorFleet::Receive(core::RequestReceived request) {
  const auto id = static_cast<std::int64_t>(request.request);
  const int number = requests_.Find(id)->initiator;
  const Time deadline = request.deadline;
  request.deadline = At(number).LocalTime(deadline);
  Submit(number, std::move(request));
  context_.Schedule(deadline, DeadlinePassed{number, id});
}

void InitiatorFleet::Handle(const DeadlinePassed& event) {
  if (requests_.IsAwaitingResponse(event.request)) {
    Submit(event.initiator, core::DeadlineExpired{static_cast<core::RequestNumber>(event.request)});
  }
}

void InitiatorFleet::Execute(int number, const core::Response& response) {
  const auto id = static_cast<std::int64_t>(response.request);
  context_.Record({.type = LogEntryType::kResponse,
                   .initiator = number,
                   .request = id,
                   .value = static_cast<int>(response.status)});
  RequestState* request = requests_.Find(id);
  if (!request || request->has_response) {
    return;
  }
  request->has_response = true;
  CountResponse(*request, response.status);
  requests_.EraseIfFinished(id);
}

void InitiatorFleet::CountResponse(const RequestState& request, core::ResponseStatus status) {
  SimulationResults& results = context_.results();
  SecondTotals& second = results.SecondAt(request.received - kLoadStart);
  const RequestClass& request_class = context_.experiment().classes[request.request_class].request_class;
  const Time latency = context_.now() - request.received;
  switch (status) {
    case core::ResponseStatus::kServed:
      results.latencies.push_back(static_cast<float>(static_cast<double>(latency) / kMicrosPerMilli));
      ++second.served;
      if (latency <= request_class.latency_objective) {
        second.earned += request_class.priority_weight;
      } else {
        ++second.missed_objective;
        second.earned += request_class.priority_weight * request_class.late_weight_fraction;
      }
      break;
    case core::ResponseStatus::kRejected:
      ++second.rejected;
      break;
    case core::ResponseStatus::kTimedOut:
      ++second.timed_out;
      break;
    default:
      ++second.failed;
  }
}

// ---- attempts ----

void InitiatorFleet::Execute(int number, const core::StartAttempt& attempt) {
  const auto id = static_cast<std::int64_t>(attempt.request);
  const int server = ServerOf(attempt.target);
  ++context_.results().attempts;
  context_.Record({.type = LogEntryType::kSend,
                   .initiator = number,
                   .request = id,
                   .attempt = attempt.attempt,
                   .server = server});
  RequestState* request = requests_.Find(id);
  if (!request) {
    return;
  }
  const auto index = static_cast<std::size_t>(attempt.attempt);
  if (request->attempts.size() <= index) {
    request->attempts.resize(index + 1);
  }
  request->attempts[index].server = server;
  request->attempts[index].sent = context_.now();
  context_.Schedule(context_.now() + At(number).VirtualDuration(attempt.timeout),
                    AttemptEnded{number, id, attempt.attempt, Outcome::kTimedOut});
  if (!servers_.Exists(server)) {
    context_.Schedule(context_.now() + network_.DrawDelay(),
                      AttemptEnded{number, id, attempt.attempt, Outcome::kConnectFailed});
    return;
  }
  SendToServer(number, servers_.at(server),
               AttemptDelivered{number, server, id, attempt.attempt, request->units});
}

void InitiatorFleet::SendToServer(int number, const StorageServer& server, AttemptDelivered delivery) {
  if (network_.IsPartitioned(At(number).zone, server.zone)) {
    return;
  }
  const Delivery result = network_.DrawDelivery();
  if (result != Delivery::kDelivered) {
    context_.Schedule(context_.now() + kResetDetectionTime,
                      AttemptEnded{number, delivery.request, delivery.attempt, Outcome::kConnectionReset});
  }
  if (result != Delivery::kNotDeliveredAndBroken) {
    context_.Schedule(context_.now() + network_.DrawDelay(), delivery);
  }
}

void InitiatorFleet::Execute(int number, const core::AbortAttempt& abort) {
  const auto id = static_cast<std::int64_t>(abort.request);
  const RequestState* request = requests_.Find(id);
  if (!request || abort.attempt >= static_cast<int>(request->attempts.size())) {
    return;
  }
  const int server = request->attempts[static_cast<std::size_t>(abort.attempt)].server;
  if (servers_.Exists(server) && !network_.IsPartitioned(At(number).zone, servers_.at(server).zone)) {
    context_.Schedule(context_.now() + network_.DrawDelay(),
                      CancellationDelivered{number, server, id, abort.attempt});
  }
  context_.Schedule(context_.now(), AttemptEnded{number, id, abort.attempt, Outcome::kCancelled});
}

// Uses only the first outcome of an attempt, as a connector does, and discards later ones.
void InitiatorFleet::Handle(const AttemptEnded& event) {
  RequestState* request = requests_.Find(event.request);
  if (!request) {
    return;
  }
  AttemptState& attempt = request->attempts[static_cast<std::size_t>(event.attempt)];
  if (std::exchange(attempt.ended, true)) {
    return;
  }
  context_.Record({.type = LogEntryType::kOutcome,
                   .initiator = event.initiator,
                   .request = event.request,
                   .attempt = event.attempt,
                   .server = attempt.server,
                   .value = static_cast<int>(event.outcome)});
  if (event.outcome == Outcome::kCompleted && request->places_new_object) {
    load_.AddPlacedObject(request->volume, request->key, servers_.at(attempt.server).shard);
  }
  core::AttemptResult result;
  result.request = static_cast<core::RequestNumber>(event.request);
  result.attempt = event.attempt;
  result.outcome = event.outcome;
  result.latency = context_.now() - attempt.sent;
  Submit(event.initiator, result);
  requests_.EraseIfFinished(event.request);
}

// ---- timers, health checks and discovery ----

void InitiatorFleet::Execute(int number, const core::ArmTimer& timer) {
  context_.Schedule(context_.now() + At(number).VirtualDuration(timer.delay),
                    EngineTimerExpired{number, timer.timer_id});
}

void InitiatorFleet::Handle(const EngineTimerExpired& event) {
  Submit(event.initiator, core::TimerExpired{event.timer_id});
}

void InitiatorFleet::Execute(int number, const core::StartHealthCheck& check) {
  const Time request_delay = network_.DrawDelay();
  const Time latency = request_delay + network_.DrawDelay();
  context_.Schedule(context_.now() + latency, HealthCheckEnded{number, ServerOf(check.target), latency});
}

void InitiatorFleet::Handle(const HealthCheckEnded& event) {
  HealthCheckFinished finished;
  finished.target = TargetOf(event.server);
  finished.outcome = servers_.at(event.server).up ? Outcome::kCompleted : Outcome::kConnectFailed;
  finished.latency = event.latency;
  Submit(event.initiator, core::HealthCheckResult{finished});
}

void InitiatorFleet::Handle(const EndpointNotified& event) {
  const StorageServer& server = servers_.at(event.server);
  EndpointUpdate update;
  update.kind = EndpointUpdateKind::kDelta;
  Endpoint endpoint = EndpointOf(server, event.state);
  if (server.warming_since > 0) {
    endpoint.started_at = At(event.initiator).LocalTime(server.warming_since);
  }
  update.endpoints.push_back(endpoint);
  context_.Record({.type = LogEntryType::kEndpointNotified,
                   .initiator = event.initiator,
                   .server = event.server,
                   .value = static_cast<int>(event.state),
                   .detail = server.shard});
  Submit(event.initiator, core::EndpointsUpdated{std::move(update)});
}

}  // namespace walnutspur::lab::sim

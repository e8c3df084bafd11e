#include "lab/sim/storage_servers.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::lab::sim {
namespace {

constexpr Time kCrashRestartTime = 2'000'000;    // time until a crashed server restarts, us
constexpr double kOverloadSlack = 1.1;           // random variation alone exceeds the threshold slightly
constexpr double kErrorAfterWorkFraction = 0.5;  // fraction of the failed requests that have run
constexpr double kMinSpeed = 1e-3;
constexpr double kMinFaultFactor = 0.01;
constexpr double kMaxNeighbourShare = 0.95;
// Range of the actual work of a request relative to its units.
constexpr double kMinWorkFactor = 0.8;
constexpr double kMaxWorkFactor = 1.2;

}  // namespace

StorageServers::StorageServers(SimulationContext* context, NetworkModel* network, DiscoveryModel* discovery,
                               const RequestTable* requests)
    : context_(*context),
      network_(*network),
      discovery_(*discovery),
      requests_(*requests),
      error_random_(context->experiment().seed, "choices"),
      work_random_(context->experiment().seed, "work") {}

void StorageServers::Start() {
  const Experiment& experiment = context_.experiment();
  Random speeds(experiment.seed, "speeds");
  for (int number = 0; number < experiment.servers; ++number) {
    StorageServer server;
    server.number = number;
    server.shard = number;
    server.zone = experiment.ZoneOf(number);
    server.speed = 1 + experiment.speed_spread * speeds.Between(-1, 1);
    servers_.push_back(server);
    server_of_shard_.push_back(number);
    context_.Record({.type = LogEntryType::kServerUp, .server = number});
    if (experiment.pause_interval > 0) {
      const double first = work_random_.Exponential(static_cast<double>(experiment.pause_interval));
      context_.Schedule(static_cast<Time>(first), ServerPaused{number});
    }
  }
}

void StorageServers::RecordUnfinished() {
  for (const StorageServer& server : servers_) {
    std::int64_t units = 0;
    for (const AcceptedAttempt& attempt : server.queue) {
      units += attempt.units;
    }
    for (const AcceptedAttempt& attempt : server.running) {
      units += attempt.units;
    }
    context_.Record({.type = LogEntryType::kUnfinished, .server = server.number, .detail = units});
  }
}

// ---- requests ----

void StorageServers::Handle(const AttemptDelivered& event) {
  StorageServer& server = Server(event.server);
  const AcceptedAttempt attempt{event.request, event.attempt, event.initiator, event.units, next_ticket_++};
  if (!server.up) {
    Reply(server, attempt, Outcome::kConnectFailed);
    return;
  }
  if (server.errors && error_random_.Chance(server.fault_factor)) {
    FailAttempt(server, attempt);
    return;
  }
  if (!AddLoad(server, event.units)) {
    CrashByOverload(server);
    return;
  }
  if (static_cast<int>(server.queue.size()) >= context_.experiment().queue_limit) {
    Record(LogEntryType::kQueueFull, server, attempt);
    Reply(server, attempt, Outcome::kOverloaded);
    return;
  }
  Record(LogEntryType::kAccepted, server, attempt, 0, attempt.units);
  server.queue.push_back(attempt);
  StartQueuedWork(server);
}

// Fails the attempt. An error does not imply that the request did not run: a fraction of them has run.
void StorageServers::FailAttempt(const StorageServer& server, const AcceptedAttempt& attempt) {
  Record(LogEntryType::kAccepted, server, attempt, 0, attempt.units);
  if (error_random_.Chance(kErrorAfterWorkFraction)) {
    Record(LogEntryType::kWorkStarted, server, attempt);
    Record(LogEntryType::kWorkFinished, server, attempt, 0, attempt.units);
  } else {
    Record(LogEntryType::kDropped, server, attempt, 0, attempt.units);
  }
  Reply(server, attempt, Outcome::kErrored);
}

double StorageServers::WarmFraction(const StorageServer& server) const {
  if (server.warming_since == 0) {
    return 1;
  }
  const Rules& rules = context_.experiment().rules;
  const double progress =
      std::min(1.0, static_cast<double>(context_.now() - server.warming_since) /
                        static_cast<double>(std::max<Time>(1, rules.slow_start_duration)));
  return rules.slow_start_fraction + (1 - rules.slow_start_fraction) * progress;
}

// Counts all work sent to the server, also work that it rejects, since rejecting costs time as well.
bool StorageServers::AddLoad(StorageServer& server, std::int64_t units) {
  const double warm_fraction = WarmFraction(server);
  if (server.warming_since <= 0 || warm_fraction >= 1) {
    return true;
  }
  const Experiment& experiment = context_.experiment();
  const Time window_start = context_.now() - experiment.rules.overload_window;
  server.recent.push_back({context_.now(), static_cast<double>(units) / kUnitScale});
  server.recent_units += server.recent.back().units;
  while (server.recent.front().at < window_start) {
    server.recent_units -= server.recent.front().units;
    server.recent.pop_front();
  }
  const double max_units = experiment.server_capacity() * server.speed * warm_fraction *
                           experiment.rules.overload_threshold *
                           static_cast<double>(experiment.rules.overload_window) / 1e6 * kOverloadSlack;
  return server.recent_units <= max_units;
}

void StorageServers::CrashByOverload(StorageServer& server) {
  context_.Record({.type = LogEntryType::kOverloadCrash, .server = server.number});
  ++context_.results().overload_crashes;
  StopProcess(server);
  context_.Schedule(context_.now() + kCrashRestartTime, ServerRestarted{server.number});
}

void StorageServers::StartQueuedWork(StorageServer& server) {
  if (!server.up || context_.now() < server.frozen_until) {
    return;
  }
  const Experiment& experiment = context_.experiment();
  const int slots =
      std::max(1, static_cast<int>(std::lround(experiment.slots * (1 - server.neighbour_share))));
  while (static_cast<int>(server.running.size()) < slots && !server.queue.empty()) {
    const AcceptedAttempt attempt = server.queue.front();
    server.queue.pop_front();
    server.running.push_back(attempt);
    Record(LogEntryType::kWorkStarted, server, attempt);
    const double speed = server.speed * WarmFraction(server) * (server.errors ? 1 : server.fault_factor);
    const double time = static_cast<double>(attempt.units) / kUnitScale *
                        static_cast<double>(experiment.unit_time) / std::max(speed, kMinSpeed) *
                        work_random_.Between(kMinWorkFactor, kMaxWorkFactor);
    context_.Schedule(context_.now() + static_cast<Time>(time), WorkCompleted{server.number, attempt.ticket});
  }
}

void StorageServers::Handle(const WorkCompleted& event) {
  StorageServer& server = Server(event.server);
  const auto at = std::find_if(server.running.begin(), server.running.end(),
                               [&](const AcceptedAttempt& each) { return each.ticket == event.ticket; });
  if (at == server.running.end()) {
    return;  // dropped when the process stopped
  }
  if (context_.now() < server.frozen_until) {
    context_.Schedule(server.frozen_until, event);
    return;
  }
  const AcceptedAttempt attempt = *at;
  server.running.erase(at);
  Record(LogEntryType::kWorkFinished, server, attempt, 0, attempt.units);
  SimulationResults& results = context_.results();
  results.completed_units += static_cast<std::uint64_t>(attempt.units);
  if (!requests_.IsAwaitingResponse(attempt.request)) {
    results.wasted_units += static_cast<std::uint64_t>(attempt.units);
  }
  if (!server.no_replies) {
    Reply(server, attempt, Outcome::kCompleted);
  }
  StartQueuedWork(server);
}

void StorageServers::Handle(const CancellationDelivered& event) {
  StorageServer& server = Server(event.server);
  const auto at = std::find_if(server.queue.begin(), server.queue.end(), [&](const AcceptedAttempt& attempt) {
    return attempt.request == event.request && attempt.attempt == event.attempt &&
           attempt.initiator == event.initiator;
  });
  if (at == server.queue.end()) {
    return;  // already running or finished: only queued work can be cancelled
  }
  const AcceptedAttempt attempt = *at;
  server.queue.erase(at);
  RecordDropped(server, attempt, false);
}

void StorageServers::Reply(const StorageServer& server, const AcceptedAttempt& attempt, Outcome outcome) {
  if (network_.IsPartitioned(server.zone, context_.experiment().ZoneOf(attempt.initiator))) {
    return;
  }
  context_.Schedule(context_.now() + network_.DrawDelay(),
                    AttemptEnded{attempt.initiator, attempt.request, attempt.attempt, outcome});
}

void StorageServers::RecordDropped(const StorageServer& server, const AcceptedAttempt& attempt,
                                   bool started) {
  Record(LogEntryType::kDropped, server, attempt, static_cast<std::int64_t>(started), attempt.units);
}

void StorageServers::Record(LogEntryType type, const StorageServer& server, const AcceptedAttempt& attempt,
                            std::int64_t value, std::int64_t detail) {
  context_.Record({.type = type,
                   .initiator = attempt.initiator,
                   .request = attempt.request,
                   .attempt = attempt.attempt,
                   .server = server.number,
                   .value = value,
                   .detail = detail});
}

// ---- processes ----

// Stopping the process closes its connections: waiting initiators see a reset after the network delay.
void StorageServers::StopProcess(StorageServer& server) {
  if (!server.up) {
    return;
  }
  server.up = false;
  context_.Record({.type = LogEntryType::kServerDown, .server = server.number});
  for (const AcceptedAttempt& attempt : server.queue) {
    RecordDropped(server, attempt, false);
    Reply(server, attempt, Outcome::kConnectionReset);
  }
  for (const AcceptedAttempt& attempt : server.running) {
    RecordDropped(server, attempt, true);
    Reply(server, attempt, Outcome::kConnectionReset);
  }
  server.queue.clear();
  server.running.clear();
  server.recent.clear();
  server.recent_units = 0;
  discovery_.Publish(server.number, EndpointState::kTerminated);
}

void StorageServers::StartProcess(StorageServer& server) {
  server.up = true;
  server.frozen_until = 0;
  server.warming_since = context_.now();
  context_.Record({.type = LogEntryType::kServerUp, .server = server.number, .value = 1});
  discovery_.Publish(server.number, EndpointState::kActive);
}

void StorageServers::Handle(const ServerPaused& event) {
  const Experiment& experiment = context_.experiment();
  StorageServer& server = Server(event.server);
  const double pause = work_random_.Exponential(static_cast<double>(experiment.pause_duration));
  server.frozen_until = std::max(server.frozen_until, context_.now() + static_cast<Time>(pause));
  context_.Schedule(server.frozen_until, ServerResumed{event.server});
  if (context_.now() < context_.load_end()) {
    const double interval = work_random_.Exponential(static_cast<double>(experiment.pause_interval));
    context_.Schedule(context_.now() + static_cast<Time>(interval), event);
  }
}

void StorageServers::Handle(const ServerResumed& event) { StartQueuedWork(Server(event.server)); }

void StorageServers::Handle(const ServerRestarted& event) {
  StorageServer& server = Server(event.server);
  if (!server.up && !server.decommissioned) {
    StartProcess(server);
  }
}

// ---- faults ----

void StorageServers::SetSlow(int shard, double factor) {
  ServerOfShard(shard).fault_factor = std::max(kMinFaultFactor, factor);
}

void StorageServers::Freeze(int shard, Time duration) {
  StorageServer& server = ServerOfShard(shard);
  server.frozen_until = std::max(server.frozen_until, context_.now() + duration);
  context_.Schedule(server.frozen_until, ServerResumed{server.number});
}

void StorageServers::SetErrors(int shard, bool errors, double probability) {
  StorageServer& server = ServerOfShard(shard);
  server.errors = errors;
  server.fault_factor = errors ? probability : 1;
}

void StorageServers::SetNeighbourShare(int shard, double share) {
  StorageServer& server = ServerOfShard(shard);
  server.neighbour_share = std::min(kMaxNeighbourShare, share);
  StartQueuedWork(server);
}

void StorageServers::SetNoReplies(int shard, bool no_replies) {
  ServerOfShard(shard).no_replies = no_replies;
}

void StorageServers::Stop(int shard) { StopProcess(ServerOfShard(shard)); }

void StorageServers::ScheduleRestart(int shard) {
  context_.Schedule(context_.now(), ServerRestarted{ServerOfShard(shard).number});
}

void StorageServers::Drain(int shard) {
  discovery_.Publish(ServerOfShard(shard).number, EndpointState::kDraining);
}

void StorageServers::Replace(int shard) {
  StorageServer& old = ServerOfShard(shard);
  old.decommissioned = true;
  StopProcess(old);
  StorageServer next;
  next.number = count();
  next.shard = shard;
  next.zone = old.zone;
  next.speed = old.speed;
  next.up = false;
  servers_.push_back(next);
  server_of_shard_[static_cast<std::size_t>(shard)] = next.number;
  StartProcess(servers_.back());
}

}  // namespace walnutspur::lab::sim

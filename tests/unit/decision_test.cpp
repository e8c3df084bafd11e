// Records, tables, accounts and estimates of the scheduler: what its decisions rest on.
#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "decision/accounts.h"
#include "decision/estimates.h"
#include "decision/eviction.h"
#include "decision/flow_table.h"
#include "decision/state.h"

namespace walnutspur::decision {
namespace {

constexpr Time kStart = 1'000'000'000;
constexpr Time kOneSecond = 1'000'000;
constexpr Time kObjective = 400'000;

Settings MakeSettings() {
  Settings settings;
  settings.classes.resize(2);
  for (RequestClass& request_class : settings.classes) {
    request_class.latency_objective = kObjective;
    request_class.deadline = 2 * kObjective;
  }
  settings.classes[1].ordered_by_key = true;
  Plan plan;
  plan.rate = 10;
  plan.reserved_rate = 4;
  plan.limit = 20;
  plan.burst = 40;
  settings.plans.push_back(plan);
  settings.max_request_units = 2;
  return settings;
}

// A state with one active target "a" (shard 3, zone 1), one second after its start.
struct Fixture {
  Fixture() : state(MakeSettings(), 7, 16 * kOneSecond) {
    state.started_at = kStart;
    state.now = kStart + kOneSecond;
    target = &state.targets["a"];
    target->CopyFrom({"a", EndpointState::kActive, 3, 1});
    state.shard_targets[3] = target;
  }

  Volume& MakeVolume(const std::string& name, int initiator_count = 1) {
    RequestArrived arrival;
    arrival.volume = name;
    arrival.initiator_count = initiator_count;
    Volume& volume = VolumeOf(state, arrival);
    volume.last_arrival = state.now;
    return volume;
  }

  RequestRef Queue(const RequestId& id, Volume& volume, int shard = 3,
                   QueuePosition position = QueuePosition::kBack) {
    auto request = std::make_shared<RequestState>();
    request->id = id;
    request->arrived_at = state.now;
    request->deadline = state.now + 2 * kObjective;
    state.requests[id] = request;
    state.flows.Enqueue(request, &volume, shard, position, state.settings.classes.size());
    request->flow->last_arrival = state.now;
    return request;
  }

  void Send(const RequestRef& request) {
    state.flows.Remove(request);
    request->target = target;
    request->sent_at = state.now;
    ++request->attempts;
    target->attempts.push_back({request, state.now, request->units});
  }

  SchedulerState state;
  TargetState* target;
};

std::vector<RequestId> QueuedIds(const ShardFlows& flows) {
  std::vector<RequestId> ids;
  flows.ForEachQueued([&](const RequestRef& request) { ids.push_back(request->id); });
  return ids;
}

}  // namespace

TEST_CASE("the flow table visits requests by volume and queue position") {
  Fixture fixture;
  Volume& first = fixture.MakeVolume("z");
  Volume& second = fixture.MakeVolume("a");  // volumes are numbered in order of first sight
  fixture.Queue("1", second);
  fixture.Queue("2", first);
  fixture.Queue("3", first);
  const RequestRef retry = fixture.Queue("4", first, 3, QueuePosition::kFront);
  const ShardFlows& flows = fixture.state.flows.Shard(3);
  CHECK(QueuedIds(flows) == std::vector<RequestId>{"4", "2", "3", "1"});
  CHECK(flows.queued == 4);
  CHECK(fixture.state.flows.flow_count() == 2);
  fixture.state.flows.Remove(retry);
  fixture.state.flows.Remove(retry);  // it is in no queue: no effect
  CHECK(flows.queued == 3);
  CHECK(QueuedIds(flows) == std::vector<RequestId>{"2", "3", "1"});
  CHECK(retry->flow->volume == &first);
  CHECK(retry->flow->shard == 3);
}

TEST_CASE("the flow table evicts flows that are idle and not in use") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef used = fixture.Queue("1", volume, 3);
  const RequestRef idle = fixture.Queue("2", volume, 4);
  fixture.state.flows.EvictIdle({used->flow}, fixture.state.now);  // neither is older than this
  CHECK(fixture.state.flows.flow_count() == 2);
  fixture.state.flows.EvictIdle({used->flow}, fixture.state.now + 1);
  CHECK(fixture.state.flows.flow_count() == 1);
  CHECK(fixture.state.flows.Shard(3).by_volume.size() == 1);
}

TEST_CASE("a key's chain drops requests that are finished and not in flight, from the front") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  KeyChain chain;
  for (const char* id : {"1", "2", "3"}) {
    chain.requests.push_back(fixture.Queue(id, volume));
  }
  chain.requests[1]->finished = true;
  chain.RemoveFinished();
  CHECK(chain.requests.size() == 3);
  chain.requests[0]->finished = true;
  chain.requests[0]->target = fixture.target;
  chain.RemoveFinished();
  CHECK(chain.requests.size() == 3);
  chain.requests[0]->target = nullptr;
  chain.RemoveFinished();
  REQUIRE(chain.requests.size() == 1);
  CHECK(chain.requests[0]->id == "3");
}

TEST_CASE("a shard has an active target only while its last one is active") {
  Fixture fixture;
  CHECK(fixture.state.ActiveTarget(3) == fixture.target);
  CHECK(fixture.state.ActiveTarget(4) == nullptr);
  fixture.target->CopyFrom({"a", EndpointState::kDraining, 3, 1});
  CHECK(fixture.state.ActiveTarget(3) == nullptr);
  CHECK_FALSE(fixture.target->terminated);
  fixture.target->CopyFrom({"a", EndpointState::kTerminated, 3, 1});
  CHECK(fixture.target->terminated);
}

TEST_CASE("an outcome tells whether the attempt may have run") {
  for (const Outcome never : {Outcome::kOverloaded, Outcome::kConnectFailed, Outcome::kNotSent}) {
    CHECK_FALSE(MayHaveRun(never));
  }
  for (const Outcome maybe : {Outcome::kCompleted, Outcome::kErrored, Outcome::kTimedOut,
                              Outcome::kConnectionReset, Outcome::kCancelled, Outcome::kCorrupted}) {
    CHECK(MayHaveRun(maybe));
  }
}

TEST_CASE("only requests with a key, of classes that call for it, are ordered") {
  Fixture fixture;
  RequestState request;
  request.key = "k";
  CHECK_FALSE(fixture.state.IsOrdered(request));
  request.class_index = 1;
  CHECK(fixture.state.IsOrdered(request));
  request.key.clear();
  CHECK_FALSE(fixture.state.IsOrdered(request));
}

TEST_CASE("equal seeds give equal draws from [0, 1)") {
  SchedulerState first(MakeSettings(), 5, kOneSecond);
  SchedulerState second(MakeSettings(), 5, kOneSecond);
  for (int i = 0; i < 100; ++i) {
    const double draw = first.Random();
    CHECK(draw == second.Random());
    CHECK(draw >= 0);
    CHECK(draw < 1);
  }
}

TEST_CASE("a volume's accounts start with its reserve, and with the limit's credit since the start") {
  Fixture fixture;
  const Volume& whole_volume = fixture.MakeVolume("v");
  CHECK(whole_volume.number == 1);
  CHECK(whole_volume.reserve.tokens == 4 + 2);
  CHECK(whole_volume.limit.tokens == 20);
  const Volume& shared_volume = fixture.MakeVolume("w", 2);
  CHECK(shared_volume.reserve.tokens == 2 + 2);
  CHECK(shared_volume.limit.tokens == 10);
  CHECK(&fixture.MakeVolume("v") == &whole_volume);
  fixture.state.settings.reports_remote_usage = true;  // then each instance may use all of the reserve
  CHECK(fixture.MakeVolume("x", 2).reserve.tokens == 4 + 2);
}

TEST_CASE("accounts refill at their rates up to their capacities") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  Flow& flow = *fixture.Queue("1", volume)->flow;
  volume.reserve.tokens = 0;
  volume.limit.tokens = 0;
  flow.throttle = 8;
  flow.refilled_at = fixture.state.now;
  fixture.state.now += kOneSecond / 2;
  Refill(fixture.state, volume);
  Refill(fixture.state, flow);
  CHECK(volume.reserve.tokens == 2);
  CHECK(volume.limit.tokens == 10);
  CHECK(flow.throttle_bucket.tokens == 2);  // a quarter of a second's worth
  Refill(fixture.state, volume);            // no time has passed
  CHECK(volume.reserve.tokens == 2);
  fixture.state.now += 60 * kOneSecond;
  Refill(fixture.state, volume);
  CHECK(volume.reserve.tokens == 4 + 2);
  CHECK(volume.limit.tokens == 40);
}

TEST_CASE("a request is charged to the reserve or to its flow's fair share, and once to the limit") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef request = fixture.Queue("1", volume);
  request->units = 2;
  ChargeRequest(fixture.state, *request, true, 5, *fixture.target);
  CHECK(volume.reserve.tokens == 4);
  CHECK(volume.limit.tokens == 18);
  CHECK(request->flow->tag.finish == 0);
  request->flow->throttle = 1;
  request->attempts = 1;
  fixture.state.settings.rules.retry_budget_window = kOneSecond;
  ChargeRequest(fixture.state, *request, false, 5, *fixture.target);
  CHECK(volume.reserve.tokens == 4);
  CHECK(volume.limit.tokens == 18);
  CHECK(request->flow->tag.finish == 7);
  CHECK(fixture.target->virtual_clock.time == 5);
  CHECK(request->flow->throttle_bucket.tokens == -2);
  CHECK(fixture.state.retries.count() == 1);
}

TEST_CASE("units served elsewhere draw on the reserve first, then on the flow's fair share") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  Flow& flow = *fixture.Queue("1", volume)->flow;
  fixture.target->virtual_clock.time = 3;
  ChargeRemoteUnits(fixture.state, flow, *fixture.target, 10);
  CHECK(volume.reserve.tokens == 0);
  CHECK(flow.tag.finish == 3 + 4);
}

TEST_CASE("attempts that may still run linger at the target, others leave it") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef timed_out = fixture.Queue("1", volume);
  const RequestRef completed = fixture.Queue("2", volume);
  fixture.Send(timed_out);
  fixture.Send(completed);
  CHECK(UnitsInFlight(fixture.state, *fixture.target) == 2);
  fixture.state.now += kOneSecond;
  EndAttempt(fixture.state, *timed_out, Outcome::kTimedOut, *fixture.target);
  EndAttempt(fixture.state, *completed, Outcome::kCompleted, *fixture.target);
  CHECK(AttemptsInFlight(fixture.state, *fixture.target) == 1);
  fixture.state.now += 3 * kOneSecond;
  RemoveEndedAttempts(fixture.state, *fixture.target);
  CHECK(fixture.target->attempts.size() == 1);
  fixture.state.now += 1;
  RemoveEndedAttempts(fixture.state, *fixture.target);
  CHECK(fixture.target->attempts.empty());
}

TEST_CASE("an attempt is lost once one sent well after it has completed") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef request = fixture.Queue("1", volume);
  fixture.Send(request);
  const Attempt& attempt = fixture.target->attempts.front();
  const Time margin = 80'000 + kObjective / 4;  // four service times and a part of the objective
  fixture.target->latest_completed_send = attempt.sent_at + margin;
  CHECK_FALSE(IsLost(fixture.state, attempt, *fixture.target));
  fixture.target->latest_completed_send += 1;
  CHECK(IsLost(fixture.state, attempt, *fixture.target));
  CHECK(UnitsInFlight(fixture.state, *fixture.target) == 0);
  CHECK(AttemptsInFlight(fixture.state, *fixture.target) == 0);
}

TEST_CASE("the expected queueing delay is at least the age of the oldest attempt in the queue") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  fixture.target->latency.SetQueueing(1'000, fixture.state.now);
  CHECK(ExpectedQueueing(fixture.state, *fixture.target) == 1'000);
  fixture.Send(fixture.Queue("1", volume));
  fixture.state.now += kOneSecond;
  CHECK(ExpectedQueueing(fixture.state, *fixture.target) == kOneSecond - 20'000);
  SampleStuckAttempts(fixture.state, 2.0 * kOneSecond, *fixture.target);
  CHECK(fixture.target->samples.count == 0);
  SampleStuckAttempts(fixture.state, 0.5 * kOneSecond, *fixture.target);
  CHECK(fixture.target->samples.count == 1);
  CHECK(fixture.target->samples.queueing == kOneSecond - 20'000);
  CHECK(fixture.target->samples.service == 20'000);
}

TEST_CASE("a target with a stale estimate is expected to queue like the others") {
  Fixture fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.state.fleet_queueing.Add(100'000, fixture.state.now, 2e6);
    fixture.state.fleet_responses.Add(1, fixture.state.now, 2e6);
  }
  fixture.target->latency.SetQueueing(0, fixture.state.now);
  CHECK(ExpectedQueueing(fixture.state, *fixture.target) == 0);
  fixture.target->latency.SetQueueing(0, fixture.state.now - 10 * kOneSecond);
  CHECK(ExpectedQueueing(fixture.state, *fixture.target) == doctest::Approx(99'010).epsilon(0.001));
}

TEST_CASE("responses update the latency of target, fleet and flow; errors do not") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef request = fixture.Queue("1", volume);
  fixture.Send(request);
  fixture.state.now += 2 * kObjective;
  AttemptFinished result;
  result.latency = 2 * kObjective;
  result.outcome = Outcome::kErrored;
  RecordLatency(fixture.state, *request, result, *fixture.target);
  CHECK(fixture.target->samples.count == 0);
  result.outcome = Outcome::kTimedOut;
  RecordLatency(fixture.state, *request, result, *fixture.target);
  CHECK(fixture.target->samples.count == 1);
  CHECK(fixture.state.fleet_samples.count == 0);
  result.outcome = Outcome::kCompleted;
  RecordLatency(fixture.state, *request, result, *fixture.target);
  CHECK(fixture.state.fleet_samples.count == 1);
  CHECK(fixture.target->latest_completed_send == request->sent_at);
  CHECK(request->flow->samples == 2);
  CHECK(request->flow->lateness == 4);
}

TEST_CASE("outcomes update the histories of the target and of its zone") {
  Fixture fixture;
  const auto risk_of = [&](const routing::OutcomeHistory& history) {
    return history.FailureProbability(0, 1, fixture.state.now);
  };
  RecordHealth(fixture.state, Outcome::kOverloaded, *fixture.target);
  CHECK(risk_of(fixture.target->outcomes) == 0);
  RecordHealth(fixture.state, Outcome::kErrored, *fixture.target);  // the target failed, the zone responds
  CHECK(risk_of(fixture.target->outcomes) == 0.5);
  CHECK(risk_of(fixture.state.zone_outcomes[1]) == 0);
  RecordHealth(fixture.state, Outcome::kTimedOut, *fixture.target);
  CHECK(risk_of(fixture.state.zone_outcomes[1]) > 0.3);
}

TEST_CASE("service is measured at healthy targets, and usage as reported") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef request = fixture.Queue("1", volume);
  AttemptFinished result;
  result.reported_usage = 151;
  RecordService(fixture.state, *request, result, *fixture.target);
  CHECK(volume.usage == 1.5);
  CHECK(volume.usage_at == fixture.state.now);
  const double served = ServedRate(fixture.state);
  CHECK(served > 0);
  result.outcome = Outcome::kTimedOut;  // from here on the rate stands still
  RecordService(fixture.state, *request, result, *fixture.target);
  fixture.state.now += 10 * kOneSecond;
  CHECK(ServedRate(fixture.state) == served);
}

TEST_CASE("the demanded rate at a target is its part of present demand") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  Flow& here = *fixture.Queue("1", volume, 3)->flow;
  fixture.state.served_rate = 12;
  here.demand.rate = 1;
  here.demand.units = 2;
  volume.demand.rate = 4;
  CHECK(DemandedRate(fixture.state, *fixture.target) == doctest::Approx(6));
  here.demand.rate = 8;  // no more than all of it
  CHECK(DemandedRate(fixture.state, *fixture.target) == doctest::Approx(12));
}

TEST_CASE("an interval's measurement counts attempts past their objective as late") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef request = fixture.Queue("1", volume);
  Flow& flow = *request->flow;
  flow.demand.rate = 9;
  fixture.Send(request);
  fixture.state.now += kObjective;
  MeasureInterval(fixture.state, fixture.state.flows.Shard(3), *fixture.target);
  CHECK(fixture.target->reserved_rate == 4);
  CHECK(flow.samples == 0);
  fixture.state.now += kObjective;
  MeasureInterval(fixture.state, fixture.state.flows.Shard(3), *fixture.target);
  CHECK(flow.samples == 1);
  CHECK(flow.lateness == 2);
}

TEST_CASE("clients that announce a short wait or disconnect late are not counted as abandoning") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const auto fraction_after = [&](Time ttl, Time age) {
    Fixture other;
    RequestState request;
    request.arrived_at = other.state.now;
    request.deadline = other.state.now + ttl;
    other.state.now += age;
    for (int i = 0; i < 50; ++i) {
      RecordClientWait(other.state, request, true);
    }
    return other.state.abandonment.SafeFraction(other.state.now);
  };
  CHECK(fraction_after(kObjective, kObjective / 4) == doctest::Approx(0.25));
  CHECK(fraction_after(kObjective - 1, kObjective / 4) == 1);
  CHECK(fraction_after(2 * kObjective, kObjective) == 1);
  const RequestRef finished = fixture.Queue("1", volume);
  finished->finished = true;
  RecordClientWait(fixture.state, *finished, true);
  CHECK(fixture.state.abandonment.SafeFraction(fixture.state.now) == 1);
}

TEST_CASE("eviction removes what is idle, replaced or finished, and nothing that is in use") {
  Fixture fixture;
  SchedulerState& state = fixture.state;
  Volume& idle = fixture.MakeVolume("idle");
  Volume& used = fixture.MakeVolume("used");
  const RequestRef idle_request = fixture.Queue("1", idle);
  fixture.Queue("2", used);
  state.flows.Remove(idle_request);
  state.requests.erase("1");
  state.targets["replaced"].terminated = true;
  state.targets["busy"].terminated = true;
  state.targets["busy"].attempts.push_back({idle_request, state.now, 1});
  fixture.target->terminated = true;  // still the last known target of its shard
  state.key_chains["free"];
  state.key_chains["quarantined"].quarantined_until = state.now + 60 * kOneSecond;
  state.now += 30 * kOneSecond + 1;
  EvictIdle(state);
  CHECK(state.targets.size() == 2);
  CHECK(state.key_chains.size() == 1);
  CHECK(state.volumes.size() == 2);  // an attempt in flight uses the idle one
  state.targets["busy"].attempts.clear();
  EvictIdle(state);
  CHECK(state.targets.size() == 1);
  CHECK(state.flows.flow_count() == 1);
  CHECK(state.volumes.size() == 1);
  CHECK(state.volumes.contains("used"));
  CHECK(state.table_entries() == 1 + 1 + 1 + 1 + 1);  // target, volume, request, key, flow
}

TEST_CASE("a volume outlives its last flow until the credit of its limit is full again") {
  Fixture fixture;
  SchedulerState& state = fixture.state;
  state.settings.plans[0].burst = 20 * 40;  // 40 s
  fixture.MakeVolume("v");
  state.now += 39 * kOneSecond;
  EvictIdle(state);
  CHECK(state.volumes.size() == 1);
  state.now += 2 * kOneSecond;
  EvictIdle(state);
  CHECK(state.volumes.empty());
}

}  // namespace walnutspur::decision

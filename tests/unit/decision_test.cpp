// Tests the scheduler's records, tables and accounts, and the eviction of idle entries.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "decision/accounts.h"
#include "decision/dispatch.h"
#include "decision/eviction.h"
#include "decision/flow_table.h"
#include "decision/state.h"
#include "decision_fixture.h"

namespace walnutspur::decision {
namespace {

std::vector<RequestId> QueuedIds(const ShardFlows& flows) {
  std::vector<RequestId> ids;
  flows.ForEachQueued([&](const RequestRef& request) { ids.push_back(request->id); });
  return ids;
}

}  // namespace

// Guards against limits, loss detection and placement that stay tight for the objective of a class that is
// gone.
TEST_CASE(
    "scheduler state: after new settings the tightest objective is that of a class that accepts requests") {
  Settings settings = MakeSettings();
  settings.classes[1].latency_objective = kObjective / 4;
  SchedulerState state = MakeState(settings, 7);
  CHECK(ToTime(state.tightest_objective) == kObjective / 4);
  settings.classes[1].accepts_requests = false;
  state.ReplaceSettings(settings);
  CHECK(ToTime(state.tightest_objective) == kObjective);
}

TEST_CASE("FlowTable: requests are visited by volume and queue position") {
  Fixture fixture;
  Volume& first = fixture.MakeVolume("z");
  Volume& second = fixture.MakeVolume("a");  // volumes are numbered in the order of their first request
  fixture.Queue("1", second);
  fixture.Queue("2", first);
  fixture.Queue("3", first);
  const RequestRef retry = fixture.Queue("4", first, 3, QueuePosition::kFront);
  const ShardFlows& flows = fixture.state.flows.Shard(3);
  CHECK(QueuedIds(flows) == std::vector<RequestId>{"4", "2", "3", "1"});
  CHECK(flows.queued == 4);
  CHECK(fixture.state.flows.flow_count() == 2);
  fixture.state.flows.Remove(retry);
  fixture.state.flows.Remove(retry);  // no effect: it is in no queue
  CHECK(flows.queued == 3);
  CHECK(QueuedIds(flows) == std::vector<RequestId>{"2", "3", "1"});
  CHECK(retry->flow->volume == &first);
  CHECK(retry->flow->shard == 3);
}

TEST_CASE("FlowTable: only flows that are idle and not in use are evicted") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef used = fixture.Queue("1", volume, 3);
  const RequestRef idle = fixture.Queue("2", volume, 4);
  fixture.state.flows.EvictIdle({used->flow}, fixture.state.now);  // neither flow is older
  CHECK(fixture.state.flows.flow_count() == 2);
  fixture.state.flows.EvictIdle({used->flow}, fixture.state.now + 1);
  CHECK(fixture.state.flows.flow_count() == 1);
  CHECK(fixture.state.flows.Shard(3).by_volume.size() == 1);
}

TEST_CASE("KeyChain: finished requests that are not in flight are removed from the front") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  KeyQueue chain;
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

TEST_CASE("EndpointTable: a shard has an active target only while its latest target is active") {
  Fixture fixture;
  CHECK(fixture.state.endpoints.ActiveTarget(3) == fixture.target);
  CHECK(fixture.state.endpoints.ActiveTarget(4) == nullptr);
  fixture.target->CopyFrom({"a", EndpointState::kDraining, 3, 1});
  CHECK(fixture.state.endpoints.ActiveTarget(3) == nullptr);
  CHECK_FALSE(fixture.target->terminated);
  fixture.target->CopyFrom({"a", EndpointState::kTerminated, 3, 1});
  CHECK(fixture.target->terminated);
}

TEST_CASE("MayHaveRun: is false only for outcomes that exclude execution at the target") {
  for (const Outcome never : {Outcome::kOverloaded, Outcome::kConnectFailed, Outcome::kNotSent}) {
    CHECK_FALSE(MayHaveRun(never));
  }
  for (const Outcome maybe : {Outcome::kCompleted, Outcome::kErrored, Outcome::kTimedOut,
                              Outcome::kConnectionReset, Outcome::kCancelled, Outcome::kCorrupted}) {
    CHECK(MayHaveRun(maybe));
  }
}

TEST_CASE("SchedulerState: a request is ordered only if it has a key and its class is ordered by key") {
  Fixture fixture;
  RequestState request;
  request.key = "k";
  CHECK_FALSE(fixture.state.IsOrdered(request));
  request.class_index = 1;
  CHECK(fixture.state.IsOrdered(request));
  request.key.clear();
  CHECK_FALSE(fixture.state.IsOrdered(request));
}

TEST_CASE("RandomSource: equal seeds give equal draws from [0, 1)") {
  SchedulerState first = MakeState(MakeSettings(), 5);
  SchedulerState second = MakeState(MakeSettings(), 5);
  for (int i = 0; i < 100; ++i) {
    const double draw = first.random.Next();
    CHECK(draw == second.random.Next());
    CHECK(draw >= 0);
    CHECK(draw < 1);
  }
}

TEST_CASE("Volume: accounts start with the reserve and with the limit's credit since the instance's start") {
  Fixture fixture;
  const Volume& sole_volume = fixture.MakeVolume("v");
  CHECK(sole_volume.number == 1);
  CHECK(sole_volume.reserve.tokens == 4 + 2);
  CHECK(sole_volume.limit.tokens == 20);
  const Volume& shared_volume = fixture.MakeVolume("w", 2);
  CHECK(shared_volume.reserve.tokens == 2 + 2);
  CHECK(shared_volume.limit.tokens == 10);
  CHECK(&fixture.MakeVolume("v") == &sole_volume);
  fixture.state.settings.reports_remote_usage = true;  // each instance may use the full reserve
  CHECK(fixture.MakeVolume("x", 2).reserve.tokens == 4 + 2);
}

TEST_CASE("Refill: accounts refill at their rates up to their capacities") {
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
  CHECK(flow.throttle_bucket.tokens == 2);  // a quarter of a second's credit
  Refill(fixture.state, volume);            // no time has passed
  CHECK(volume.reserve.tokens == 2);
  fixture.state.now += 60 * kOneSecond;
  Refill(fixture.state, volume);
  CHECK(volume.reserve.tokens == 4 + 2);
  CHECK(volume.limit.tokens == 40);
}

TEST_CASE(
    "ChargeRequest: a request is charged to the reserve or to its flow's fair share, and once to the limit") {
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
  CHECK(fixture.state.retry_budget.retry_count() == 1);
}

TEST_CASE(
    "ChargeRemoteUnits: units served elsewhere are charged to the reserve, then to the flow's fair share") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  Flow& flow = *fixture.Queue("1", volume)->flow;
  fixture.target->virtual_clock.time = 3;
  ChargeRemoteUnits(fixture.state, flow, *fixture.target, 10);
  CHECK(volume.reserve.tokens == 0);
  CHECK(flow.tag.finish == 3 + 4);
}

TEST_CASE("EvictIdle: idle, replaced and finished entries are removed, entries in use are kept") {
  Fixture fixture;
  SchedulerState& state = fixture.state;
  Volume& idle = fixture.MakeVolume("idle");
  Volume& used = fixture.MakeVolume("used");
  const RequestRef idle_request = fixture.Queue("1", idle);
  fixture.Queue("2", used);
  state.flows.Remove(idle_request);
  state.requests.Remove("1");
  state.endpoints.FindOrAdd("replaced").terminated = true;
  TargetState& busy = state.endpoints.FindOrAdd("busy");
  busy.terminated = true;
  busy.attempts.push_back({idle_request, state.now, 1});
  fixture.target->terminated = true;  // kept: the last known target of its shard
  RequestState ended;
  for (const bool is_quarantined : {false, true}) {
    ended.key = is_quarantined ? "quarantined" : "free";
    const Time quarantine = is_quarantined ? 60 * kOneSecond : 0;
    state.key_order.OnAttemptEnded(ended, Outcome::kTimedOut, quarantine, state.now);
  }
  CHECK(state.key_order.size() == 2);
  state.now += 30 * kOneSecond + 1;
  EvictIdle(state);
  CHECK(state.endpoints.targets().size() == 2);
  CHECK(state.key_order.size() == 1);
  CHECK(state.volumes.size() == 2);  // an attempt in flight uses the idle volume
  busy.attempts.clear();
  EvictIdle(state);
  CHECK(state.endpoints.targets().size() == 1);
  CHECK(state.flows.flow_count() == 1);
  CHECK(state.volumes.size() == 1);
  CHECK(state.volumes.contains("used"));
  CHECK(state.table_entries() == 1 + 1 + 1 + 1 + 1);  // target, volume, request, key, flow
}

TEST_CASE("EvictIdle: a volume without flows is kept until the credit of its limit is full again") {
  Fixture fixture;
  SchedulerState& state = fixture.state;
  state.settings.plans[0].burst = 20 * 40;  // 40 s
  fixture.MakeVolume("v");
  state.now += 39 * kOneSecond;
  EvictIdle(state);
  CHECK(state.volumes.size() == 1);
  state.now += 2 * kOneSecond;
  EvictIdle(state);
  CHECK(state.volumes.size() == 0);
}

// Guards against a table of volumes that grows without end under ever new names.
TEST_CASE(
    "MakeRoom: a full table gives up what was idle the longest, and nothing that is in use or owes credit") {
  constexpr std::size_t kMaxFlows = 16;
  constexpr int kShard = 3;
  Settings settings = MakeSettings();
  settings.tables.max_flows = kMaxFlows;
  settings.plans[0].limit = 0;
  SUBCASE("unlimited volumes") {}
  SUBCASE("volumes with a limit are kept until it could fill") { settings.plans[0].limit = 20; }
  const bool is_limited = settings.plans[0].limit > 0;
  Fixture fixture(settings);
  SchedulerState& state = fixture.state;
  auto used = std::make_shared<RequestState>();
  used->id = "used";
  state.requests.Add(used);
  Enqueue(state, used, fixture.MakeVolume("used"), kShard);
  RequestState next;
  int admitted = 0;
  for (int number = 0; number < 100; ++number) {
    const std::string name = "v" + std::to_string(number);
    state.now += kTimerPeriod;
    if (!MakeRoom(state, next, name, kShard)) {
      continue;
    }
    ++admitted;
    auto request = std::make_shared<RequestState>();
    Volume& volume = fixture.MakeVolume(name);
    volume.last_arrival = state.now;
    Enqueue(state, request, volume, kShard);
    state.flows.Remove(request);
    CHECK(state.flows.flow_count() <= kMaxFlows);
    CHECK(state.volumes.size() <= kMaxFlows);
  }
  CHECK((admitted == 100) == !is_limited);
  CHECK(state.volumes.contains("used"));
  CHECK(state.flows.Shard(kShard).queued == 1);
  CHECK(MakeRoom(state, next, "used", kShard));
  state.now += 10 * kOneSecond;  // the burst takes 2 s to fill
  CHECK(MakeRoom(state, next, "another", kShard));
}

}  // namespace walnutspur::decision

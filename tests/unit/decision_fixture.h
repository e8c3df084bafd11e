// Test fixture for the decision module: a scheduler state with one active target.
#ifndef WALNUTSPUR_TESTS_UNIT_DECISION_FIXTURE_H_
#define WALNUTSPUR_TESTS_UNIT_DECISION_FIXTURE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "decision/accounts.h"
#include "decision/concurrency_limit.h"
#include "decision/flow_table.h"
#include "decision/state.h"

namespace walnutspur::decision {

// Start time of the instance, us.
constexpr Time kStart = 1'000'000'000;
constexpr Time kOneSecond = 1'000'000;
constexpr Time kObjective = 400'000;

// Returns settings with two classes, of which the second is ordered by key, and one plan with a reserve and a
// limit.
inline Settings MakeSettings() {
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

// Returns a scheduler state before any event.
inline SchedulerState MakeState(const Settings& settings, std::uint64_t seed) {
  return {settings, InitialConcurrencyLimits(settings), seed};
}

// A scheduler state with one active target "a" (shard 3, zone 1), one second after the start of the instance.
struct Fixture {
  explicit Fixture(const Settings& settings = MakeSettings()) : state(MakeState(settings, 7)) {
    state.started_at = kStart;
    state.now = kStart + kOneSecond;
    target = &state.endpoints.FindOrAdd("a");
    target->CopyFrom({"a", EndpointState::kActive, 3, 1});
    state.endpoints.AssignShard(*target);
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
    state.requests.Add(request);
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

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_TESTS_UNIT_DECISION_FIXTURE_H_

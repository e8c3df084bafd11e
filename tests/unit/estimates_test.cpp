// Tests the estimates of targets, flows and clients.
#include "decision/estimates.h"

#include <doctest/doctest.h>

#include "decision/in_flight.h"
#include "decision/loss_detection.h"
#include "decision_fixture.h"

namespace walnutspur::decision {

TEST_CASE(
    "AttemptsInFlight: a timed-out attempt counts until it may no longer run, a completed one does not") {
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

TEST_CASE("IsPresumedLost: is true once an attempt sent sufficiently later has completed") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef request = fixture.Queue("1", volume);
  fixture.Send(request);
  const Attempt& attempt = fixture.target->attempts.front();
  const Time margin = 80'000 + kObjective / 4;  // four service times and a part of the objective
  fixture.target->latest_completed_send = attempt.sent_at + margin;
  CHECK_FALSE(IsPresumedLost(fixture.state, *fixture.target, attempt));
  fixture.target->latest_completed_send += 1;
  CHECK(IsPresumedLost(fixture.state, *fixture.target, attempt));
  CHECK(UnitsInFlight(fixture.state, *fixture.target) == 0);
  CHECK(AttemptsInFlight(fixture.state, *fixture.target) == 0);
}

TEST_CASE("ExpectedQueueing: is at least the age of the oldest attempt less its service time") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  fixture.target->latency.SetQueueing(Microseconds(1'000), fixture.state.now);
  CHECK(ExpectedQueueing(fixture.state, *fixture.target) == Microseconds(1'000));
  fixture.Send(fixture.Queue("1", volume));
  fixture.state.now += kOneSecond;
  CHECK(ExpectedQueueing(fixture.state, *fixture.target) == Microseconds(kOneSecond - 20'000));
  SampleStuckAttempts(fixture.state, Microseconds(2 * kOneSecond), *fixture.target);
  CHECK(fixture.target->samples.count == 0);
  SampleStuckAttempts(fixture.state, Microseconds(kOneSecond / 2), *fixture.target);
  CHECK(fixture.target->samples.count == 1);
  CHECK(fixture.target->samples.queueing == Microseconds(kOneSecond - 20'000));
  CHECK(fixture.target->samples.service == Microseconds(20'000));
}

TEST_CASE("ExpectedQueueing: for a target with a stale estimate, the fleet's queueing delay is used") {
  Fixture fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.state.fleet_latency.OnCompleted(Microseconds(100'000), Microseconds(kObjective),
                                            fixture.state.now);
  }
  fixture.target->latency.SetQueueing(Duration::zero(), fixture.state.now);
  CHECK(ExpectedQueueing(fixture.state, *fixture.target) == Duration::zero());
  fixture.target->latency.SetQueueing(Duration::zero(), fixture.state.now - 10 * kOneSecond);
  CHECK(ExpectedQueueing(fixture.state, *fixture.target).count() == doctest::Approx(99'010).epsilon(0.001));
}

TEST_CASE("RecordLatency: responses update the latency of target, fleet and flow; errors do not") {
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
  CHECK(fixture.state.fleet_latency.samples().count == 0);
  result.outcome = Outcome::kCompleted;
  RecordLatency(fixture.state, *request, result, *fixture.target);
  CHECK(fixture.state.fleet_latency.samples().count == 1);
  CHECK(fixture.target->latest_completed_send == request->sent_at);
  CHECK(request->flow->samples == 2);
  CHECK(request->flow->lateness == 4);
}

TEST_CASE("RecordService: usage is taken as reported, and the served rate is constant during time-outs") {
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
  result.outcome = Outcome::kTimedOut;  // from now on the rate is constant
  RecordService(fixture.state, *request, result, *fixture.target);
  fixture.state.now += 10 * kOneSecond;
  CHECK(ServedRate(fixture.state) == served);
}

TEST_CASE("DemandedRate: is the target's part of present demand") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  Flow& here = *fixture.Queue("1", volume, 3)->flow;
  fixture.state.served_rate = 12;
  here.demand.rate = 1;
  here.demand.units = 2;
  volume.demand.rate = 4;
  CHECK(DemandedRate(fixture.state, *fixture.target) == doctest::Approx(6));
  here.demand.rate = 8;  // at most the full served rate
  CHECK(DemandedRate(fixture.state, *fixture.target) == doctest::Approx(12));
}

TEST_CASE("UpdateInterval: attempts past their latency objective count as late") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const RequestRef request = fixture.Queue("1", volume);
  Flow& flow = *request->flow;
  flow.demand.rate = 9;
  fixture.Send(request);
  fixture.state.now += kObjective;
  UpdateInterval(fixture.state, fixture.state.flows.Shard(3), *fixture.target);
  CHECK(fixture.target->reserved_rate == 4);
  CHECK(flow.samples == 0);
  fixture.state.now += kObjective;
  UpdateInterval(fixture.state, fixture.state.flows.Shard(3), *fixture.target);
  CHECK(flow.samples == 1);
  CHECK(flow.lateness == 2);
}

TEST_CASE("ClientWait: clients with a short deadline or a late disconnect are not counted as abandoning") {
  Fixture fixture;
  Volume& volume = fixture.MakeVolume("v");
  const auto fraction_after = [&](Time ttl, Time age) {
    Fixture other;
    RequestState request;
    request.arrived_at = other.state.now;
    request.deadline = other.state.now + ttl;
    other.state.now += age;
    for (int i = 0; i < 50; ++i) {
      other.state.client_wait.OnRequestEnded(request, kObjective, true, other.state.now);
    }
    other.state.client_wait.Update(other.state.now);
    return other.state.client_wait.fraction();
  };
  CHECK(fraction_after(kObjective, kObjective / 4) == doctest::Approx(0.25));
  CHECK(fraction_after(kObjective - 1, kObjective / 4) == 1);
  CHECK(fraction_after(2 * kObjective, kObjective) == 1);
  const RequestRef finished = fixture.Queue("1", volume);
  finished->finished = true;
  fixture.state.client_wait.OnRequestEnded(*finished, kObjective, true, fixture.state.now);
  fixture.state.client_wait.Update(fixture.state.now);
  CHECK(fixture.state.client_wait.fraction() == 1);
}

}  // namespace walnutspur::decision

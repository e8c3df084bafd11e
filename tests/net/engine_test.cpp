// Tests the engine and its queue, without any protocol.
#include "core/engine.h"

#include <doctest/doctest.h>

#include <thread>

#include "core/queue.h"

namespace walnutspur::test {
namespace {

constexpr Time kMs = 1'000;

// Returns settings with one class (latency objective 200 ms, deadline 600 ms) and at most two attempts.
Settings OneClass(Idempotency idempotency) {
  Settings settings;
  RequestClass request_class;
  request_class.latency_objective = 200 * kMs;
  request_class.deadline = 600 * kMs;
  request_class.idempotency = idempotency;
  settings.classes = {request_class};
  settings.max_attempts = 2;
  settings.can_cancel = true;
  return settings;
}

// An engine with one active target "t", and all its outputs so far.
struct EngineFixture {
  explicit EngineFixture(Idempotency idempotency) : engine(OneClass(idempotency), 1) {
    engine.Start(now);
    Endpoint entry;
    entry.target = "t";
    Handle(core::EndpointsUpdated{{EndpointUpdateKind::kFull, {entry}}});
  }
  // Handles one input and records the outputs.
  void Handle(const core::Input& input) {
    for (auto& output : engine.Handle(input, now)) {
      outputs.push_back(output);
    }
  }
  // Submits a request of shard 0 with a deadline in 600 ms.
  void ReceiveRequest(core::RequestNumber request_number = 1) {
    core::RequestReceived arrived;
    arrived.request = request_number;
    arrived.attributes.shard = 0;
    arrived.deadline = now + 600 * kMs;
    Handle(arrived);
  }
  // Submits the result of an attempt.
  void FinishAttempt(int attempt, Outcome outcome, core::RequestNumber request_number = 1) {
    core::AttemptResult ended;
    ended.request = request_number;
    ended.attempt = attempt;
    ended.outcome = outcome;
    Handle(ended);
  }
  // Returns the outputs of one type, in order.
  template <typename T>
  std::vector<T> OutputsOf() const {
    std::vector<T> found;
    for (const auto& output : outputs) {
      if (const T* match = std::get_if<T>(&output)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  Time now = 1'000'000'000;
  core::Engine engine;
  std::vector<core::Output> outputs;
};

TEST_CASE("Engine: state of replaced targets, idle volumes and finished request ids is removed") {
  EngineFixture fixture(Idempotency::kIdempotent);
  std::size_t early = 0;
  for (int i = 0; i < 400; ++i) {  // each takes half a second; every target serves three requests
    Endpoint previous;
    Endpoint current;
    previous.target = "t" + std::to_string(i / 3 - 1);
    previous.state = EndpointState::kTerminated;
    current.target = "t" + std::to_string(i / 3);
    fixture.Handle(core::EndpointsUpdated{
        {i % 2 ? EndpointUpdateKind::kFull : EndpointUpdateKind::kDelta, {previous, current}}});
    core::RequestReceived arrived;
    arrived.request = static_cast<core::RequestNumber>(i + 1);
    arrived.client_request_id = "id" + std::to_string(i);
    arrived.attributes.volume = "v" + std::to_string(i);
    arrived.attributes.shard = 0;
    arrived.deadline = fixture.now + 600 * kMs;
    fixture.Handle(arrived);
    if (i % 4 == 0) {
      fixture.Handle(core::ClientClosed{arrived.request});
    }
    fixture.now += 100 * kMs;
    fixture.FinishAttempt(0, i % 4 == 0 ? Outcome::kCancelled : Outcome::kCompleted, arrived.request);
    for (int tick = 0; tick < 20; ++tick) {
      fixture.now += 20 * kMs;
      fixture.Handle(core::TimerExpired{0});
    }
    fixture.outputs.clear();
    if (i == 150) {
      early = fixture.engine.table_entries();
    }
  }
  CHECK(fixture.engine.open_requests() == 0);
  CHECK(fixture.engine.table_entries() <= early + 4);
  for (int tick = 0; tick < 2'000; ++tick) {
    fixture.now += 20 * kMs;
    fixture.Handle(core::TimerExpired{0});
  }
  CHECK(fixture.engine.table_entries() < 8);  // the remaining target and no volumes
}

TEST_CASE(
    "Engine: a client request id is rejected as duplicate while an attempt is in flight or may have run") {
  Idempotency idempotency = Idempotency::kNotIdempotent;
  Outcome outcome = Outcome::kCancelled;
  bool is_repeat_rejected = true;
  SUBCASE("not idempotent, may have run") {}
  SUBCASE("not idempotent, failed") { outcome = Outcome::kErrored; }
  SUBCASE("not idempotent, never ran") {
    outcome = Outcome::kConnectFailed;
    is_repeat_rejected = false;
  }
  SUBCASE("idempotent, may have run") {
    idempotency = Idempotency::kIdempotent;
    is_repeat_rejected = false;
  }
  EngineFixture fixture(idempotency);
  const auto arrive = [&](core::RequestNumber request_number) {
    core::RequestReceived arrived;
    arrived.request = request_number;
    arrived.client_request_id = "9b1f03aa5c7e2d41";
    arrived.attributes.shard = 0;
    arrived.deadline = fixture.now + 600 * kMs;
    fixture.Handle(arrived);
  };
  const auto repeated = [&] {
    const auto responses = fixture.OutputsOf<core::Response>();
    return !responses.empty() && responses.back().status == core::ResponseStatus::kDuplicate;
  };
  arrive(1);
  REQUIRE(fixture.OutputsOf<core::StartAttempt>().size() == 1);
  fixture.Handle(core::ClientClosed{1});
  arrive(2);
  CHECK(repeated());
  CHECK(fixture.OutputsOf<core::StartAttempt>().size() == 1);
  fixture.FinishAttempt(0, outcome);
  fixture.outputs.clear();
  arrive(3);
  CHECK(repeated() == is_repeat_rejected);
  CHECK(fixture.OutputsOf<core::Response>().empty() != is_repeat_rejected);
  fixture.outputs.clear();
  fixture.now += 61'000 * kMs;
  fixture.Handle(core::TimerExpired{0});
  if (is_repeat_rejected) {
    arrive(4);
    CHECK_FALSE(repeated());
  }
}

TEST_CASE("Engine: an id whose client had left before it could have the response does not run again") {
  for (const bool left : {false, true}) {
    EngineFixture fixture(Idempotency::kNotIdempotent);
    core::RequestReceived arrived;
    arrived.request = 1;
    arrived.client_request_id = "9b1f03aa5c7e2d41";
    arrived.attributes.shard = 0;
    arrived.deadline = fixture.now + 600 * kMs;
    fixture.Handle(arrived);
    fixture.FinishAttempt(0, Outcome::kCompleted);
    if (left) {
      fixture.Handle(core::ClientClosed{1});  // the front end had not passed on the response
    }
    fixture.outputs.clear();
    arrived.request = 2;
    fixture.Handle(arrived);
    CHECK(fixture.OutputsOf<core::StartAttempt>().empty() == left);
  }
}

TEST_CASE("ExpiringIds: ids are kept for their time, and beyond the maximum the oldest is forgotten") {
  limits::ExpiringIds ids(10 * kMs);
  ids.set_max_size(2);
  CHECK_FALSE(ids.Add("a", 0));
  CHECK_FALSE(ids.Add("b", 5 * kMs));
  CHECK(ids.Add("c", 5 * kMs));
  CHECK_FALSE(ids.Contains("a", 5 * kMs));
  CHECK(ids.Contains("b", 14 * kMs));
  CHECK_FALSE(ids.Contains("b", 15 * kMs));
  CHECK(ids.size() == 0);
}

TEST_CASE("Engine: attempts are numbered in order, and a request has one response") {
  EngineFixture fixture(Idempotency::kIdempotent);
  fixture.ReceiveRequest();
  fixture.FinishAttempt(0, Outcome::kErrored);
  fixture.FinishAttempt(1, Outcome::kCompleted);
  const auto attempts = fixture.OutputsOf<core::StartAttempt>();
  REQUIRE(attempts.size() == 2);
  CHECK(attempts[0].attempt == 0);
  CHECK(attempts[1].attempt == 1);
  REQUIRE(fixture.OutputsOf<core::Response>().size() == 1);
  CHECK(fixture.OutputsOf<core::Response>()[0].status == core::ResponseStatus::kServed);
  CHECK(fixture.engine.open_requests() == 0);
}

TEST_CASE("Engine: an outcome that is reported twice counts once") {
  EngineFixture fixture(Idempotency::kIdempotent);
  fixture.ReceiveRequest();
  fixture.FinishAttempt(0, Outcome::kErrored);
  fixture.FinishAttempt(0, Outcome::kErrored);
  fixture.FinishAttempt(0, Outcome::kCompleted);
  CHECK(fixture.OutputsOf<core::StartAttempt>().size() == 2);
  CHECK(fixture.OutputsOf<core::Response>().empty());
  fixture.FinishAttempt(1, Outcome::kErrored);
  fixture.FinishAttempt(1, Outcome::kCompleted);
  CHECK(fixture.OutputsOf<core::Response>().size() == 1);
}

TEST_CASE("Engine: a non-idempotent request that may have run fails and is not retried") {
  for (const Outcome outcome :
       {Outcome::kErrored, Outcome::kConnectionReset, Outcome::kTimedOut, Outcome::kCancelled}) {
    EngineFixture fixture(Idempotency::kNotIdempotent);
    fixture.ReceiveRequest();
    fixture.FinishAttempt(0, outcome);
    CHECK(fixture.OutputsOf<core::StartAttempt>().size() == 1);
    REQUIRE(fixture.OutputsOf<core::Response>().size() == 1);
    CHECK(fixture.OutputsOf<core::Response>()[0].status == core::ResponseStatus::kFailed);
  }
}

TEST_CASE("Engine: a deadline that expires with an attempt in flight aborts it and gives one response") {
  EngineFixture fixture(Idempotency::kNotIdempotent);
  fixture.ReceiveRequest();
  fixture.now += 605 * kMs;
  fixture.Handle(core::DeadlineExpired{1});
  CHECK(fixture.OutputsOf<core::AbortAttempt>().size() == 1);
  REQUIRE(fixture.OutputsOf<core::Response>().size() == 1);
  CHECK(fixture.OutputsOf<core::Response>()[0].status == core::ResponseStatus::kTimedOut);
  fixture.FinishAttempt(0, Outcome::kCompleted);
  fixture.Handle(core::DeadlineExpired{1});
  fixture.Handle(core::ClientClosed{1});
  CHECK(fixture.OutputsOf<core::Response>().size() == 1);
  CHECK(fixture.engine.open_requests() == 0);
}

TEST_CASE("Engine: after a client disconnects, its attempt is cancelled and no response is sent") {
  EngineFixture fixture(Idempotency::kIdempotent);
  fixture.ReceiveRequest();
  fixture.Handle(core::ClientClosed{1});
  CHECK(fixture.OutputsOf<core::AbortAttempt>().size() == 1);
  CHECK(fixture.engine.open_requests() == 1);  // until the attempt has ended
  fixture.FinishAttempt(0, Outcome::kCancelled);
  CHECK(fixture.OutputsOf<core::Response>().empty());
  CHECK(fixture.engine.open_requests() == 0);
}

TEST_CASE("Engine: a target that an endpoint list marks as draining or omits is drained") {
  EngineFixture fixture(Idempotency::kIdempotent);
  Endpoint entry;
  entry.target = "t";
  entry.state = EndpointState::kDraining;
  fixture.Handle(core::EndpointsUpdated{{EndpointUpdateKind::kDelta, {entry}}});
  CHECK(fixture.OutputsOf<core::DrainTarget>().size() == 1);
  entry.state = EndpointState::kActive;
  fixture.Handle(core::EndpointsUpdated{{EndpointUpdateKind::kDelta, {entry}}});
  fixture.Handle(core::EndpointsUpdated{{EndpointUpdateKind::kFull, {}}});
  CHECK(fixture.OutputsOf<core::DrainTarget>().size() == 2);
}

TEST_CASE("Queue: items of each thread are delivered completely and in order") {
  core::Queue<int> queue;
  std::vector<std::thread> writers;
  for (int writer = 0; writer < 4; ++writer) {
    writers.emplace_back([&queue, writer] {
      for (int i = 0; i < 1000; ++i) {
        queue.Push(writer * 1000 + i);
      }
    });
  }
  std::vector<int> last(4, -1);
  int count = 0;
  while (count < 4000) {
    for (const int item : queue.Wait()) {
      CHECK(item % 1000 == last[item / 1000] + 1);
      last[item / 1000] = item % 1000;
      ++count;
    }
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
  queue.Close();
  CHECK(queue.Wait().empty());
}

TEST_CASE("Engine: changed settings bind new requests, and a request under way keeps its class") {
  EngineFixture fixture(Idempotency::kIdempotent);
  fixture.ReceiveRequest(1);
  Settings settings = OneClass(Idempotency::kIdempotent);
  RequestClass unsafe = settings.classes.front();
  unsafe.idempotency = Idempotency::kNotIdempotent;
  settings.classes.push_back(unsafe);
  fixture.Handle(core::SettingsChanged{settings});
  core::RequestReceived arrived;
  arrived.request = 2;
  arrived.attributes.shard = 0;
  arrived.attributes.request_class = 1;
  arrived.deadline = fixture.now + 600 * kMs;
  fixture.Handle(arrived);
  CHECK(fixture.OutputsOf<core::StartAttempt>().size() == 2);
  // The first request is still idempotent and is retried; the second one is not.
  fixture.FinishAttempt(0, Outcome::kErrored, 1);
  fixture.FinishAttempt(0, Outcome::kErrored, 2);
  fixture.Handle(core::TimerExpired{0});
  std::size_t attempts_of_second = 0;
  for (const core::StartAttempt& attempt : fixture.OutputsOf<core::StartAttempt>()) {
    attempts_of_second += attempt.request == 2 ? 1 : 0;
  }
  CHECK(attempts_of_second == 1);
  CHECK(fixture.OutputsOf<core::StartAttempt>().size() == 3);
}

TEST_CASE("Engine: fewer attempts bind the retries yet to come") {
  EngineFixture fixture(Idempotency::kIdempotent);
  fixture.ReceiveRequest(1);
  Settings settings = OneClass(Idempotency::kIdempotent);
  settings.max_attempts = 1;
  fixture.Handle(core::SettingsChanged{settings});
  fixture.FinishAttempt(0, Outcome::kErrored, 1);
  fixture.Handle(core::TimerExpired{0});
  CHECK(fixture.OutputsOf<core::StartAttempt>().size() == 1);
  CHECK(fixture.OutputsOf<core::Response>().size() == 1);
}

TEST_CASE("Engine: a read goes to the shard at which this instance stored the object") {
  EngineFixture fixture(Idempotency::kIdempotent);
  Endpoint other;
  other.target = "u";
  other.shard = 1;
  fixture.Handle(core::EndpointsUpdated{{EndpointUpdateKind::kDelta, {other}}});
  core::RequestReceived written;
  written.request = 1;
  written.attributes.shard = -1;
  written.attributes.volume = "v";
  written.attributes.key = "k";
  written.deadline = fixture.now + 600 * kMs;
  fixture.Handle(written);
  REQUIRE(fixture.OutputsOf<core::StartAttempt>().size() == 1);
  const TargetId stored_at = fixture.OutputsOf<core::StartAttempt>().front().target;
  fixture.FinishAttempt(0, Outcome::kCompleted, 1);
  core::RequestReceived read = written;
  read.request = 2;
  read.attributes.shard = stored_at == "t" ? 1 : 0;  // the shard that does not hold it
  fixture.Handle(read);
  REQUIRE(fixture.OutputsOf<core::StartAttempt>().size() == 2);
  CHECK(fixture.OutputsOf<core::StartAttempt>().back().target == stored_at);
}

}  // namespace
}  // namespace walnutspur::test

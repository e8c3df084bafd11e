// The engine and its queue, without a wire.
#include <doctest/doctest.h>

#include <thread>

#include "core/engine.h"
#include "core/queue.h"

namespace walnutspur::test {
namespace {

constexpr Time kMs = 1'000;

Settings OneClass(Idempotency effect) {
  Settings settings;
  RequestClass cls;
  cls.latency_objective = 200 * kMs;
  cls.deadline = 600 * kMs;
  cls.idempotency = effect;
  settings.classes = {cls};
  settings.max_attempts = 2;
  settings.can_cancel = true;
  return settings;
}

struct Play {
  explicit Play(Idempotency effect) : engine(OneClass(effect), 1) {
    engine.Start(now);
    Endpoint entry;
    entry.target = "t";
    Do(core::EndpointsUpdated{{EndpointUpdateKind::kFull, {entry}}});
  }
  void Do(const core::Input& input) {
    for (auto& output : engine.Handle(input, now)) outputs.push_back(output);
  }
  void Arrive(core::RequestNumber serial = 1) {
    core::RequestReceived arrived;
    arrived.request = serial;
    arrived.attributes.shard = 0;
    arrived.deadline = now + 600 * kMs;
    Do(arrived);
  }
  void End(int trial, Outcome outcome, core::RequestNumber serial = 1) {
    core::AttemptResult ended;
    ended.request = serial;
    ended.attempt = trial;
    ended.outcome = outcome;
    Do(ended);
  }
  template <typename T>
  std::vector<T> Of() const {
    std::vector<T> found;
    for (const auto& output : outputs) {
      if (const T* one = std::get_if<T>(&output)) found.push_back(*one);
    }
    return found;
  }
  Time now = 1'000'000'000;
  core::Engine engine;
  std::vector<core::Output> outputs;
};

TEST_CASE("what is keyed by a target, volume or client's id is forgotten with it") {
  Play play(Idempotency::kIdempotent);
  std::size_t early = 0;
  for (int i = 0; i < 400; ++i) {  // half a second each; every target serves three of them
    Endpoint old, fresh;
    old.target = "t" + std::to_string(i / 3 - 1);
    old.state = EndpointState::kTerminated;
    fresh.target = "t" + std::to_string(i / 3);
    play.Do(core::EndpointsUpdated{
        {i % 2 ? EndpointUpdateKind::kFull : EndpointUpdateKind::kDelta, {old, fresh}}});
    core::RequestReceived arrived;
    arrived.request = static_cast<core::RequestNumber>(i + 1);
    arrived.client_request_id = "id" + std::to_string(i);
    arrived.attributes.volume = "v" + std::to_string(i);
    arrived.attributes.shard = 0;
    arrived.deadline = play.now + 600 * kMs;
    play.Do(arrived);
    if (i % 4 == 0) play.Do(core::ClientClosed{arrived.request});
    play.now += 100 * kMs;
    play.End(0, i % 4 == 0 ? Outcome::kCancelled : Outcome::kCompleted, arrived.request);
    for (int turn = 0; turn < 20; ++turn) {
      play.now += 20 * kMs;
      play.Do(core::TimerExpired{0});
    }
    play.outputs.clear();
    if (i == 150) early = play.engine.table_entries();
  }
  CHECK(play.engine.open_requests() == 0);
  CHECK(play.engine.table_entries() <= early + 4);
  for (int turn = 0; turn < 2'000; ++turn) {
    play.now += 20 * kMs;
    play.Do(core::TimerExpired{0});
  }
  CHECK(play.engine.table_entries() < 8);  // the target that is left, and no volume
}

TEST_CASE("an id stays taken while an attempt of its request is out, and not any longer") {
  Play play(Idempotency::kNotIdempotent);
  const auto arrive = [&](core::RequestNumber serial) {
    core::RequestReceived arrived;
    arrived.request = serial;
    arrived.client_request_id = "9b1f03aa5c7e2d41";
    arrived.attributes.shard = 0;
    arrived.deadline = play.now + 600 * kMs;
    play.Do(arrived);
  };
  const auto repeated = [&] {
    const auto answers = play.Of<core::Response>();
    return !answers.empty() && answers.back().status == core::ResponseStatus::kDuplicate;
  };
  arrive(1);
  REQUIRE(play.Of<core::StartAttempt>().size() == 1);
  play.Do(core::ClientClosed{1});
  arrive(2);
  CHECK(repeated());
  CHECK(play.Of<core::StartAttempt>().size() == 1);
  play.End(0, Outcome::kCancelled);
  play.outputs.clear();
  arrive(3);
  CHECK_FALSE(repeated());
  CHECK(play.Of<core::StartAttempt>().size() == 1);
}

TEST_CASE("attempts are numbered in order and one answer ends a request") {
  Play play(Idempotency::kIdempotent);
  play.Arrive();
  play.End(0, Outcome::kErrored);
  play.End(1, Outcome::kCompleted);
  const auto attempts = play.Of<core::StartAttempt>();
  REQUIRE(attempts.size() == 2);
  CHECK(attempts[0].attempt == 0);
  CHECK(attempts[1].attempt == 1);
  REQUIRE(play.Of<core::Response>().size() == 1);
  CHECK(play.Of<core::Response>()[0].status == core::ResponseStatus::kServed);
  CHECK(play.engine.open_requests() == 0);
}

TEST_CASE("an outcome that is reported twice counts once") {
  Play play(Idempotency::kIdempotent);
  play.Arrive();
  play.End(0, Outcome::kErrored);
  play.End(0, Outcome::kErrored);
  play.End(0, Outcome::kCompleted);
  CHECK(play.Of<core::StartAttempt>().size() == 2);
  CHECK(play.Of<core::Response>().empty());
  play.End(1, Outcome::kErrored);
  play.End(1, Outcome::kCompleted);
  CHECK(play.Of<core::Response>().size() == 1);
}

TEST_CASE("an unsafe request that may have run is failed and never sent again") {
  for (const Outcome outcome :
       {Outcome::kErrored, Outcome::kConnectionReset, Outcome::kTimedOut, Outcome::kCancelled}) {
    Play play(Idempotency::kNotIdempotent);
    play.Arrive();
    play.End(0, outcome);
    CHECK(play.Of<core::StartAttempt>().size() == 1);
    REQUIRE(play.Of<core::Response>().size() == 1);
    CHECK(play.Of<core::Response>()[0].status == core::ResponseStatus::kFailed);
  }
}

TEST_CASE("a deadline that passes with an attempt out ends both, once") {
  Play play(Idempotency::kNotIdempotent);
  play.Arrive();
  play.now += 605 * kMs;
  play.Do(core::DeadlineExpired{1});
  CHECK(play.Of<core::AbortAttempt>().size() == 1);
  REQUIRE(play.Of<core::Response>().size() == 1);
  CHECK(play.Of<core::Response>()[0].status == core::ResponseStatus::kTimedOut);
  play.End(0, Outcome::kCompleted);
  play.Do(core::DeadlineExpired{1});
  play.Do(core::ClientClosed{1});
  CHECK(play.Of<core::Response>().size() == 1);
  CHECK(play.engine.open_requests() == 0);
}

TEST_CASE("a client that leaves gets no answer, and its attempt is called back") {
  Play play(Idempotency::kIdempotent);
  play.Arrive();
  play.Do(core::ClientClosed{1});
  CHECK(play.Of<core::AbortAttempt>().size() == 1);
  CHECK(play.engine.open_requests() == 1);  // until the attempt has ended
  play.End(0, Outcome::kCancelled);
  CHECK(play.Of<core::Response>().empty());
  CHECK(play.engine.open_requests() == 0);
}

TEST_CASE("a target that a list calls draining, or leaves out, is withdrawn from") {
  Play play(Idempotency::kIdempotent);
  Endpoint entry;
  entry.target = "t";
  entry.state = EndpointState::kDraining;
  play.Do(core::EndpointsUpdated{{EndpointUpdateKind::kDelta, {entry}}});
  CHECK(play.Of<core::DrainTarget>().size() == 1);
  entry.state = EndpointState::kActive;
  play.Do(core::EndpointsUpdated{{EndpointUpdateKind::kDelta, {entry}}});
  play.Do(core::EndpointsUpdated{{EndpointUpdateKind::kFull, {}}});
  CHECK(play.Of<core::DrainTarget>().size() == 2);
}

TEST_CASE("the queue hands over all there is, in order, from many threads") {
  core::Queue<int> queue;
  std::vector<std::thread> writers;
  for (int w = 0; w < 4; ++w) {
    writers.emplace_back([&queue, w] {
      for (int i = 0; i < 1000; ++i) queue.Push(w * 1000 + i);
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
  for (std::thread& writer : writers) writer.join();
  queue.Close();
  CHECK(queue.Wait().empty());
}

}  // namespace
}  // namespace walnutspur::test

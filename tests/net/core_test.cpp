// The engine and its queue, without a wire.
#include <doctest/doctest.h>

#include <thread>

#include "core/engine.h"
#include "core/queue.h"

namespace walnutspur::test {
namespace {

constexpr Time kMs = 1'000;

Settings OneClass(Effect effect) {
  Settings settings;
  RequestClass cls;
  cls.aim = 200 * kMs;
  cls.deadline = 600 * kMs;
  cls.effect = effect;
  settings.classes = {cls};
  settings.try_limit = 2;
  settings.may_cancel = true;
  return settings;
}

struct Play {
  explicit Play(Effect effect) : engine(OneClass(effect), 1) {
    engine.Start(now);
    ListEntry entry;
    entry.target = "t";
    Do(core::Listed{{Mode::kFull, {entry}}});
  }
  void Do(const core::Input& input) {
    for (auto& output : engine.Handle(input, now)) outputs.push_back(output);
  }
  void Arrive(core::Serial serial = 1) {
    core::Arrived arrived;
    arrived.serial = serial;
    arrived.what.cell = 0;
    arrived.deadline = now + 600 * kMs;
    Do(arrived);
  }
  void End(int trial, Outcome outcome, core::Serial serial = 1) {
    core::Ended ended;
    ended.serial = serial;
    ended.trial = trial;
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
  Play play(Effect::kSafe);
  std::size_t early = 0;
  for (int i = 0; i < 400; ++i) {  // half a second each; every target serves three of them
    ListEntry old, fresh;
    old.target = "t" + std::to_string(i / 3 - 1);
    old.phase = Phase::kDead;
    fresh.target = "t" + std::to_string(i / 3);
    play.Do(core::Listed{{i % 2 ? Mode::kFull : Mode::kDelta, {old, fresh}}});
    core::Arrived arrived;
    arrived.serial = static_cast<core::Serial>(i + 1);
    arrived.name = "id" + std::to_string(i);
    arrived.what.volume = "v" + std::to_string(i);
    arrived.what.cell = 0;
    arrived.deadline = play.now + 600 * kMs;
    play.Do(arrived);
    if (i % 4 == 0) play.Do(core::Departed{arrived.serial});
    play.now += 100 * kMs;
    play.End(0, i % 4 == 0 ? Outcome::kRecalled : Outcome::kCompleted, arrived.serial);
    for (int turn = 0; turn < 20; ++turn) {
      play.now += 20 * kMs;
      play.Do(core::Rang{0});
    }
    play.outputs.clear();
    if (i == 150) early = play.engine.remembered();
  }
  CHECK(play.engine.open() == 0);
  CHECK(play.engine.remembered() <= early + 4);
  for (int turn = 0; turn < 2'000; ++turn) {
    play.now += 20 * kMs;
    play.Do(core::Rang{0});
  }
  CHECK(play.engine.remembered() < 8);  // the target that is left, and no volume
}

TEST_CASE("an id stays taken while an attempt of its request is out, and not any longer") {
  Play play(Effect::kUnsafe);
  const auto arrive = [&](core::Serial serial) {
    core::Arrived arrived;
    arrived.serial = serial;
    arrived.name = "9b1f03aa5c7e2d41";
    arrived.what.cell = 0;
    arrived.deadline = play.now + 600 * kMs;
    play.Do(arrived);
  };
  const auto repeated = [&] {
    const auto answers = play.Of<core::Answer>();
    return !answers.empty() && answers.back().verdict == core::Verdict::kRepeated;
  };
  arrive(1);
  REQUIRE(play.Of<core::Attempt>().size() == 1);
  play.Do(core::Departed{1});
  arrive(2);
  CHECK(repeated());
  CHECK(play.Of<core::Attempt>().size() == 1);
  play.End(0, Outcome::kRecalled);
  play.outputs.clear();
  arrive(3);
  CHECK_FALSE(repeated());
  CHECK(play.Of<core::Attempt>().size() == 1);
}

TEST_CASE("attempts are numbered in order and one answer ends a request") {
  Play play(Effect::kSafe);
  play.Arrive();
  play.End(0, Outcome::kErrored);
  play.End(1, Outcome::kCompleted);
  const auto attempts = play.Of<core::Attempt>();
  REQUIRE(attempts.size() == 2);
  CHECK(attempts[0].trial == 0);
  CHECK(attempts[1].trial == 1);
  REQUIRE(play.Of<core::Answer>().size() == 1);
  CHECK(play.Of<core::Answer>()[0].verdict == core::Verdict::kServed);
  CHECK(play.engine.open() == 0);
}

TEST_CASE("an outcome that is reported twice counts once") {
  Play play(Effect::kSafe);
  play.Arrive();
  play.End(0, Outcome::kErrored);
  play.End(0, Outcome::kErrored);
  play.End(0, Outcome::kCompleted);
  CHECK(play.Of<core::Attempt>().size() == 2);
  CHECK(play.Of<core::Answer>().empty());
  play.End(1, Outcome::kErrored);
  play.End(1, Outcome::kCompleted);
  CHECK(play.Of<core::Answer>().size() == 1);
}

TEST_CASE("an unsafe request that may have run is failed and never sent again") {
  for (const Outcome outcome :
       {Outcome::kErrored, Outcome::kSevered, Outcome::kOverdue, Outcome::kRecalled}) {
    Play play(Effect::kUnsafe);
    play.Arrive();
    play.End(0, outcome);
    CHECK(play.Of<core::Attempt>().size() == 1);
    REQUIRE(play.Of<core::Answer>().size() == 1);
    CHECK(play.Of<core::Answer>()[0].verdict == core::Verdict::kFailed);
  }
}

TEST_CASE("a deadline that passes with an attempt out ends both, once") {
  Play play(Effect::kUnsafe);
  play.Arrive();
  play.now += 605 * kMs;
  play.Do(core::Expired{1});
  CHECK(play.Of<core::Cancel>().size() == 1);
  REQUIRE(play.Of<core::Answer>().size() == 1);
  CHECK(play.Of<core::Answer>()[0].verdict == core::Verdict::kTimedOut);
  play.End(0, Outcome::kCompleted);
  play.Do(core::Expired{1});
  play.Do(core::Departed{1});
  CHECK(play.Of<core::Answer>().size() == 1);
  CHECK(play.engine.open() == 0);
}

TEST_CASE("a client that leaves gets no answer, and its attempt is called back") {
  Play play(Effect::kSafe);
  play.Arrive();
  play.Do(core::Departed{1});
  CHECK(play.Of<core::Cancel>().size() == 1);
  CHECK(play.engine.open() == 1);  // until the attempt has ended
  play.End(0, Outcome::kRecalled);
  CHECK(play.Of<core::Answer>().empty());
  CHECK(play.engine.open() == 0);
}

TEST_CASE("a target that a list calls draining, or leaves out, is withdrawn from") {
  Play play(Effect::kSafe);
  ListEntry entry;
  entry.target = "t";
  entry.phase = Phase::kQuiescing;
  play.Do(core::Listed{{Mode::kDelta, {entry}}});
  CHECK(play.Of<core::Withdraw>().size() == 1);
  entry.phase = Phase::kLive;
  play.Do(core::Listed{{Mode::kDelta, {entry}}});
  play.Do(core::Listed{{Mode::kFull, {}}});
  CHECK(play.Of<core::Withdraw>().size() == 2);
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

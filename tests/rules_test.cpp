// The seven rules, each kept from local knowledge. Each test fails when the guard it names is taken out.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

// ---- 1: no request is lost ----

TEST(NoRequestLost, HeldForAShardWithoutANodeIsRefusedBeforeItsDeadline) {
  Rig rig;
  rig.Fleet(1);
  rig.Play(Rig::Request("a", 0, 5));
  rig.Pass(2 * kSec - 10 * kMs);
  EXPECT_EQ(rig.Sends("a"), 0);
  EXPECT_EQ(rig.Finals("a"), 1);
}

TEST(NoRequestLost, WithoutAnyListANewObjectIsRefused) {
  Rig rig;
  rig.Play(Rig::Request("a", 1, -1));
  rig.Pass(2 * kSec - 10 * kMs);
  EXPECT_EQ(rig.Refusals("a"), 1);
}

TEST(NoRequestLost, ATryWithNoTimeLeftIsAnsweredAtOnce) {
  Rig rig;
  rig.Fleet(1);
  Arrival a = Rig::Request("a");
  a.ttl = 0;
  rig.Play(a);
  EXPECT_EQ(rig.Refusals("a"), 1);
  EXPECT_EQ(rig.Sends("a"), 0);
}

// Inverness big-1: a hurried client's attempt was refused by its node 10 ms before the deadline, and was
// held.
TEST(NoRequestLost, NoFurtherAttemptSoNearTheDeadlineThatNoTimerSeesIt) {
  Rig rig;
  rig.Fleet(1);
  Arrival a = Rig::Request("a");
  a.ttl = 100 * kMs;
  rig.Play(a);
  rig.Pass(80 * kMs);
  rig.End("a", Outcome::kRefusedConn, 80 * kMs);
  EXPECT_EQ(rig.Finals("a"), 1);
}

TEST(NoRequestLost, AHungNodeLeavesOneFinalAnswerEach) {
  Rig rig;
  rig.Fleet(1);
  for (int i = 0; i < 60; ++i) rig.Play(Rig::Request("r" + std::to_string(i)));
  rig.Pass(2 * kSec - 20 * kMs);
  rig.Pass(20 * kMs);
  for (int i = 0; i < 60; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (rig.Finals(id) == 0) rig.End(id, Outcome::kOverdue, 2 * kSec);
    EXPECT_EQ(rig.Finals(id), 1) << id;
  }
}

TEST(NoRequestLost, NothingFollowsTheEnd) {
  Rig rig;
  rig.Fleet(1);
  rig.Play(Rig::Request("a"));
  rig.Play(Abandoned{"a"});
  rig.End("a", Outcome::kErrored);
  rig.End("a", Outcome::kErrored);  // stale by now
  rig.Pass(3 * kSec);
  EXPECT_EQ(rig.Sends("a"), 1);
  EXPECT_EQ(rig.Finals("a"), 0);
}

// ---- 2: no effect happens twice ----

TEST(NoEffectTwice, UnsafeThatMayHaveRunFailsAndIsNotSentAgain) {
  for (Outcome o : {Outcome::kErrored, Outcome::kSevered, Outcome::kOverdue, Outcome::kRecalled}) {
    Rig rig;
    rig.Fleet(1);
    rig.Play(Rig::Request("a", 1));
    rig.End("a", o);
    rig.Pass(kSec);
    EXPECT_EQ(rig.Sends("a"), 1);
    EXPECT_EQ(rig.Refusals("a"), 0);
    EXPECT_EQ(rig.Failures("a"), 1);
  }
}

TEST(NoEffectTwice, UnsafeThatNeverRanIsSentAgain) {
  for (Outcome o : {Outcome::kSaturated, Outcome::kRefusedConn}) {
    Settings s = Basic();
    s.classes[1].aim = kSec;  // a full node is taken to need the tightest aim to drain
    Rig rig(s);
    rig.Fleet(1);
    rig.Play(Rig::Request("a", 1));
    rig.End("a", o, 2 * kMs);
    rig.Pass(500 * kMs);
    EXPECT_EQ(rig.Sends("a"), 2);
    EXPECT_EQ(rig.Finals("a"), 0);
  }
}

TEST(NoEffectTwice, SafeIsSentAgainAfterAnError) {
  Rig rig;
  rig.Fleet(1);
  rig.Play(Rig::Request("a", 0));
  rig.End("a", Outcome::kErrored, 5 * kMs);
  rig.Pass(100 * kMs);
  EXPECT_EQ(rig.Sends("a"), 2);
}

TEST(NoEffectTwice, KeyedOfACellThatMayHaveRunIsNeverRefused) {
  Rig rig;
  rig.Fleet(1);
  rig.Play(Rig::Request("a", 2));
  rig.End("a", Outcome::kErrored, 5 * kMs);
  rig.Pass(600 * kMs);  // past the span in which repeats are dropped
  for (int trial = 1; trial < 4 && rig.Finals("a") == 0; ++trial) rig.End("a", Outcome::kErrored, kMs, trial);
  EXPECT_EQ(rig.Refusals("a"), 0);
  EXPECT_EQ(rig.Failures("a"), 1);
}

TEST(NoEffectTwice, KeyedIsSentAgainOnlyWhileItIsRememberedThere) {
  for (bool in_time : {true, false}) {
    Settings s = Basic();
    s.classes[2].memory_span = 150 * kMs;  // less 50 ms, in which a repeat is on its way
    Rig rig(s);
    rig.Fleet(1);
    rig.Play(Rig::Request("a", 2));
    const Time first = rig.now();
    rig.Pass(in_time ? 60 * kMs : 120 * kMs);
    rig.End("a", Outcome::kErrored, 50 * kMs);
    EXPECT_EQ(rig.Sends("a"), in_time ? 2 : 1);
    EXPECT_EQ(rig.Of<Send>().back().begin_by, in_time ? first + 100 * kMs : 0);
    EXPECT_EQ(rig.Failures("a"), in_time ? 0 : 1);
  }
}

TEST(NoEffectTwice, KeyedThatIsHeldPastTheSpanIsNotSentAgain) {
  Settings s = Basic();
  s.classes[2].memory_span = 100 * kMs;
  Rig rig(s);
  rig.Fleet(1);
  rig.Play(Rig::Request("a", 2));
  rig.List(Mode::kDelta, {Rig::Entry("t0", 0, Phase::kQuiescing)});
  rig.End("a", Outcome::kErrored, 5 * kMs);  // held: no node for its cell
  rig.Pass(120 * kMs);
  rig.List(Mode::kDelta, {Rig::Entry("t9", 0)});
  rig.Pass(kSec);
  EXPECT_EQ(rig.Sends("a"), 1);
  EXPECT_EQ(rig.Failures("a"), 1);
}

TEST(NoEffectTwice, KeyedOfAZoneGoesOnlyToThatZone) {
  for (int zone : {0, 1}) {
    Settings s = Basic();
    s.classes[2].group = Group::kZone;
    Rig rig(s);
    rig.Fleet(1);
    rig.Play(Rig::Request("a", 2));
    ListEntry next = Rig::Entry("t9", 0);
    next.zone = zone;
    rig.List(Mode::kDelta, {Rig::Entry("t0", 0, Phase::kDead), next});
    rig.End("a", Outcome::kSevered, 5 * kMs);
    rig.Pass(40 * kMs);
    EXPECT_EQ(rig.Sends("a"), zone == 0 ? 2 : 1);
  }
}

TEST(NoEffectTwice, KeyedWithGroupAllMayBeRefusedAfterItMayHaveRun) {
  Settings s = Basic();
  s.classes[2].group = Group::kAll;
  s.try_limit = 1;
  Rig rig(s);
  rig.Fleet(1);
  rig.Play(Rig::Request("a", 2));
  rig.End("a", Outcome::kErrored, 5 * kMs);
  EXPECT_EQ(rig.Refusals("a"), 1);
}

// ---- 3: drains are kept ----

TEST(Drain, NothingNewOnceTold) {
  for (Phase phase : {Phase::kQuiescing, Phase::kDead}) {
    Rig rig;
    rig.Fleet(2);
    rig.List(Mode::kDelta, {Rig::Entry("t0", 0, phase)});
    rig.Pass(2 * kSec);
    rig.Play(Rig::Request("a", 0, 0));
    rig.Pass(kSec);
    EXPECT_EQ(rig.Sends("a"), 0);
  }
}

TEST(Drain, AbsentFromAWholeListIsGone) {
  Rig rig;
  rig.Fleet(2);
  rig.List(Mode::kFull, {Rig::Entry("t1", 1)});
  rig.Play(Rig::Request("a", 0, 0));
  rig.Pass(kSec);
  EXPECT_EQ(rig.Sends("a"), 0);
}

TEST(Drain, TheReplacementOfAShardTakesOver) {
  Rig rig;
  rig.Fleet(2);
  rig.List(Mode::kDelta, {Rig::Entry("t0", 0, Phase::kQuiescing)});
  rig.List(Mode::kDelta, {Rig::Entry("t9", 0)});
  rig.Play(Rig::Request("a", 0, 0));
  ASSERT_EQ(rig.Sends("a"), 1);
  EXPECT_EQ(rig.Of<Send>().back().target, "t9");
}

TEST(Drain, WhereTheListMustBeAskedForItIsFollowedFromTheStartAndAfterFailures) {
  Settings s = Basic();
  s.discovery = Discovery::kSubscribe;
  Rig rig(s);
  EXPECT_EQ(rig.Of<Subscribe>().size(), 1u);
  rig.List(Mode::kFailed, {});
  rig.Pass(3 * kSec);
  EXPECT_EQ(rig.Of<Subscribe>().size(), 2u);
}

TEST(Drain, AnAskThatIsNeverAnsweredIsMadeAgainAndAnAnsweredOneIsNot) {
  for (bool answered : {false, true}) {
    Settings s = Basic();
    s.discovery = Discovery::kSubscribe;
    Rig rig(s);
    rig.List(Mode::kCached, {Rig::Entry("t0", 0)});
    if (answered) rig.List(Mode::kDelta, {});
    rig.Pass(8 * kSec);
    EXPECT_EQ(rig.Of<Subscribe>().size(), answered ? 1u : 2u);
  }
}

TEST(Drain, WhereItComesByItselfNothingIsAskedFor) {
  Rig rig;
  rig.List(Mode::kFailed, {});
  rig.Pass(3 * kSec);
  EXPECT_TRUE(rig.Of<Subscribe>().empty());
}

// ---- 4: a cold node is not pushed over ----

double UnitsSentTo(const Rig& rig, const std::string& target) {
  double units = 0;
  for (const Send& s : rig.Of<Send>()) units += s.target == target ? 2 : 0;
  return units;
}

// i6a82cc: over hundreds of instances the stated units are a fraction of a request.
TEST(Cold, WhatANodeServedBeforeItsStartMayBeSentInPartToTheColdOne) {
  for (const bool served : {false, true}) {
    Settings s = Basic();
    s.instances = 200;
    Rig rig(s);
    rig.Fleet(1);
    int n = 0;
    auto second = [&] {  // five requests of two units
      for (int i = 0; i < 5; ++i) {
        rig.Clear();
        rig.Play(Rig::Request("r" + std::to_string(n), 0));
        if (rig.Sends("r" + std::to_string(n)) > 0) rig.End("r" + std::to_string(n), Outcome::kCompleted);
        ++n;
        rig.Pass(200 * kMs);
      }
    };
    for (int i = 0; i < 20 && served; ++i) second();
    rig.List(Mode::kDelta, {Rig::Entry("t0", 0, Phase::kLive, rig.now())});
    double sent = 0;
    for (int i = 0; i < 4; ++i) {
      for (int k = 0; k < 5; ++k) {
        rig.Clear();
        const std::string id = "c" + std::to_string(n++);
        rig.Play(Rig::Request(id, 0));
        rig.Pass(100 * kMs);
        if (rig.Sends(id) > 0) rig.End(id, Outcome::kCompleted), sent += 2;
        rig.Pass(100 * kMs);
      }
    }
    // A warm node that serves ten units a second to this host alone, a fifth of its power at the start, four
    // times that within a second: no more than it served in these four seconds and a bucket.
    EXPECT_LE(sent, served ? 4 * 10 * 1.3 + s.largest_units : 0);
    if (served) {
      EXPECT_GE(sent, 10);
    }
  }
}

// ie1b203: leads pass from host to host, so what the other nodes served this host counts in part.
TEST(Cold, AHostThatAColdNodeNeverServedSendsItALittle) {
  for (const bool served : {false, true}) {
    Settings s = Basic();
    s.instances = 200;
    Rig rig(s);
    rig.Fleet(2);
    for (int i = 0; i < 100 && served; ++i) {
      const std::string id = "r" + std::to_string(i);
      rig.Play(Rig::Request(id, 0, 1));
      rig.End(id, Outcome::kCompleted, 20 * kMs, 0, "t1");
      rig.Pass(200 * kMs);
    }
    rig.List(Mode::kDelta, {Rig::Entry("t0", 0, Phase::kLive, rig.now())});
    double sent = 0;
    for (int i = 0; i < 10; ++i) {
      const std::string id = "c" + std::to_string(i);
      rig.Play(Rig::Request(id, 0));
      rig.Pass(400 * kMs);
      if (rig.Sends(id) > 0) rig.End(id, Outcome::kCompleted), sent += 2;
    }
    // Ten units a second at one of two nodes: half of half of that, with a bucket.
    EXPECT_LE(sent, served ? 4 * 2.5 * 1.3 + s.largest_units : 0);
    if (served) {
      EXPECT_GE(sent, 4);
    }
  }
}

TEST(Cold, TheStatedUnitsAreSharedByTheInstances) {
  Settings s = Basic();
  s.instances = 2;
  Rig rig(s);
  rig.List(Mode::kFull, {Rig::Entry("t0", 0, Phase::kLive, rig.now())});
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    rig.Play(Rig::Request(id));
    rig.End(id, Outcome::kErrored);  // leaves the bound free and proves no capacity
  }
  EXPECT_GE(UnitsSentTo(rig, "t0"), 6);
  EXPECT_LE(UnitsSentTo(rig, "t0"), 10);
}

TEST(Cold, AWarmNodeIsNotHeldBack) {
  Settings s = Basic();
  s.instances = 2;
  Rig rig(s);
  rig.List(Mode::kFull, {Rig::Entry("t0", 0, Phase::kLive, rig.now() - 11 * kSec)});
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    rig.Play(Rig::Request(id));
    rig.End(id, Outcome::kCompleted);
  }
  EXPECT_EQ(UnitsSentTo(rig, "t0"), 80);
}

// ---- 5: limits are kept ----

double UnitsOverLife(Rig& rig, int mounts, Time span) {
  double units = 0;
  int n = 0;
  for (Time t = 0; t < span; t += 20 * kMs) {
    rig.Clear();
    for (int i = 0; i < 4; ++i) {
      Arrival a = Rig::Request("l" + std::to_string(n++), 0);
      a.plan = 1;
      a.mounts = mounts;
      rig.Play(a);
    }
    rig.Pass(20 * kMs);
    const std::vector<Send> sends = rig.Of<Send>();
    units += 2.0 * double(sends.size());
    for (const Send& s : sends) rig.End(s.id, Outcome::kCompleted, 15 * kMs);
  }
  return units;
}

TEST(Limit, ThisHostsEvenPartHoldsInRate) {
  Rig rig;
  rig.Fleet(1);
  const double units = UnitsOverLife(rig, 2, 4 * kSec);
  EXPECT_LE(units, 20 / 2 * 4 + 2);
  EXPECT_GE(units, 20 / 2 * 4 * 0.8);
}

TEST(Limit, ARestartedInstanceDoesNotSpendTheStoreAgain) {
  double units = 0;
  for (int life = 0; life < 5; ++life) {
    Rig rig;
    rig.Fleet(1);
    units += UnitsOverLife(rig, 1, 200 * kMs);
  }
  EXPECT_LE(units, 20 * 1.0 + 2);
}

TEST(Limit, AnIdleStoreHoldsNoMoreThanItsPartOfTheBurst) {
  Rig rig;
  rig.Fleet(1);
  rig.Pass(60 * kSec);
  EXPECT_LE(UnitsOverLife(rig, 2, 100 * kMs), 24 / 2 + 20 / 2 * 0.1 + 2);
}

// ---- 6: order by key ----

Settings Serial() {
  Settings s = Basic();
  s.classes[2].serial_by_key = true;
  s.rules.key_rest = 200 * kMs;
  return s;
}

Arrival Keyed(const std::string& id) {
  Arrival a = Rig::Request(id, 2);
  a.key = "same";
  return a;
}

TEST(Order, OneKeyRunsOneAtATimeInTheOrderTaken) {
  Rig rig(Serial());
  rig.Fleet(1);
  for (const char* id : {"a", "b", "c"}) rig.Play(Keyed(id));
  EXPECT_EQ(rig.Of<Send>().size(), 1u);
  rig.End("a", Outcome::kCompleted);
  ASSERT_EQ(rig.Of<Send>().size(), 2u);
  EXPECT_EQ(rig.Of<Send>().back().id, "b");
}

TEST(Order, TheKeyRestsAfterAnAttemptThatMayStillRun) {
  for (Outcome o : {Outcome::kOverdue, Outcome::kSevered, Outcome::kRecalled}) {
    Rig rig(Serial());
    rig.Fleet(1);
    rig.Play(Keyed("a"));
    rig.Play(Keyed("b"));
    rig.End("a", o, 20 * kMs, 0, "t0", true);
    rig.Pass(180 * kMs);
    EXPECT_EQ(rig.Sends("b"), 0);
    rig.Pass(60 * kMs);
    EXPECT_EQ(rig.Sends("b"), 1);
  }
}

TEST(Order, AnEndedRequestHoldsTheKeyWhileItsAttemptIsOut) {
  Rig rig(Serial());
  rig.Fleet(1);
  rig.Play(Keyed("a"));
  rig.Play(Abandoned{"a"});
  rig.Play(Keyed("b"));
  rig.Pass(100 * kMs);
  EXPECT_EQ(rig.Sends("b"), 0);
  rig.End("a", Outcome::kCompleted);
  EXPECT_EQ(rig.Sends("b"), 1);
}

TEST(Order, OtherKeysAreNotHeldUp) {
  Rig rig(Serial());
  rig.Fleet(1);
  rig.Play(Keyed("a"));
  rig.Play(Rig::Request("b", 2));
  EXPECT_EQ(rig.Sends("b"), 1);
}

// ---- 7: ration of further attempts ----

TEST(Ration, FurtherAttemptsStayWithinTheSlidingWindow) {
  Settings s = Basic();
  s.rules.budget_span = 5 * kSec;
  s.rules.further_ratio = 0.25;
  s.rules.extra_floor = 3;
  Rig rig(s);
  rig.Fleet(1);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    rig.Play(Rig::Request(id));
    for (int trial = 0; trial < 4 && rig.Sends(id) > trial; ++trial)
      rig.End(id, Outcome::kErrored, kMs, trial);
    const int further = int(rig.Of<Send>().size()) - (i + 1);
    EXPECT_LE(further, 3 + 0.25 * (i + 1)) << i;
  }
  EXPECT_GE(rig.Of<Send>().size(), 50u);  // and it is used
  rig.Clear();
  rig.Pass(6 * kSec);  // the requests taken have left the window
  rig.Play(Rig::Request("x"));
  for (int trial = 0; trial < 4 && rig.Sends("x") > trial; ++trial)
    rig.End("x", Outcome::kErrored, kMs, trial);
  rig.Play(Rig::Request("y"));
  for (int trial = 0; trial < 4 && rig.Sends("y") > trial; ++trial)
    rig.End("y", Outcome::kErrored, kMs, trial);
  EXPECT_LE(int(rig.Of<Send>().size()) - 2, 3);
}

TEST(Ration, WithoutTheSettingsThereIsNoSuchRule) {
  Rig rig;
  rig.Fleet(1);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "r" + std::to_string(i);
    rig.Play(Rig::Request(id));
    for (int trial = 0; trial < 4 && rig.Sends(id) > trial; ++trial)
      rig.End(id, Outcome::kErrored, kMs, trial);
  }
  EXPECT_EQ(rig.Of<Send>().size(), 40u);
}

}  // namespace
}  // namespace walnutspur::test

// The ordinary path: buckets, control loop, order under the bound, placement.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

TEST(Path, AnUnthrottledRequestLeavesAtOnce) {
  SchedulerFixture rig;
  rig.Fleet(1);
  rig.Play(SchedulerFixture::Request("a"));
  ASSERT_EQ(rig.Sends("a"), 1);
  EXPECT_EQ(rig.Of<SendAttempt>().front().timeout, 0);
}

TEST(Path, StaleIdsAndUnknownTargetsArePassedOver) {
  SchedulerFixture rig;
  rig.Fleet(1);
  rig.Clear();
  rig.End("nobody", Outcome::kCompleted);
  rig.Play(SchedulerFixture::Request("a"));
  rig.End("a", Outcome::kCompleted, kMs, 0, "elsewhere");
  rig.End("a", Outcome::kErrored, kMs, 3);
  rig.Play(ClientDisconnected{"nobody"});
  rig.Play(ResponseStarted{"nobody"});
  EXPECT_EQ(rig.Of<SendAttempt>().size(), 1u);
  EXPECT_EQ(rig.Finals("a"), 0);
}

TEST(Path, EqualEventsGiveEqualActions) {
  std::vector<std::string> targets[2];
  for (auto& list : targets) {
    SchedulerFixture rig;
    rig.Fleet(8);
    for (int i = 0; i < 30; ++i) rig.Play(SchedulerFixture::Request("r" + std::to_string(i), 1, -1));
    for (const SendAttempt& s : rig.Of<SendAttempt>()) list.push_back(s.id + "@" + s.target);
  }
  EXPECT_EQ(targets[0], targets[1]);
}

TEST(Depth, UnitsOutStayUnderABoundThatFallsWithLatencyAndRises) {
  SchedulerFixture rig;
  rig.Fleet(1);
  int n = 0;
  auto flood = [&] {
    int out = 0;
    rig.Clear();
    for (int i = 0; i < 60; ++i) rig.Play(SchedulerFixture::Request("r" + std::to_string(n++)));
    out = int(rig.Of<SendAttempt>().size());
    return out;
  };
  auto answer = [&](Time delay) {
    for (int round = 0; round < 8; ++round) {
      const std::vector<SendAttempt> sends = rig.Of<SendAttempt>();
      rig.Clear();
      for (const SendAttempt& s : sends) rig.End(s.id, Outcome::kCompleted, delay);
      for (int i = 0; i < 10; ++i) rig.Play(SchedulerFixture::Request("r" + std::to_string(n++)));
      rig.Pass(200 * kMs);
    }
    for (int round = 0; round < 40; ++round) {  // empty what is still held
      const std::vector<SendAttempt> sends = rig.Of<SendAttempt>();
      rig.Clear();
      for (const SendAttempt& s : sends) rig.End(s.id, Outcome::kCompleted, delay);
      rig.Pass(40 * kMs);
    }
  };
  const int first = flood();
  EXPECT_LT(first, 60);
  answer(20 * kMs);
  const int fast = flood();
  answer(900 * kMs);
  const int slow = flood();
  EXPECT_GT(fast, first);
  EXPECT_LT(slow, fast);
}

// Holds the node with work of volume `hog`, then lets `other` ask: the reserve of the other goes first.
TEST(Order, WorkInsideTheReserveLeavesBeforeWorkBeyondIt) {
  Settings s = Basic();
  s.plans[1] = Plan{10, 0, 0, 0, 1, 1};  // nothing reserved
  SchedulerFixture rig(s);
  rig.Fleet(1);
  for (int i = 0; i < 40; ++i) {
    RequestArrived a = SchedulerFixture::Request("h" + std::to_string(i));
    a.volume = "hog";
    a.plan = 1;
    rig.Play(a);
  }
  RequestArrived a = SchedulerFixture::Request("other");
  a.volume = "quiet";
  rig.Play(a);
  ASSERT_EQ(rig.Sends("other"), 0);
  const std::string first = rig.Of<SendAttempt>().front().id;
  rig.Clear();
  rig.End(first, Outcome::kCompleted);
  ASSERT_FALSE(rig.Of<SendAttempt>().empty());
  EXPECT_EQ(rig.Of<SendAttempt>().front().id, "other");
}

TEST(Order, BeyondTheReserveVolumesTakeTurnsByWeight) {
  Settings s = Basic();
  s.plans[0].reserved_rate = 0;
  s.plans[1] = s.plans[0];
  s.plans[1].weight = 2;
  SchedulerFixture rig(s);
  rig.Fleet(1);
  for (int i = 0; i < 60; ++i) {
    RequestArrived a = SchedulerFixture::Request("a" + std::to_string(i));
    a.volume = "a";
    rig.Play(a);
    RequestArrived b = SchedulerFixture::Request("b" + std::to_string(i));
    b.volume = "b";
    b.plan = 1;
    rig.Play(b);
  }
  for (int i = 0; i < 24; ++i) rig.End(rig.Of<SendAttempt>()[i].id, Outcome::kCompleted, 10 * kMs);
  int a = 0, b = 0;
  const std::vector<SendAttempt> sends = rig.Of<SendAttempt>();
  for (std::size_t i = 4; i < sends.size(); ++i) (sends[i].id[0] == 'a' ? a : b)++;
  EXPECT_GT(b, a * 3 / 2);
  EXPECT_GT(a, 5);
}

TEST(Placement, ANewObjectGoesRoundANodeThatAnswersNothing) {
  SchedulerFixture rig;
  rig.Fleet(2);
  for (int i = 0; i < 4; ++i) rig.Play(SchedulerFixture::Request("s" + std::to_string(i), 0, 0));
  rig.Pass(600 * kMs);
  rig.Clear();
  for (int i = 0; i < 4; ++i) rig.Play(SchedulerFixture::Request("n" + std::to_string(i), 1, -1));
  ASSERT_GE(rig.Of<SendAttempt>().size(), 2u);
  for (const SendAttempt& s : rig.Of<SendAttempt>()) EXPECT_EQ(s.target, "t1");
}

// Failure: new objects went back to a node that refused connections as soon as its rest was over (i77bdbd).
TEST(Placement, ANewObjectGoesRoundANodeThatRefusesConnections) {
  SchedulerFixture rig;
  rig.Fleet(2);
  rig.Play(SchedulerFixture::Request("a", 0, 0));
  rig.End("a", Outcome::kConnectFailed, kMs);
  rig.Play(ClientDisconnected{"a"});
  rig.Pass(400 * kMs);  // the rest is over
  for (int i = 0; i < 3; ++i) {
    rig.Clear();
    const std::string id = "n" + std::to_string(i);
    rig.Play(SchedulerFixture::Request(id, 1, -1));
    ASSERT_EQ(rig.Of<SendAttempt>().size(), 1u);
    EXPECT_EQ(rig.Of<SendAttempt>().back().target, "t1");
    rig.End(id, Outcome::kCompleted, 20 * kMs, 0, "t1");
  }
}

// The control loop: a volume above its rate is throttled when another misses its aim at the node.
TEST(ControlLoop, TheVolumeAboveItsRateIsTightenedForAVictimAndLoosenedAfter) {
  auto sent_of_hog = [](bool victim_misses) {
    SchedulerFixture rig;
    rig.Fleet(1);
    int n = 0;
    int hog = 0;
    for (int step = 0; step < 300; ++step) {
      for (int i = 0; i < 2; ++i) {
        RequestArrived a = SchedulerFixture::Request("h" + std::to_string(n++));
        a.volume = "hog";
        rig.Play(a);
      }
      if (step % 10 == 0) {
        RequestArrived a = SchedulerFixture::Request("v" + std::to_string(n++));
        a.volume = "victim";
        rig.Play(a);
      }
      rig.Pass(20 * kMs);
      const std::vector<SendAttempt> sends = rig.Of<SendAttempt>();
      rig.Clear();
      for (const SendAttempt& s : sends) {
        hog += s.id[0] == 'h';
        if (s.id[0] == 'h' || !victim_misses) {
          rig.End(s.id, Outcome::kCompleted, 20 * kMs);
        }  // else it stays out and ages
      }
    }
    return hog;
  };
  const int free = sent_of_hog(false);
  const int throttled = sent_of_hog(true);
  EXPECT_GT(free, 550);
  EXPECT_LT(throttled, free * 3 / 4);
}

// Failure: nodes that swallow single attempts looked stuck until the client's deadline (i5a2999).
TEST(Lost, AnAttemptThatOthersOvertookHoldsNothingUp) {
  SchedulerFixture rig;
  rig.Fleet(1);
  rig.Play(SchedulerFixture::Request("swallowed"));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    rig.Play(SchedulerFixture::Request(id));
    rig.Pass(20 * kMs);
    rig.End(id, Outcome::kCompleted, 20 * kMs);
  }
  rig.Pass(100 * kMs);
  rig.Play(SchedulerFixture::Request("next"));
  EXPECT_EQ(rig.Sends("next"), 1);
}

// Failure: reads on connections that fell silent ended by time-out at twice their aim, and were not sent
// again.
TEST(Lost, AnAttemptThatOthersOvertookIsSentAgainWhileThatCanMeetTheAim) {
  for (const int cls : {0, 1}) {
    Settings s = Basic();
    s.can_cancel = true;
    SchedulerFixture rig(s);
    rig.Fleet(1);
    rig.Play(SchedulerFixture::Request("swallowed", cls));
    Time called_back = 0;
    for (int i = 0; i < 15; ++i) {
      const std::string id = "r" + std::to_string(i);
      rig.Play(SchedulerFixture::Request(id));
      rig.Pass(20 * kMs);
      rig.End(id, Outcome::kCompleted, 20 * kMs);
      if (called_back == 0 && !rig.Of<CancelAttempt>().empty()) called_back = rig.now();
    }
    const auto back = rig.Of<CancelAttempt>();
    if (cls == 1) {  // it may have run, and must not run twice
      EXPECT_TRUE(back.empty());
      continue;
    }
    ASSERT_EQ(back.size(), 1u);  // once
    EXPECT_EQ(back[0].id, "swallowed");
    EXPECT_GT(called_back, 1'000 * kSec + 60 * kMs);  // work a little uneven is left alone
    rig.End("swallowed", Outcome::kCancelled, 100 * kMs);
    EXPECT_EQ(rig.Sends("swallowed"), 2);
    EXPECT_EQ(rig.Finals("swallowed"), 0);
  }
}

TEST(Lost, ANodeThatLooksStuckGetsATrialButNoPile) {
  SchedulerFixture rig;
  rig.Fleet(1);
  rig.Play(SchedulerFixture::Request("stuck"));
  rig.Pass(500 * kMs);
  rig.Clear();
  for (int i = 0; i < 70; ++i) {
    rig.Play(SchedulerFixture::Request("r" + std::to_string(i)));
    rig.Pass(20 * kMs);
  }
  const int sends = int(rig.Of<SendAttempt>().size());
  EXPECT_GE(sends, 2);
  EXPECT_LE(sends, 4);
}

// Failure: late work went to every node where nothing of ours was out, however busy others kept it.
// What each of hundreds of hosts may always do must not keep a slow node jammed.
TEST(Lost, TrialsOfHundredsOfHostsAreNoMoreThanOneRequestAtATime) {
  for (const int hosts : {3, 200}) {
    Settings s = Basic();
    s.instances = hosts;
    SchedulerFixture rig(s);
    rig.Fleet(1);
    for (int i = 0; i < 6; ++i) rig.Play(SchedulerFixture::Request("stuck" + std::to_string(i), 1));
    rig.Pass(2 * kSec);  // far over its aim, no answer
    rig.Clear();
    for (int i = 0; i < 50; ++i) {
      rig.Play(SchedulerFixture::Request("t" + std::to_string(i), 1));
      rig.Pass(100 * kMs);
    }
    EXPECT_EQ(rig.Of<SendAttempt>().empty(), hosts == 200);
    for (int i = 50; i < 100; ++i) {
      rig.Play(SchedulerFixture::Request("t" + std::to_string(i), 1));
      rig.Pass(100 * kMs);
    }
    EXPECT_FALSE(rig.Of<SendAttempt>().empty());  // but a trial comes in the end
  }
}

TEST(Late, WorkThatWillBeLateDoesNotGoToANodeThatMakesWait) {
  SchedulerFixture rig;
  rig.Fleet(1);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    rig.Play(SchedulerFixture::Request(id));
    rig.End(id, Outcome::kCompleted, i < 10 ? 20 * kMs : 300 * kMs);
  }
  RequestArrived late = SchedulerFixture::Request("late");
  late.ttl = 1500 * kMs;  // the client's second try: its aim has gone
  rig.Play(late);
  rig.Pass(40 * kMs);
  EXPECT_EQ(rig.Sends("late"), 0);
  EXPECT_EQ(rig.Refusals("late"), 1);
}

// i174d19, i6a82cc: one request out from each of hundreds of hosts kept every node seconds behind.
TEST(Depth, FarBehindItsNodeAHostSendsLessThanOneRequestAtATime) {
  Settings settings = Basic();
  settings.plans[0].reserved_rate = 0;
  settings.classes[0].latency_objective = settings.classes[0].deadline = 20 * kSec;  // nothing is late here
  settings.classes[1].latency_objective = settings.classes[2].latency_objective = 400 * kMs;
  int answered_soon[2];
  for (const bool slow : {false, true}) {
    SchedulerFixture rig(settings);
    rig.Fleet(1);
    int n = 0, answered = 0;
    for (int i = 0; i < 40; ++i) {
      RequestArrived a = SchedulerFixture::Request("r" + std::to_string(n++));
      a.ttl = 20 * kSec;
      rig.Play(a);
      const std::vector<SendAttempt> sends = rig.Of<SendAttempt>();
      rig.Clear();
      for (const SendAttempt& s : sends)
        rig.End(s.id, Outcome::kCompleted, slow ? kSec : 20 * kMs), ++answered;
      rig.Pass(200 * kMs);
    }
    answered_soon[slow] = answered;
  }
  EXPECT_GE(answered_soon[false], 39);
  EXPECT_LT(answered_soon[true], 20);
  EXPECT_GT(answered_soon[true], 2);  // it never stops asking
}

// A wait over what is allowed must go on making the host send less, not settle.
TEST(Depth, APacedHostGoesOnSlowingDownWhileTheWaitIsOverWhatIsAllowed) {
  Settings settings = Basic();
  settings.plans[0].reserved_rate = 0;
  settings.instances = 200;
  settings.classes[0].latency_objective = settings.classes[0].deadline = 20 * kSec;  // nothing is late here
  settings.classes[1].latency_objective = settings.classes[2].latency_objective = 400 * kMs;
  SchedulerFixture rig(settings);
  rig.Fleet(1);
  int n = 0;
  const auto answers = [&](Time delay, int steps) {
    int answered = 0;
    for (int i = 0; i < steps; ++i) {
      RequestArrived a = SchedulerFixture::Request("r" + std::to_string(n++));
      a.ttl = 20 * kSec;
      rig.Play(a);
      const std::vector<SendAttempt> sends = rig.Of<SendAttempt>();
      rig.Clear();
      for (const SendAttempt& s : sends) rig.End(s.id, Outcome::kCompleted, delay), ++answered;
      rig.Pass(200 * kMs);
    }
    return answered;
  };
  answers(20 * kMs, 20);   // its least work: 20 ms
  answers(400 * kMs, 20);  // from now on it is behind

  EXPECT_LE(answers(400 * kMs, 100), 12);
}

TEST(Late, AnIdleNodeServesItWhileItWasHeardOfLately) {
  SchedulerFixture rig;
  rig.Fleet(1);
  RequestArrived late = SchedulerFixture::Request("late", 1);
  late.ttl = 1500 * kMs;
  rig.Play(late);
  EXPECT_EQ(rig.Sends("late"), 0);  // not heard of at all: hundreds of hosts would do the same
  rig.Play(SchedulerFixture::Request("b"));
  rig.End("b", Outcome::kCompleted);
  EXPECT_EQ(rig.Sends("late"), 1);
}

TEST(Hurry, AClientThatWaitsShorterThanTheAimIsNotLateButItsRepeatIs) {
  SchedulerFixture rig;
  rig.Fleet(1);
  RequestArrived hurried = SchedulerFixture::Request("first");
  hurried.ttl = 150 * kMs;
  rig.Play(hurried);
  EXPECT_EQ(rig.Sends("first"), 1);
  rig.Play(ClientDisconnected{"first"});
  hurried.id = "again";
  hurried.is_client_retry = true;
  rig.Play(hurried);
  EXPECT_EQ(rig.Sends("again"), 0);
}

// Plays a request of a cell and how it ends there.
void Ask(SchedulerFixture& rig, const std::string& id, int cell, Outcome outcome = Outcome::kCompleted) {
  rig.Play(SchedulerFixture::Request(id, 0, cell));
  rig.End(id, outcome, 20 * kMs, 0, "t" + std::to_string(cell), true);
}

// zone+vast: boxes that failed at once looked idle and drew new objects; each of a lost zone had to be tried.
TEST(Placement, NewObjectsAvoidBoxesThatFailAndZonesThatAreSilent) {
  for (const Outcome outcome : {Outcome::kErrored, Outcome::kTimedOut}) {
    SchedulerFixture rig;
    std::vector<Endpoint> fleet;
    for (int i = 0; i < 20; ++i)
      fleet.push_back(SchedulerFixture::Entry("t" + std::to_string(i), i)), fleet[i].zone = i / 10;
    rig.List(EndpointUpdateKind::kFull, fleet);
    for (int i = 0; i < 40; ++i) {  // reads of all boxes but the last two of each zone
      const int cell = i % 20;
      if (cell % 10 < 8) Ask(rig, "r" + std::to_string(i), cell, cell < 10 ? Outcome::kCompleted : outcome);
      rig.Pass(20 * kMs);
    }
    int good = 0, tried_bad = 0;
    for (int i = 0; i < 30; ++i) {
      rig.Clear();
      rig.Play(SchedulerFixture::Request("w" + std::to_string(i), 1, -1));
      ASSERT_EQ(rig.Of<SendAttempt>().size(), 1u);
      const std::string target = rig.Of<SendAttempt>()[0].target;
      const int cell = std::stoi(target.substr(1));
      good += cell < 10;
      tried_bad += cell >= 10 && cell < 18;
      rig.End("w" + std::to_string(i), Outcome::kCompleted, 20 * kMs, 0, target);
      rig.Pass(100 * kMs);
    }
    EXPECT_EQ(tried_bad, 0);
    EXPECT_GE(good, outcome == Outcome::kTimedOut ? 30 : 0);  // errors are the boxes' own, silence the zone's
  }
}

// zone+vast: while a zone was silent, hosts paced what they sent to the other one as though it were behind.
TEST(Pool, SilentNodesSayNothingOfTheOthers) {
  for (const bool lost : {false, true}) {
    Settings settings = Basic();
    settings.instances = 100;
    SchedulerFixture rig(settings);
    rig.Fleet(20);
    for (int i = 0; i < 20; ++i) Ask(rig, "r" + std::to_string(i), i % 10), rig.Pass(100 * kMs);
    for (int cell = 10; cell < 20; ++cell) {
      const std::string id = "s" + std::to_string(cell);
      lost ? void(rig.Play(SchedulerFixture::Request(id, 0, cell))) : Ask(rig, id, cell);
    }
    rig.Pass(1200 * kMs);  // none has been heard of for long: what all tell decides
    int at_once = 0;
    for (const char* id : {"a", "b", "c"})
      rig.Play(SchedulerFixture::Request(id, 0, 3)), at_once += rig.Sends(id);
    EXPECT_EQ(at_once, 3);
  }
}

// ib0c9d5: new objects of all hosts went to whichever nodes each had not heard of.
TEST(Late, ANodeNotHeardOfIsTakenToBeAsFarBehindAsTheOthers) {
  for (const bool behind : {false, true}) {
    SchedulerFixture rig;
    rig.Fleet(10);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(i);
      rig.Play(SchedulerFixture::Request(id, 0, i));
      rig.Pass(40 * kMs);
      rig.End(id, Outcome::kCompleted, behind ? 900 * kMs : 40 * kMs, 0, "t" + std::to_string(i));
    }
    RequestArrived a = SchedulerFixture::Request("a", 0, 9);
    a.ttl = 150 * kMs;
    rig.Play(a);
    rig.Play(SchedulerFixture::Request("b", 0, 9));
    rig.Clear();
    a.id = "hurried";
    a.shard = 8;
    rig.Play(a);
    EXPECT_EQ(rig.Sends("hurried"), behind ? 0 : 1);
  }
}

TEST(TimeOuts, AttemptsEndSoonAfterTheirAimWhereCancellingIsAllowed) {
  Settings s = Basic();
  s.classes[2].ordered_by_key = true;
  s.can_cancel = true;
  SchedulerFixture rig(s);
  rig.Fleet(3);
  for (int c = 0; c < 3; ++c) rig.Play(SchedulerFixture::Request("r" + std::to_string(c), c, c));
  const std::vector<SendAttempt> sends = rig.Of<SendAttempt>();
  ASSERT_EQ(sends.size(), 3u);
  EXPECT_EQ(sends[0].timeout, 800 * kMs);  // a client may repeat it, so it has twice its aim
  EXPECT_EQ(sends[1].timeout, 400 * kMs);
  EXPECT_EQ(sends[2].timeout, 0);  // a time-out would make its key rest
}

TEST(Hurry, TheAttemptOfAClientThatHasLeftIsCalledBackWhereThatIsAllowed) {
  for (bool allowed : {false, true}) {
    Settings s = Basic();
    s.can_cancel = allowed;
    SchedulerFixture rig(s);
    rig.Fleet(1);
    rig.Play(SchedulerFixture::Request("a"));
    rig.Play(ClientDisconnected{"a"});
    EXPECT_EQ(rig.Of<CancelAttempt>().size(), allowed ? 1u : 0u);
  }
}

// What ended without an answer may still stand at the node: it keeps its place in the count for a while.
TEST(Unanswered, WhatWasCalledBackOrTimedOutHoldsItsPlaceForAWhile) {
  for (const Outcome end : {Outcome::kCancelled, Outcome::kTimedOut}) {
    Settings s = Basic();
    s.can_cancel = true;
    SchedulerFixture rig(s);
    rig.Fleet(1);
    for (int i = 0; i < 10; ++i) rig.Play(SchedulerFixture::Request("a" + std::to_string(i), 1));
    const std::vector<SendAttempt> first = rig.Of<SendAttempt>();
    ASSERT_GE(first.size(), 1u);
    ASSERT_LT(first.size(), 10u);
    rig.Pass(100 * kMs);
    for (int i = 0; i < 10; ++i) rig.Play(ClientDisconnected{"a" + std::to_string(i)});
    for (const SendAttempt& sent : first) rig.End(sent.id, end, 100 * kMs);
    rig.Clear();
    rig.Play(SchedulerFixture::Request("b", 1));
    rig.Pass(100 * kMs);
    EXPECT_EQ(rig.Sends("b"), 0);
    rig.Pass(kSec);
    rig.Play(SchedulerFixture::Request("c", 1));
    EXPECT_EQ(rig.Sends("c"), 1);
  }
}

TEST(Unanswered, AnAnswerToALaterOneFreesThePlace) {
  Settings s = Basic();
  s.can_cancel = true;
  SchedulerFixture rig(s);
  rig.Fleet(1);
  const auto ask = [&](const char* id) {
    RequestArrived a = SchedulerFixture::Request(id, 1);
    a.units = 1.5;
    rig.Play(a);
  };
  ask("x");
  ask("y");
  rig.Pass(280 * kMs);
  ask("later");  // 4.5 units out: under the bound of a node hardly known, six would be over it
  ASSERT_EQ(rig.Sends("later"), 1);
  for (const char* id : {"x", "y"}) {
    rig.Play(ClientDisconnected{id});
    rig.End(id, Outcome::kCancelled, 280 * kMs);
  }
  ask("next");
  ASSERT_EQ(rig.Sends("next"), 0);
  rig.End("later", Outcome::kCompleted, 20 * kMs);
  EXPECT_EQ(rig.Sends("next"), 1);
}

// Clients that leave early tell by when work is late, and stop telling it once others stay longer.
TEST(Patience, TheAgeAtWhichClientsLeaveTakesThePlaceOfTheAim) {
  for (const int leavers : {0, 1, 8}) {
    Settings s = Basic();
    s.can_cancel = true;
    SchedulerFixture rig(s);
    rig.Fleet(2);
    for (int i = 0; i < 8; ++i) {
      const bool leave = i >= 8 - leavers;
      const std::string id = "a" + std::to_string(i);
      rig.Play(SchedulerFixture::Request(id, 1));
      rig.Pass(160 * kMs);
      if (leave) rig.Play(ClientDisconnected{id});
      if (rig.Sends(id) > 0) rig.End(id, leave ? Outcome::kCancelled : Outcome::kCompleted, 160 * kMs);
    }
    rig.Play(
        SchedulerFixture::Request("nowhere", 1, 5));  // no node holds the shard: it waits until it is late
    rig.Pass(leavers == 8 ? 240 * kMs : 340 * kMs);
    EXPECT_EQ(rig.Refusals("nowhere"), leavers == 8 ? 1 : 0);  // one alone tells nothing
  }
}

TEST(Order, WorthierClassesLeaveFirstAmongWorkThatIsInTime) {
  Settings s = Basic();
  s.classes[2].idempotency = Idempotency::kIdempotent;
  s.classes[2].priority_weight = 1;
  s.classes[2].latency_objective = s.classes[2].deadline = 2 * kSec;
  SchedulerFixture rig(s);
  rig.Fleet(1);
  for (int i = 0; i < 20; ++i) rig.Play(SchedulerFixture::Request("b" + std::to_string(i), 2));
  rig.Play(SchedulerFixture::Request("read", 0));
  ASSERT_EQ(rig.Sends("read"), 0);
  rig.End("b0", Outcome::kCompleted);
  EXPECT_EQ(rig.Sends("read"), 1);
}

TEST(Refusals, AnswerComesAtOnceWithAHoldOffWhenTheShardHasNoNode) {
  SchedulerFixture rig;
  rig.Fleet(1);
  rig.Play(SchedulerFixture::Request("a", 0, 3));
  rig.Pass(420 * kMs);  // its aim has gone; its deadline is far
  ASSERT_EQ(rig.Refusals("a"), 1);
  EXPECT_GT(rig.Of<RejectRequest>().front().retry_after, 0);
  EXPECT_LE(rig.Of<RejectRequest>().front().retry_after, kSec);
}

}  // namespace
// The settings' number of initiators is a guess where a view of the fleet counts them.
TEST(Fleet, ItsSizeReplacesTheSettings) {
  Settings s = Basic();
  s.instances = 300;
  s.discovery = DiscoveryMode::kSubscribe;
  for (const bool told : {false, true}) {
    SchedulerFixture rig(s);
    if (told) rig.Play(FleetSize{2, 0.5});
    rig.Pass(2 * kSec);  // the call has waited in vain
    rig.List(EndpointUpdateKind::kFailed, {});
    rig.Clear();
    rig.Pass(1'100 * kMs);
    EXPECT_EQ(rig.Of<WatchEndpoints>().size(), told ? 1u : 0u);
  }
}

}  // namespace walnutspur::test

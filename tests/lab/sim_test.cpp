// The fleet in virtual time, and its checker: what repeats, what is arithmetic, and each rule broken on
// purpose by an engine or a policy that is meddled with.
#include <doctest/doctest.h>

#include <cmath>
#include <fstream>
#include <map>

#include "lab/experiment.h"
#include "lab/experiment_file.h"
#include "lab/process.h"
#include "lab/sim/explore.h"
#include "lab/sim/invariant_checker.h"
#include "lab/sim/policies.h"
#include "lab/sim/simulation.h"

namespace walnutspur::lab {
namespace {

using core::Output;
using core::Response;
using core::ResponseStatus;
using core::StartAttempt;
using Outputs = std::vector<Output>;

const std::string kBase =
    "length_s = 4.0\n[fleet]\ninitiators = 4\n[boxes]\ncount = 6\nunit_ms = 16.0\n[rules]\nwarm_up_s = 2.0\n";

Experiment Base() { return ParseExperiment(kBase, "base"); }

TEST_CASE("the same seed gives the same log to the byte, and another seed another one") {
  const Experiment e = DrawExperiment(Base(), 7);
  const Folder folder;
  const auto play = [&](const Experiment& experiment, const std::string& name) {
    EventLog log(folder.path() + "/" + name);
    Simulation(experiment, &log).Run();
    return log.checksum();
  };
  const std::uint32_t first = play(e, "a");
  CHECK(play(e, "b") == first);
  Experiment other = e;
  other.seed = 8;
  CHECK(play(other, "c") != first);
  // What the file says again is what was played.
  CHECK(play(ParseExperiment(FormatExperiment(e), "again"), "d") == first);
  // The file holds what the checker was told.
  std::ifstream file(folder.path() + "/a");
  InvariantChecker checker;
  std::uint32_t entries = 0;
  for (std::string line; std::getline(file, line); ++entries) {
    const auto entry = ParseEntry(line);
    REQUIRE(entry);
    CHECK(FormatEntry(*entry) == line + "\n");
    checker.Observe(*entry);
  }
  CHECK(entries > 1000);
  CHECK(checker.clean());
  for (const char* bad : {"", "1 send", "1 send 0 0 0 0 0 x", "1 sent 0 0 0 0 0 0", "1 send 0 0 0 0 0 0 0"})
    CHECK_FALSE(ParseEntry(bad));
}

TEST_CASE("what is asked hangs on the seed alone, not on how it was answered") {
  Experiment e = Base();
  std::map<std::string, std::string> asked;
  for (const char* policy : {"walnutspur", "at-once", "buckets", "least-out"}) {
    e.policy = policy;
    EventLog log;
    log.on_entry = [&](const LogEntry& entry) {
      if (entry.type == LogEntryType::kRequest)
        asked[policy] += std::to_string(entry.at) + " " + std::to_string(entry.initiator) + " " +
                         std::to_string(entry.value) + " " + std::to_string(entry.detail) + "\n";
    };
    Simulation(e, &log).Run();
  }
  CHECK(asked["walnutspur"].size() > 10000);
  for (const auto& [policy, all] : asked) CHECK(all == asked["walnutspur"]);
}

TEST_CASE(
    "an idle box answers after the way there, its work and the way back; one that freezes, so much later") {
  Experiment e = ParseExperiment(
      "length_s = 200.0\n[fleet]\ninitiators = 1\n[boxes]\ncount = 2\nunit_ms = 10.0\nspeed_spread = "
      "0.0\nslots = 64\n"
      "[network]\ndelay_ms = 2.0\njitter_ms = 0.0\n[load]\nrate = 50.0\nfresh = 0.0\n",
      "idle");
  EventLog log;
  const SimulationResults idle = Simulation(e, &log).Run();
  // Units are 0.5 + exponential(0.5): their median is 0.5 + 0.5 ln 2, and work differs evenly by a fifth.
  CHECK(idle.percentile(0.5) == doctest::Approx(4 + 10 * (0.5 + 0.5 * std::log(2.0))).epsilon(0.02));
  CHECK(idle.service() == 1);
  // 200 ms in which nothing goes on, every 2 s: a tenth of the requests meet it, and waits are even in it.
  for (int i = 0; i < 100; ++i) {
    for (const int box : {0, 1}) {
      FaultPlan f;
      f.kind = FaultKind::kFreeze;
      f.start = i * 2'000'000 + 500'000;
      f.duration = 200'000;
      f.first = box;
      e.faults.push_back(f);
    }
  }
  e.policy = "at-once";  // the module would call back and try again
  EventLog frozen_log;
  const SimulationResults frozen = Simulation(e, &frozen_log).Run();
  std::size_t over = 0;
  for (const float ms : frozen.latencies) over += ms > 100;
  // Over 100 ms are those that came in the first half of a freeze, about: 5 % of all.
  CHECK(static_cast<double>(over) / static_cast<double>(frozen.latencies.size()) ==
        doctest::Approx(0.055).epsilon(0.15));
}

TEST_CASE("more than the boxes can do: the module sheds, and what it serves is worth more than at once") {
  Experiment e = Base();
  e.load_factor = 1.6;
  std::map<std::string, double> service;
  for (const char* policy : {"walnutspur", "at-once"}) {
    e.policy = policy;
    service[policy] = RunChecked(e).results.service();
  }
  CHECK(service["walnutspur"] > service["at-once"] + 0.05);
}

// Each of hundreds hears of a box once in seconds: what it learns there alone comes too late for a surge.
TEST_CASE("a surge costs a fleet of hundreds little more than one of five") {
  const auto service = [](int initiators) {
    Experiment e = ParseExperiment(
        "length_s = 10.0\n[boxes]\ncount = 8\nunit_ms = 20.0\n[load]\npart = 0.85\n"
        "[[plan]]\nname = \"usual\"\nvolumes = 100\n[[plan]]\nname = \"bulk\"\nvolumes = 100\nweight = 0.3\n"
        "[[fault]]\nkind = \"surge\"\nat_s = 2.0\nfor_s = 6.0\nfirst = 1\nfactor = 6.0\n",
        "surge");
    e.initiators = initiators;
    return RunChecked(e).results.service();
  };
  CHECK(service(200) > 0.78 * service(5));  // 0.83; and 0.71 where each learns of each box alone
}

TEST_CASE("drawn worlds keep every rule") {
  std::uint64_t requests = 0, faults = 0;
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    const Experiment e = DrawExperiment(Base(), seed);
    const CheckedRun run = RunChecked(e);
    requests += run.results.requests;
    faults += e.faults.size();
    for (const Violation& breach : run.violations)
      FAIL_CHECK("seed ", seed, " broke ", breach.rule, ": ", breach.description, " by ", FormatEntry(breach.entry));
  }
  CHECK(requests > 20'000);
  CHECK(faults > 24);
}

// ---- each rule broken on purpose ----

using Mutant = std::function<TestHooks()>;  // made anew for each world: some remember

TestHooks OnOutputs(std::function<void(int, Time, Outputs*)> call) {
  TestHooks meddling;
  meddling.outputs = std::move(call);
  return meddling;
}
TestHooks OnDecisions(
    std::function<std::vector<Action>(const core::DecisionFunction&, const Event&, Time)> call) {
  TestHooks meddling;
  meddling.decide = [call = std::move(call)](core::DecisionFunction decide) -> core::DecisionFunction {
    return
        [decide = std::move(decide), call](const Event& event, Time now) { return call(decide, event, now); };
  };
  return meddling;
}
TestHooks OnEntries(std::function<bool(LogEntry*)> call) {
  TestHooks meddling;
  meddling.entry = std::move(call);
  return meddling;
}
void ChangeResponses(Outputs* outputs, ResponseStatus from, ResponseStatus to) {
  for (Output& output : *outputs) {
    if (auto* answer = std::get_if<Response>(&output); answer && answer->status == from) answer->status = to;
  }
}

struct Broken {
  const char* name;
  const char* rule;
  Mutant make;
};

std::vector<Broken> Mutants() {
  return {
      {"answers twice", "one-answer",
       [] {
         return OnOutputs([](int, Time, Outputs* outputs) {
           for (std::size_t i = 0, size = outputs->size(); i < size; ++i) {
             if (std::holds_alternative<Response>((*outputs)[i])) outputs->push_back((*outputs)[i]);
           }
         });
       }},
      {"forgets one answer in a hundred", "unanswered",
       [] {
         return OnOutputs([seen = 0](int, Time, Outputs* outputs) mutable {
           std::erase_if(*outputs, [&](const Output& o) {
             return std::holds_alternative<Response>(o) && ++seen % 100 == 0;
           });
         });
       }},
      {"holds answers back", "in-time",
       [] {
         return OnOutputs([held = std::map<int, std::vector<std::pair<Time, Output>>>()](
                              int i, Time now, Outputs* outputs) mutable {
           Outputs next;
           for (Output& output : *outputs) {
             if (std::holds_alternative<Response>(output)) {
               held[i].emplace_back(now, output);
             } else {
               next.push_back(std::move(output));
             }
           }
           std::erase_if(held[i], [&](const auto& h) {
             if (now < h.first + 2'100'000) return false;
             next.push_back(h.second);
             return true;
           });
           *outputs = std::move(next);
         });
       }},
      {"sends again whatever failed", "unsafe-resent",
       [] {
         return OnDecisions([](const core::DecisionFunction& decide, const Event& event, Time now) {
           std::vector<Action> actions = decide(event, now);
           const auto* done = std::get_if<AttemptFinished>(&event);
           for (Action& action : actions) {
             if (done && std::holds_alternative<FailRequest>(action))
               action = SendAttempt{done->id, done->target, 0};
           }
           return actions;
         });
       }},
      {"does not hear of drains", "drain",
       [] {
         return OnDecisions([](const core::DecisionFunction& decide, const Event& event, Time now) {
           const auto* list = std::get_if<EndpointUpdate>(&event);
           if (!list) return decide(event, now);
           EndpointUpdate deaf = *list;
           for (Endpoint& entry : deaf.endpoints) entry.state = EndpointState::kActive;
           return decide(deaf, now);
         });
       }},
      {"a fourth attempt", "attempts",
       [] {
         return OnOutputs([](int, Time, Outputs* outputs) {
           for (std::size_t i = 0, size = outputs->size(); i < size; ++i) {
             const auto* attempt = std::get_if<StartAttempt>(&(*outputs)[i]);
             if (!attempt || attempt->attempt != 2) continue;
             StartAttempt next = *attempt;
             next.attempt = 3;
             outputs->push_back(next);
           }
         });
       }},
      {"numbers attempts from one", "trial-order",
       [] {
         return OnOutputs([](int, Time, Outputs* outputs) {
           for (Output& output : *outputs) {
             if (auto* attempt = std::get_if<StartAttempt>(&output)) ++attempt->attempt;
           }
         });
       }},
      {"sends to any box", "cell",
       [] {
         return OnOutputs([](int, Time, Outputs* outputs) {
           for (Output& output : *outputs) {
             if (auto* attempt = std::get_if<StartAttempt>(&output)) attempt->target = "b0";
           }
         });
       }},
      {"knows boxes before it is told of them", "unlisted",
       [] {
         return OnOutputs([](int, Time, Outputs* outputs) {
           for (Output& output : *outputs) {
             if (auto* attempt = std::get_if<StartAttempt>(&output); attempt && attempt->target == "b1")
               attempt->target = "b6";
           }
         });
       }},
      {"says that failed work was served", "served-unrun",
       [] {
         return OnOutputs([](int, Time, Outputs* outputs) {
           ChangeResponses(outputs, ResponseStatus::kRejected, ResponseStatus::kServed);
           ChangeResponses(outputs, ResponseStatus::kTimedOut, ResponseStatus::kServed);
         });
       }},
      {"refuses what may have run", "refused-run",
       [] {
         return OnOutputs([](int, Time, Outputs* outputs) {
           ChangeResponses(outputs, ResponseStatus::kFailed, ResponseStatus::kRejected);
           ChangeResponses(outputs, ResponseStatus::kTimedOut, ResponseStatus::kRejected);
         });
       }},
      {"takes cold boxes for warm ones, and sends all at once", "cold",
       [] {
         TestHooks meddling;
         meddling.decide = [](const core::DecisionFunction&) {
           return MakePolicy("at-once", Base().SchedulerSettings(), 1);
         };
         return meddling;
       }},
      {"goes on after the answer", "after-answer",
       [] {
         return OnOutputs(
             [last = std::map<core::RequestNumber, StartAttempt>()](int, Time, Outputs* outputs) mutable {
               for (std::size_t i = 0, size = outputs->size(); i < size; ++i) {
                 if (const auto* attempt = std::get_if<StartAttempt>(&(*outputs)[i]))
                   last[attempt->request] = *attempt;
                 const auto* answer = std::get_if<Response>(&(*outputs)[i]);
                 if (!answer || !last.contains(answer->request)) continue;
                 StartAttempt more = last[answer->request];
                 ++more.attempt;
                 outputs->push_back(more);
               }
             });
       }},
      {"sends each attempt twice", "unsafe-twice",
       [] {
         return OnOutputs([](int, Time, Outputs* outputs) {
           for (std::size_t i = 0, size = outputs->size(); i < size; ++i) {
             if (std::holds_alternative<StartAttempt>((*outputs)[i])) outputs->push_back((*outputs)[i]);
           }
         });
       }},
      {"a connector that calls everything unseen", "never-ran",
       [] {
         return OnEntries([](LogEntry* entry) {
           if (entry->type == LogEntryType::kOutcome) entry->value = static_cast<int>(Outcome::kOverloaded);
           return true;
         });
       }},
      {"a box that runs work off the books", "units",
       [] {
         return OnEntries([](LogEntry* entry) { return entry->type != LogEntryType::kWorkFinished || entry->request % 50 != 0; });
       }},
      {"a clock that is set back", "time",
       [] {
         return OnEntries([](LogEntry* entry) {
           if (entry->request % 50 == 7) entry->at -= 1000;
           return true;
         });
       }},
  };
}

TEST_CASE("each rule that is broken on purpose is seen, by that rule, within 200 worlds") {
  Experiment base = Base();
  base.discovery_delay = 1'000'000;
  for (const Broken& broken : Mutants()) {
    CAPTURE(std::string(broken.name));
    std::uint64_t seed = 1;
    bool caught = false;
    for (; seed <= 200 && !caught; ++seed) {
      Experiment e = DrawExperiment(base, seed);
      e.servers = 6;
      // A box is replaced and two start anew under load, whatever else was drawn.
      e.faults = {{FaultKind::kReplace, 500'000, 1'500'000, 1, 1, 0, 0},
                  {FaultKind::kRestart, 300'000, 1'000'000, 3, 2, 0, 100'000},
                  {FaultKind::kErrors, 1'000'000, 2'000'000, 0, 6, 0.5, 0}};
      if (std::string(broken.rule) == "unlisted") e.discovery_delay = 100'000;
      const CheckedRun run = RunChecked(e, broken.make());
      for (const Violation& breach : run.violations) caught = caught || breach.rule == broken.rule;
    }
    CHECK_MESSAGE(caught, std::string(broken.name), " was not seen");
    MESSAGE(std::string(broken.name), ": seen in world ", seed - 1);
  }
}

TEST_CASE("a failing world is made small, and what is left still fails") {
  const auto deaf = Mutants()[4];
  REQUIRE(std::string(deaf.rule) == "drain");
  Experiment e = DrawExperiment(Base(), 3);
  e.servers = 6;
  e.faults = {{FaultKind::kSlow, 100'000, 1'000'000, 0, 3, 0.5, 0},
              {FaultKind::kReplace, 500'000, 2'500'000, 1, 2, 0, 0},
              {FaultKind::kFreeze, 2'000'000, 500'000, 2, 1, 0, 0}};
  const Experiment small = Shrink(e, "drain", 100, deaf.make());
  CHECK(small.faults.size() == 1);
  CHECK(small.faults[0].kind == FaultKind::kReplace);
  CHECK(small.initiators <= e.initiators);
  const CheckedRun again = RunChecked(ParseExperiment(FormatExperiment(small), "small"), deaf.make());
  REQUIRE_FALSE(again.violations.empty());
  CHECK(again.violations.front().rule == "drain");
}

TEST_CASE("a wrong experiment is told in one line with file and place") {
  const auto told = [](const std::string& text) {
    try {
      ParseExperiment(text, "e.toml");
    } catch (const std::exception& error) {
      return std::string(error.what());
    }
    return std::string("nothing");
  };
  CHECK(told("seed = 1\n[load]\nrat = 3.0\n").starts_with("e.toml:3: load.rat: "));
  CHECK(told("[load]\nrate = -3.0\n").starts_with("e.toml:2: load.rate: "));
  CHECK(told("[[fault]]\nkind = \"quake\"\n").starts_with("e.toml:2: fault[].kind: cannot be \"quake\""));
  CHECK(told("[[fault]]\nat_s = 1.0\n").starts_with("e.toml:1: "));
  CHECK(told("[boxes]\ncount = 4\n[[fault]]\nkind = \"slow\"\nfirst = 3\ncount = 2\n") ==
        "e.toml:4: fault slow: it names 5 of 4");
  CHECK(told("length_s = 5.0\n[[fault]]\nkind = \"slow\"\nat_s = 9.0\n") ==
        "e.toml:3: fault slow: it begins after the end");
  CHECK(told("[[fault]]\nkind = \"restart\"\nat_s = 1.0\n[[fault]]\nkind = \"replace\"\nat_s = 2.0\n") ==
        "e.toml:5: fault replace: it contradicts the fault restart before it, of the same boxes at the same "
        "time");
  CHECK(told("[[class]]\nname = \"a\"\naim_ms = 10.0\ndeadline_ms = 5.0\n") ==
        "e.toml: class 'a': its aim is over its deadline");
  for (const std::string& line : {told("[load]\nrate = -3.0\n"), told("seed = [")})
    CHECK(line.find('\n') == line.npos);
}

}  // namespace
}  // namespace walnutspur::lab

// Tests of the simulated cluster: the seed determines a run, simple cases match the calculated results, and
// drawn experiments violate no invariant.
#include "lab/sim/simulation.h"

#include <doctest/doctest.h>

#include <cmath>
#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include "base_experiment.h"
#include "lab/fakes/temporary_folder.h"
#include "lab/sim/explore.h"
#include "lab/sim/log_checker.h"

namespace walnutspur::lab::sim {
namespace {

// Runs an experiment with a log file; returns the checksum of the log.
std::uint32_t RunWithLog(const Experiment& experiment, const std::string& path) {
  EventLog log(path);
  Simulation(experiment, &log).Run();
  return log.checksum();
}

// Checks that every entry of a log file is formatted back to the same line and that no invariant is violated.
void CheckLogFile(const std::string& path) {
  std::ifstream file(path);
  LogChecker checker;
  std::uint32_t entries = 0;
  for (std::string line; std::getline(file, line); ++entries) {
    const auto entry = ParseEntry(line);
    REQUIRE(entry);
    CHECK(FormatEntry(*entry) == line + "\n");
    checker.Observe(*entry);
  }
  CHECK(entries > 1000);
  CHECK(checker.clean());
}

TEST_CASE("Simulation: the same seed produces a byte-identical log, another seed a different one") {
  const Experiment experiment = DrawExperiment(BaseExperiment(), 7);
  const TemporaryFolder folder;
  const std::uint32_t first = RunWithLog(experiment, folder.path() + "/a");
  CHECK(RunWithLog(experiment, folder.path() + "/b") == first);
  Experiment other = experiment;
  other.seed = 8;
  CHECK(RunWithLog(other, folder.path() + "/c") != first);
  const Experiment parsed = ParseExperiment(FormatExperiment(experiment), "again");
  CHECK(RunWithLog(parsed, folder.path() + "/d") == first);
  CheckLogFile(folder.path() + "/a");
  for (const char* malformed :
       {"", "1 send", "1 send 0 0 0 0 0 x", "1 sent 0 0 0 0 0 0", "1 send 0 0 0 0 0 0 0"}) {
    CHECK_FALSE(ParseEntry(malformed));
  }
}

TEST_CASE("Simulation: the load depends on the seed alone, not on the responses to requests") {
  Experiment experiment = BaseExperiment();
  std::map<std::string, std::string> loads;
  for (const char* policy : {"walnutspur", "at-once", "buckets", "least-out"}) {
    experiment.policy = policy;
    EventLog log;
    log.on_entry = [&](const LogEntry& entry) {
      if (entry.type == LogEntryType::kRequest) {
        loads[policy] += std::to_string(entry.at) + " " + std::to_string(entry.initiator) + " " +
                         std::to_string(entry.value) + " " + std::to_string(entry.detail) + "\n";
      }
    };
    Simulation(experiment, &log).Run();
  }
  CHECK(loads["walnutspur"].size() > 10000);
  for (const auto& [policy, load] : loads) {
    CHECK(load == loads["walnutspur"]);
  }
}

// Returns faults that freeze both servers for 200 ms of every 2 s.
std::vector<FaultPlan> RegularFreezes() {
  std::vector<FaultPlan> faults;
  for (int i = 0; i < 100; ++i) {
    for (const int server : {0, 1}) {
      FaultPlan fault;
      fault.kind = FaultKind::kFreeze;
      fault.start = i * 2'000'000 + 500'000;
      fault.duration = 200'000;
      fault.first = server;
      faults.push_back(fault);
    }
  }
  return faults;
}

TEST_CASE("Simulation: latency is two network delays plus work; a freeze adds its remaining time") {
  Experiment experiment = ParseExperiment(
      "length_s = 200.0\n[fleet]\ninitiators = 1\n[boxes]\ncount = 2\nunit_ms = 10.0\nspeed_spread = "
      "0.0\nslots = 64\n"
      "[network]\ndelay_ms = 2.0\njitter_ms = 0.0\n[load]\nrate = 50.0\nfresh = 0.0\n",
      "idle");
  EventLog log;
  const SimulationResults idle = Simulation(experiment, &log).Run();
  // Units are 0.5 + exponential(0.5), so their median is 0.5 + 0.5 ln 2. Work varies uniformly by up to a
  // fifth.
  CHECK(idle.percentile(0.5) == doctest::Approx(4 + 10 * (0.5 + 0.5 * std::log(2.0))).epsilon(0.02));
  CHECK(idle.service() == 1);
  experiment.faults = RegularFreezes();
  experiment.policy = "at-once";  // the scheduler would cancel and retry
  EventLog frozen_log;
  const SimulationResults frozen = Simulation(experiment, &frozen_log).Run();
  std::size_t slow = 0;
  for (const float latency : frozen.latencies) {
    slow += latency > 100 ? 1 : 0;
  }
  // A tenth of the requests arrive during a freeze and wait for its remaining time, which is uniformly
  // distributed: about half of them, 5 % of all requests, wait for more than 100 ms.
  CHECK(static_cast<double>(slow) / static_cast<double>(frozen.latencies.size()) ==
        doctest::Approx(0.055).epsilon(0.15));
}

TEST_CASE("Scheduler: under overload it sheds load and achieves a better service than immediate sending") {
  Experiment experiment = BaseExperiment();
  experiment.load_factor = 1.6;
  std::map<std::string, double> service;
  for (const char* policy : {"walnutspur", "at-once"}) {
    experiment.policy = policy;
    service[policy] = RunChecked(experiment).results.service();
  }
  CHECK(service["walnutspur"] > service["at-once"] + 0.05);
}

// In a fleet of hundreds, each initiator gets a response from a given server only every few seconds, which is
// too slow to adapt to a surge.
TEST_CASE("Scheduler: a surge reduces the service of 200 initiators little more than that of five") {
  const auto service = [](int initiators) {
    Experiment experiment = ParseExperiment(
        "length_s = 10.0\n[boxes]\ncount = 8\nunit_ms = 20.0\n[load]\npart = 0.85\n"
        "[[plan]]\nname = \"usual\"\nvolumes = 100\n[[plan]]\nname = \"bulk\"\nvolumes = 100\nweight = 0.3\n"
        "[[fault]]\nkind = \"surge\"\nat_s = 2.0\nfor_s = 6.0\nfirst = 1\nfactor = 6.0\n",
        "surge");
    experiment.initiators = initiators;
    return RunChecked(experiment).results.service();
  };
  // The ratio was 0.83; it was 0.71 when each initiator adapted to each server separately.
  CHECK(service(200) > 0.78 * service(5));
}

TEST_CASE("Simulation: drawn experiments violate no invariant") {
  std::uint64_t requests = 0;
  std::uint64_t faults = 0;
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    const Experiment experiment = DrawExperiment(BaseExperiment(), seed);
    const CheckedRun run = RunChecked(experiment);
    requests += run.results.requests;
    faults += experiment.faults.size();
    for (const LogViolation& violation : run.violations) {
      FAIL_CHECK("seed ", seed, " violates ", violation.invariant, ": ", violation.description, " by ",
                 FormatEntry(violation.entry));
    }
  }
  CHECK(requests > 20'000);
  CHECK(faults > 24);
}

}  // namespace
}  // namespace walnutspur::lab::sim

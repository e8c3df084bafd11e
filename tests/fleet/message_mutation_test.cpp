// Guards against a single message that is lost, duplicated or changed (sequence number, probe, hash, target,
// sender or updates) and leaves the tables different. A scenario in virtual time, a crash and a restart of
// one of three members, is repeated for each of its messages and each mutation of that message. All members
// must agree at the end of each run.
#include <utility>

#include "cluster_fixture.h"

namespace walnutspur {
namespace {

using fleet::MemberState;
using fleet::Message;
using lab::SimulatedCluster;

enum class Mutation : std::uint8_t {
  kDrop,
  kDuplicate,
  kNumberZero,
  kOtherProbe,
  kOtherHash,
  kOtherTarget,
  kNoBuckets,
  kOlderIncarnations,
  kLargestIncarnations,
  kAllFailed,
  kNewerFacts,
  kEarlierProcess,
  kOtherSender,
};
constexpr int kMutations = 13;

// Applies mutations of the message itself. Returns false if the message is to be dropped.
bool Mutate(SimulatedCluster& cluster, Mutation mutation, int receiver, Message* message) {
  switch (mutation) {
    case Mutation::kDrop:
      return false;
    case Mutation::kDuplicate:
      cluster.Inject(receiver, *message);
      break;
    case Mutation::kNumberZero:
      message->sequence_number = 0;
      break;
    case Mutation::kOtherProbe:
      message->probe += 1;
      break;
    case Mutation::kOtherHash:
      message->hash = ~message->hash;
      break;
    case Mutation::kOtherTarget:
      message->target = "m9";
      break;
    case Mutation::kNoBuckets:
      message->buckets.clear();
      break;
    case Mutation::kEarlierProcess:
      message->started_at -= kSecond;
      break;
    case Mutation::kOtherSender:
      message->from = "m" + std::to_string((receiver + 2) % 3);
      break;
    default:
      break;
  }
  return true;
}

void MutateUpdate(Mutation mutation, fleet::Record& update) {
  switch (mutation) {
    case Mutation::kOlderIncarnations:
      update.incarnation -= 1;
      break;
    case Mutation::kLargestIncarnations:
      update.incarnation = ~0ull;
      break;
    case Mutation::kAllFailed:
      update.state = MemberState::kFailed;
      break;
    case Mutation::kNewerFacts:
      update.facts.version += 1000;
      break;
    default:
      break;
  }
}

struct ScenarioResult {
  std::size_t messages = 0;  // messages sent before the wait for convergence
  bool invariants_hold = false;
  std::string violation;
};

// Runs a crash and a restart of one of three members; mutates the message at `index`.
ScenarioResult RunScenario(std::size_t index, Mutation mutation) {
  lab::ClusterOptions options;
  options.members = 3;
  SimulatedCluster cluster(options);
  std::size_t messages = 0;
  cluster.mutate = [&](int, int receiver, Message* message) {
    if (messages++ != index) {
      return true;
    }
    for (fleet::Record& update : message->updates) {
      MutateUpdate(mutation, update);
    }
    return Mutate(cluster, mutation, receiver, message);
  };
  for (int i = 0; i < 3; ++i) {
    cluster.Start(i);
  }
  cluster.Run(kSecond);
  cluster.Crash(1);
  cluster.Run(kSecond);
  cluster.Start(1);
  cluster.Run(kSecond);
  ScenarioResult result;
  result.messages = messages;
  const bool converged = cluster.RunUntilConverged(kConvergenceTime) >= 0;
  result.invariants_hold = converged && cluster.out_of_order_changes() == 0;
  result.violation = cluster.FindViolation();
  return result;
}

void CheckInvariantsHold(std::size_t index, int mutation) {
  const ScenarioResult result = RunScenario(index, static_cast<Mutation>(mutation));
  CHECK_MESSAGE(result.invariants_hold, "message ", index, " mutation ", mutation, ": ", result.violation);
}

}  // namespace

TEST_CASE("Membership: if any one message is dropped, duplicated or changed, all invariants hold") {
  const ScenarioResult unchanged = RunScenario(SIZE_MAX, Mutation::kDrop);
  REQUIRE(unchanged.invariants_hold);
  REQUIRE(unchanged.messages > 80);
  for (std::size_t index = 0; index < unchanged.messages; ++index) {
    for (int mutation = 0; mutation < kMutations; ++mutation) {
      CheckInvariantsHold(index, mutation);
    }
  }
  MESSAGE(unchanged.messages, " messages, ", kMutations, " mutations, ", unchanged.messages * kMutations,
          " runs");
}

}  // namespace walnutspur

#include "lab/sim/policies.h"

#include <memory>

#include "lab/sim/baseline_policy.h"
#include "lab/sim/experiment.h"

namespace walnutspur::lab::sim {
namespace {

core::DecisionFunction MakeBaseline(BaselinePolicy::Kind kind, const Settings& settings, std::uint64_t seed) {
  auto policy = std::make_shared<BaselinePolicy>(kind, settings, seed);
  return [policy](const Event& event, Time now) { return policy->Handle(event, now); };
}

}  // namespace

core::DecisionFunction MakePolicy(const std::string& name, const Settings& settings, std::uint64_t seed) {
  if (name == "walnutspur") {
    auto scheduler = std::make_shared<Scheduler>(settings, seed);
    return [scheduler](const Event& event, Time now) { return scheduler->Handle(event, now); };
  }
  if (name == "at-once") {
    return MakeBaseline(BaselinePolicy::Kind::kImmediate, settings, seed);
  }
  if (name == "buckets") {
    return MakeBaseline(BaselinePolicy::Kind::kTokenBuckets, settings, seed);
  }
  if (name == "least-out") {
    return MakeBaseline(BaselinePolicy::Kind::kLeastOutstanding, settings, seed);
  }
  throw ExperimentError("unknown policy '" + name +
                        "'; must be one of walnutspur, at-once, buckets, least-out");
}

}  // namespace walnutspur::lab::sim

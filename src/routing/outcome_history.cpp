#include "routing/outcome_history.h"

namespace walnutspur::routing {
namespace {

constexpr double kFades = 5e6;    // us over which attempts tell
constexpr double kBoxWeight = 1;  // attempts that the zone's risk is worth: the box's own soon outweigh it
constexpr double kZoneWeight =
    4;  // attempts that a zone without news is worth: a single time-out tells little

}  // namespace

void OutcomeHistory::Record(bool bad, Time now) { (bad ? bad_ : good_).Add(1, now, kFades); }

double OutcomeHistory::FailureProbability(double before, double weight, Time now) const {
  const double bad = bad_.Now(now, kFades), good = good_.Now(now, kFades);
  return (bad + before * weight) / (bad + good + weight);
}

double FailureProbability(const OutcomeHistory& box, const OutcomeHistory& zone, Time now) {
  return box.FailureProbability(zone.FailureProbability(0, kZoneWeight, now), kBoxWeight, now);
}

}  // namespace walnutspur::routing

#include "integrity/path_health.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace walnutspur::integrity {
namespace {

// Ranks of states for the choice of a path; lower ones are chosen first.
//
// Failure: a path on probation that gets no requests stays on probation forever, since only successes end it.
// Therefore it ranks before the healthy paths once every PathOptions::probation_interval choices.
constexpr int kProbationDueRank = 0;
constexpr int kHealthyRank = 1;
constexpr int kSuspectRank = 2;
constexpr int kProbationRank = 3;
constexpr int kQuarantinedRank = 4;
// Added to the rank of a path to avoid; greater than any rank, so that it ranks after all others.
constexpr int kAvoidedPenalty = 10;

}  // namespace

const char* NameOf(PathState state) {
  static constexpr const char* kNames[] = {"healthy", "suspect", "quarantined", "probation"};
  return kNames[static_cast<int>(state)];
}

PathHealth::PathHealth(int count, const PathOptions& options)
    : options_(options), paths_(static_cast<std::size_t>(std::max(1, count))) {
  for (Path& path : paths_) {
    path.next_quarantine = options_.quarantine;
  }
}

PathHealth::Path& PathHealth::Updated(int path, Time now) {
  Path& updated = paths_[static_cast<std::size_t>(path)];
  Decay(updated, now);
  return updated;
}

void PathHealth::Decay(Path& path, Time now) const {
  if (now > path.updated) {
    const double remaining =
        std::exp2(-static_cast<double>(now - path.updated) / static_cast<double>(options_.half_life));
    path.successes *= remaining;
    path.faults *= remaining;
    path.updated = now;
  }
  if (path.state == PathState::kQuarantined && now >= path.quarantined_until) {
    path.state = PathState::kProbation;
    path.consecutive_successes = 0;
  }
  if (path.state == PathState::kSuspect && path.faults < options_.healthy_below) {
    path.state = PathState::kHealthy;
  }
}

PathState PathHealth::StateOf(int path, Time now) { return Updated(path, now).state; }

int PathHealth::RankOf(const Path& path) const {
  switch (path.state) {
    case PathState::kHealthy:
      return kHealthyRank;
    case PathState::kProbation: {
      const bool is_due = choices_ % static_cast<std::uint64_t>(options_.probation_interval) == 0;
      return is_due ? kProbationDueRank : kProbationRank;
    }
    case PathState::kSuspect:
      return kSuspectRank;
    case PathState::kQuarantined:
      return kQuarantinedRank;
  }
  return kQuarantinedRank;
}

int PathHealth::Choose(Time now, const std::set<int>& avoid) {
  ++choices_;
  const auto count = paths_.size();
  int best = 0;
  int best_rank = std::numeric_limits<int>::max();
  for (std::size_t i = 0; i < count; ++i) {
    const int candidate = static_cast<int>((choices_ + i) % count);
    int rank = RankOf(Updated(candidate, now));
    if (avoid.contains(candidate)) {
      rank += kAvoidedPenalty;
    }
    if (rank < best_rank) {
      best_rank = rank;
      best = candidate;
    }
  }
  return best;
}

void PathHealth::RecordSuccess(int path, Time now) {
  Path& updated = Updated(path, now);
  updated.successes += 1;
  if (updated.state != PathState::kProbation ||
      ++updated.consecutive_successes < options_.probation_successes) {
    return;
  }
  updated.state = PathState::kHealthy;
  updated.faults = 0;
  updated.next_quarantine = options_.quarantine;
}

void PathHealth::RecordFault(int path, Time now) {
  Path& updated = Updated(path, now);
  updated.faults += 1;
  const bool on_probation = updated.state == PathState::kProbation;
  const bool exceeds_limits =
      updated.faults >= options_.quarantine_at &&
      updated.faults >= options_.quarantine_fraction * (updated.successes + updated.faults);
  if (updated.state != PathState::kQuarantined && (on_probation || exceeds_limits)) {
    updated.state = PathState::kQuarantined;
    updated.quarantined_until = now + updated.next_quarantine;
    updated.next_quarantine = std::min(updated.next_quarantine * 2, options_.max_quarantine);
  } else if (updated.state == PathState::kHealthy && updated.faults >= options_.suspect_at) {
    updated.state = PathState::kSuspect;
  }
}

}  // namespace walnutspur::integrity

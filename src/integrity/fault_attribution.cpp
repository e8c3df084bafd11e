#include "integrity/blame.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::integrity {
namespace {

constexpr std::size_t kMostReadings = 8;  // of one case; with so many it is decided by the majority
constexpr int kSame = 2;                  // equal bad readings that show damage at rest

}  // namespace

const char* NameOf(PathState state) {
  static constexpr const char* kNames[] = {"healthy", "suspect", "quarantined", "probation"};
  return kNames[static_cast<int>(state)];
}

const char* NameOf(Fault fault) {
  static constexpr const char* kNames[] = {"path",   "memory", "rest", "lost",
                                           "astray", "stale",  "tags", "record"};
  return kNames[static_cast<int>(fault)];
}

// ---- paths ----

Paths::Paths(int count, const PathOptions& options)
    : options_(options), paths_(static_cast<std::size_t>(std::max(1, count))) {
  for (Path& path : paths_) {
    path.rest = options_.rest;
  }
}

void Paths::Age(Path& path, Time now) {
  if (now > path.at) {
    const double kept =
        std::exp2(-static_cast<double>(now - path.at) / static_cast<double>(options_.half_life));
    path.good *= kept;
    path.bad *= kept;
    path.at = now;
  }
  if (path.state == PathState::kQuarantined && now >= path.until) {
    path.state = PathState::kProbation;
    path.goods = 0;
  }
  if (path.state == PathState::kSuspect && path.bad < options_.healthy_below) {
    path.state = PathState::kHealthy;
  }
}

PathState Paths::StateOf(int path, Time now) {
  Path& p = paths_[static_cast<std::size_t>(path)];
  Age(p, now);
  return p.state;
}

int Paths::Choose(Time now, const std::set<int>& avoid) {
  ++turn_;
  const auto count = paths_.size();
  int best = 0;
  int best_rank = 1000;
  for (std::size_t i = 0; i < count; ++i) {
    const int number = static_cast<int>((turn_ + i) % count);
    Path& path = paths_[static_cast<std::size_t>(number)];
    Age(path, now);
    int rank = 0;
    switch (path.state) {
      case PathState::kHealthy:
        rank = 1;
        break;
      case PathState::kProbation:
        // Its share comes before the healthy ones': without requests no probation would end.
        rank = turn_ % static_cast<std::uint64_t>(options_.probation_every) == 0 ? 0 : 3;
        break;
      case PathState::kSuspect:
        rank = 2;
        break;
      case PathState::kQuarantined:
        rank = 4;
        break;
    }
    if (avoid.contains(number)) {
      rank += 10;
    }
    if (rank < best_rank) {
      best_rank = rank;
      best = number;
    }
  }
  return best;
}

void Paths::Good(int path, Time now) {
  Path& p = paths_[static_cast<std::size_t>(path)];
  Age(p, now);
  p.good += 1;
  if (p.state != PathState::kProbation || ++p.goods < options_.probation_goods) {
    return;
  }
  p.state = PathState::kHealthy;
  p.bad = 0;
  p.rest = options_.rest;  // served its time: the next quarantine is short again
}

void Paths::Bad(int path, Time now) {
  Path& p = paths_[static_cast<std::size_t>(path)];
  Age(p, now);
  p.bad += 1;
  const bool again = p.state == PathState::kProbation;
  const bool enough =
      p.bad >= options_.quarantine_at && p.bad >= options_.quarantine_share * (p.good + p.bad);
  if (p.state != PathState::kQuarantined && (again || enough)) {
    p.state = PathState::kQuarantined;
    p.until = now + p.rest;
    p.rest = std::min(p.rest * 2, options_.most_rest);
  } else if (p.state == PathState::kHealthy && p.bad >= options_.suspect_at) {
    p.state = PathState::kSuspect;
  }
}

// ---- cases ----

std::optional<Verdict> Cases::Note(const Place& place, int paths, const Reading& reading, Time now) {
  auto at = open_.find(place);
  if (at == open_.end()) {
    if (reading.good) {
      return std::nullopt;
    }
    if (open_.size() >= most_) {
      const auto oldest = std::min_element(open_.begin(), open_.end(), [](const auto& a, const auto& b) {
        return a.second.since < b.second.since;
      });
      open_.erase(oldest);
    }
    at = open_.emplace(place, Case{{}, now}).first;
  }
  at->second.readings.push_back(reading);
  const auto verdict = Judge(at->second.readings, paths);
  if (verdict) {
    open_.erase(at);
  }
  return verdict;
}

std::set<int> Cases::PathsOf(const Place& place) const {
  std::set<int> paths;
  const auto at = open_.find(place);
  if (at == open_.end()) {
    return paths;
  }
  for (const Reading& r : at->second.readings) {
    paths.insert(r.path);
  }
  return paths;
}

std::vector<Place> Cases::places() const {
  std::vector<Place> all;
  for (const auto& [place, open] : open_) {
    all.push_back(place);
  }
  return all;
}

std::optional<Verdict> Cases::Judge(const std::vector<Reading>& readings, int paths) {
  const Reading& last = readings.back();
  Verdict verdict;
  verdict.readings = static_cast<int>(readings.size());
  if (last.good) {  // so the block itself is whole, and what was bad before was not what stands there
    const Reading& first = readings.front();
    const bool old = std::all_of(readings.begin(), readings.end() - 1,
                                 [](const Reading& r) { return r.looks == Looks::kOld; });
    if (old) {
      verdict.fault = Fault::kStale;
      verdict.path = first.path;
      return verdict;
    }
    std::set<int> bad;
    for (const Reading& r : readings) {
      if (!r.good) {
        bad.insert(r.path);
      }
    }
    // Bad on all paths there are, or on the only one: not one path's doing.
    const bool one = bad.size() == 1 && paths > 1;
    verdict.fault = one ? Fault::kPath : Fault::kMemory;
    verdict.path = one ? *bad.begin() : -1;
    return verdict;
  }
  // Tags and records are said to be bad by who has read them more than once.
  if (last.looks == Looks::kRecordBad) {
    verdict.fault = Fault::kRecord;
    return verdict;
  }
  std::set<int> seen;
  int equal = 0;
  for (const Reading& r : readings) {
    seen.insert(r.path);
    equal += static_cast<int>(r.found == last.found && r.looks == last.looks);
  }
  const bool everywhere = static_cast<int>(seen.size()) >= paths;
  if (equal >= kSame && everywhere && equal == static_cast<int>(readings.size())) {
    verdict.fault = last.looks == Looks::kOld         ? Fault::kLost
                    : last.looks == Looks::kElsewhere ? Fault::kAstray
                    : last.looks == Looks::kTagsBad   ? Fault::kTags
                                                      : Fault::kRest;
    verdict.belongs_to = last.belongs_to;
    return verdict;
  }
  if (readings.size() < kMostReadings) {
    // Different each time, on every path, often enough: nothing at rest looks so.
    if (static_cast<int>(readings.size()) >= std::max(3, paths + 1) && everywhere && equal == 1) {
      verdict.fault = Fault::kMemory;
      return verdict;
    }
    return std::nullopt;
  }
  verdict.fault = 2 * equal > static_cast<int>(readings.size()) ? Fault::kRest : Fault::kMemory;
  return verdict;
}

}  // namespace walnutspur::integrity

// Whose fault a mismatch is: a path, the box's memory, its disk, or a write that was lost, went astray or
// came back old. Decisions and counts alone: no I/O, no clock; times are microseconds that never run
// backwards.
//
// A mismatch opens a case for its block. Each further reading of the block says more, until a verdict closes
// it:
//
//   good on another reading, old before      an old answer (stale)
//   good on another path                     the path that was bad
//   good on the same and only path           the box's memory or path, which counting tells apart
//   bad, and the same on every path, twice   at rest: lost, astray or flipped, by what it looks like
//   bad, and different each time             the box's memory, or the path if there are others that are good
#ifndef WALNUTSPUR_INTEGRITY_BLAME_H_
#define WALNUTSPUR_INTEGRITY_BLAME_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "integrity/volume.h"

namespace walnutspur::integrity {

using Time = std::int64_t;

// ---- paths ----

enum class PathState {
  kHealthy,
  kSuspect,      // used, but not first
  kQuarantined,  // not used while there is another
  kProbation     // a few requests, to see
};
const char* NameOf(PathState state);

struct PathOptions {
  Time half_life = 60'000'000;  // in which a count halves
  double suspect_at = 0.5;      // weighed mismatches; one alone makes a path suspect
  double healthy_below = 0.25;  // under suspect_at: what hovers about one bound must not flap
  double quarantine_at = 3;     // together with a share of what came by it
  double quarantine_share = 0.01;
  Time rest = 10'000'000;  // the first quarantine; doubled each time, up to
  Time most_rest = 600'000'000;
  int probation_goods = 64;  // good answers in a row that end a probation
  int probation_every = 16;  // one of so many requests tries a path on probation
};

// The paths to one box, by number.
class Paths {
 public:
  Paths(int count, const PathOptions& options = {});

  // The path for the next request: the best state, in turn among equals. `avoid` are paths that this request
  // has met a mismatch on; they come last. There is always one.
  int Choose(Time now, const std::set<int>& avoid = {});
  void Good(int path, Time now);
  void Bad(int path, Time now);  // a verdict blames it
  PathState StateOf(int path, Time now);
  int count() const { return static_cast<int>(paths_.size()); }
  double bad(int path) const {
    return paths_[static_cast<std::size_t>(path)].bad;
  }  // weighed, as of its last news

 private:
  struct Path {
    PathState state = PathState::kHealthy;
    double good = 0, bad = 0;  // weighed by age
    Time at = 0;               // of these counts
    Time until = 0;            // of a quarantine
    Time rest = 0;             // the next quarantine's length
    int goods = 0;             // in a row, on probation
  };
  void Age(Path& path, Time now);

  PathOptions options_;
  std::vector<Path> paths_;
  std::uint64_t turn_ = 0;
};

// ---- cases ----

enum class Fault { kPath, kMemory, kRest, kLost, kAstray, kStale, kTags, kRecord };
const char* NameOf(Fault fault);

struct Place {
  std::string box, remote;  // an export at a box
  std::uint64_t block = 0;
  auto operator<=>(const Place&) const = default;
};

struct Reading {
  int path = 0;
  bool good = false;
  Looks looks = Looks::kUnlike;
  std::uint32_t found = 0;
  std::uint64_t belongs_to = 0;
};

struct Verdict {
  Fault fault = Fault::kRest;
  int path = -1;                 // kPath: the one to blame
  std::uint64_t belongs_to = 0;  // kAstray: the block whose content was found here
  int readings = 0;
};

class Cases {
 public:
  // `most` bounds the open cases; beyond, the oldest is closed without a verdict.
  explicit Cases(std::size_t most = 4096) : most_(most) {}

  // Takes one reading of a block on a box with so many paths. A good reading of a block without a case says
  // nothing and costs nothing.
  std::optional<Verdict> Note(const Place& place, int paths, const Reading& reading, Time now);
  // The block was written anew: what was read before is no evidence any more.
  void Forget(const Place& place) { open_.erase(place); }
  std::size_t open() const { return open_.size(); }
  bool IsOpen(const Place& place) const { return open_.contains(place); }
  // The paths by which an open case has been read; the next reading tells more by another one.
  std::set<int> PathsOf(const Place& place) const;
  std::vector<Place> places() const;

 private:
  struct Case {
    std::vector<Reading> readings;
    Time since = 0;
  };
  static std::optional<Verdict> Judge(const std::vector<Reading>& readings, int paths);

  std::size_t most_;
  std::map<Place, Case> open_;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_BLAME_H_

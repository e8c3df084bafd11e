// Health of the paths to one target, from the faults that were attributed to each, and the choice of a path
// for the next request. No I/O and no clock.
//
// Owned by checksummed::ChecksummedExports, one for each target; used on its thread only.
#ifndef WALNUTSPUR_INTEGRITY_PATH_HEALTH_H_
#define WALNUTSPUR_INTEGRITY_PATH_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "integrity/time.h"

namespace walnutspur::integrity {

enum class PathState {
  kHealthy,
  kSuspect,      // used after healthy ones only
  kQuarantined,  // not used while there is another
  kProbation     // gets a small share of the requests, to find out whether it has recovered
};
// As operators read it in the status.
const char* NameOf(PathState state);

struct PathOptions {
  Time half_life = 60'000'000;     // us in which a count decays by half
  double suspect_at = 0.5;         // decayed faults; a single one makes a path suspect
  double healthy_below = 0.25;     // less than suspect_at, so that a path near one bound does not flap
  double quarantine_at = 3;        // decayed faults, together with
  double quarantine_share = 0.01;  // their share of all requests of the path
  Time quarantine = 10'000'000;    // us; of the first one, doubled each time up to max_quarantine
  Time max_quarantine = 600'000'000;
  int probation_successes = 64;  // in a row end a probation
  int probation_interval = 16;   // one of so many requests goes to a path on probation
};

class PathHealth {
 public:
  explicit PathHealth(int count, const PathOptions& options = {});

  // The path for the next request: the best state, round robin among equals; there always is one. The paths
  // to `avoid`, on which this request has met a mismatch, come last.
  int Choose(Time now, const std::set<int>& avoid = {});
  void RecordSuccess(int path, Time now);
  // A fault was attributed to the path.
  void RecordFault(int path, Time now);
  PathState StateOf(int path, Time now);
  int count() const { return static_cast<int>(paths_.size()); }
  // Decayed faults as of the path's last update.
  double weighted_faults(int path) const { return paths_[static_cast<std::size_t>(path)].faults; }

 private:
  struct Path {
    PathState state = PathState::kHealthy;
    double successes = 0;           // decayed
    double faults = 0;              // decayed
    Time updated = 0;               // when the counts were decayed last
    Time quarantined_until = 0;     // us
    Time next_quarantine = 0;       // us
    int consecutive_successes = 0;  // on probation
  };
  Path& Updated(int path, Time now);
  void Decay(Path& path, Time now) const;
  int RankOf(const Path& path) const;

  PathOptions options_;
  std::vector<Path> paths_;    // by number
  std::uint64_t choices_ = 0;  // made so far
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_PATH_HEALTH_H_

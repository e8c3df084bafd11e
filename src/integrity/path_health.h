// Class PathHealth tracks the health of the paths to one target by the faults that were attributed to each,
// and chooses a path for the next request. No I/O and no clock.
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
  kSuspect,      // used only if no healthy path is available
  kQuarantined,  // used only if no other path is available
  kProbation     // gets a small fraction of the requests, which show whether it has recovered
};
// Returns the name that the status shows.
const char* NameOf(PathState state);

// Thresholds of the state transitions. Counts of faults and successes decay exponentially.
struct PathOptions {
  // Half-life of the counts, us.
  Time half_life = 60'000'000;
  // A healthy path becomes suspect if its decayed fault count is at least this: after a single fault.
  double suspect_at = 0.5;
  // A suspect path becomes healthy if its decayed fault count is below this. Less than `suspect_at`: a path
  // near one common bound would flap between the two states.
  double healthy_below = 0.25;
  // A path is quarantined if its decayed fault count is at least this and faults make up at least
  // `quarantine_fraction` of its requests.
  double quarantine_at = 3;
  // Minimum fraction of faults among a path's requests for a quarantine because of `quarantine_at`.
  double quarantine_fraction = 0.01;
  // Duration of the first quarantine, us; doubled for each further one.
  Time quarantine = 10'000'000;
  // Upper bound of a quarantine's duration, us.
  Time max_quarantine = 600'000'000;
  // Consecutive successes that end a probation.
  int probation_successes = 64;
  // Number of requests to the target of which one is sent on a path on probation.
  int probation_interval = 16;
};

class PathHealth {
 public:
  explicit PathHealth(int count, const PathOptions& options = {});

  // Returns the path for the next request: one in the best state, round robin among equals; even the worst
  // path is returned if there is no other. The paths to `avoid`, on which this request has met a mismatch,
  // rank last.
  int Choose(Time now, const std::set<int>& avoid = {});
  void RecordSuccess(int path, Time now);
  // Records a fault that was attributed to the path.
  void RecordFault(int path, Time now);
  PathState StateOf(int path, Time now);
  int count() const { return static_cast<int>(paths_.size()); }

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

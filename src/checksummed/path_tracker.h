// Chooses the path of each request to a target, and evaluates the reads: readings of blocks under suspicion
// go to the corruption tracker, and faults that it attributes to a path count against that path's health.
//
// Owned by ChecksummedExports, called by it and by IoDispatcher; runs on the event loop's thread. No errors:
// there always is a path.
#ifndef WALNUTSPUR_CHECKSUMMED_PATH_TRACKER_H_
#define WALNUTSPUR_CHECKSUMMED_PATH_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "checksummed/corruption_tracker.h"
#include "integrity/path_health.h"
#include "integrity/volume_io.h"
#include "nbd/codec.h"
#include "nbd/config.h"

namespace walnutspur::checksummed {

// The state of one path, as operators read it.
struct PathStatus {
  std::string target;
  int path = 0;
  integrity::PathState state = integrity::PathState::kHealthy;
};

class PathTracker {
 public:
  // `tracker` must outlive this.
  PathTracker(const nbd::Config& config, CorruptionTracker* tracker);

  // The path for a request to the target of an export. A read avoids paths on which its blocks have met a
  // mismatch that is still under investigation.
  int Choose(const nbd::Volume& volume, const nbd::Request& request);
  // Evaluates the result of a read on this path. Returns the corrupt blocks to which no fault could be
  // attributed yet, which should be read again soon.
  std::vector<std::uint64_t> RecordRead(const nbd::Volume& volume, const nbd::Request& request, int path,
                                        const integrity::CommandResult& result);

  // Appends the states of all paths to a target.
  void AppendStatus(const std::string& target, std::vector<PathStatus>* status);

 private:
  CorruptionTracker* tracker_;
  std::map<std::string, integrity::PathHealth> paths_;  // by target
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_PATH_TRACKER_H_

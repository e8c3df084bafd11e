// Class PathTracker chooses the path of each request to a target and evaluates the results of reads: it
// passes readings of suspected blocks to the corruption tracker, and faults that the tracker attributes to a
// path reduce the health of that path.
//
// Owned by ChecksummedExports, called by it and by IoDispatcher; runs on the event loop's thread. Choosing a
// path cannot fail, since every target has at least one.
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

// The state of one path, as reported to operators.
struct PathStatus {
  std::string target;
  int path = 0;
  integrity::PathState state = integrity::PathState::kHealthy;
};

class PathTracker {
 public:
  // `tracker` must outlive the path tracker.
  PathTracker(const nbd::Config& config, CorruptionTracker* tracker);

  // Returns the path for a request to the target of an export. A read avoids the paths on which one of its
  // blocks had a mismatch that is still under investigation.
  int Choose(const nbd::Volume& volume, const nbd::Request& request);
  // Evaluates the result of a read on this path. Returns the corrupt blocks whose fault has not been
  // attributed yet; they should be read again soon.
  std::vector<std::uint64_t> RecordRead(const nbd::Volume& volume, const nbd::Request& request, int path,
                                        const integrity::CommandResult& result);

  // Appends the state of each path to a target.
  void AppendStatus(const std::string& target, std::vector<PathStatus>* status);

 private:
  CorruptionTracker* tracker_;
  std::map<std::string, integrity::PathHealth> paths_;  // key: target id
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_PATH_TRACKER_H_

#include "checksummed/path_tracker.h"

#include <algorithm>
#include <optional>
#include <set>

#include "core/scheduler_thread.h"
#include "integrity/layout.h"

namespace walnutspur::checksummed {
namespace {

integrity::BlockLocation LocationOf(const nbd::Volume& volume, std::uint64_t block) {
  return {volume.target, volume.remote, block};
}

// Return the first and the last block of a request, which must not be empty.
std::uint64_t FirstBlockOf(const nbd::Request& request) { return request.offset / integrity::kBlockBytes; }
std::uint64_t LastBlockOf(const nbd::Request& request) {
  return (request.offset + request.length - 1) / integrity::kBlockBytes;
}

// Returns the reading of one block that results from a read on this path.
integrity::Reading ReadingOf(const integrity::CommandResult& result, std::uint64_t block, int path) {
  const auto corrupt =
      std::find_if(result.corrupt_blocks.begin(), result.corrupt_blocks.end(),
                   [&](const integrity::CorruptBlock& candidate) { return candidate.block == block; });
  integrity::Reading reading;
  reading.path = path;
  reading.good = corrupt == result.corrupt_blocks.end();
  if (!reading.good) {
    reading.mismatch = corrupt->mismatch;
    reading.data_sum = corrupt->data_sum;
    reading.owner_block = corrupt->owner_block;
  }
  return reading;
}

}  // namespace

PathTracker::PathTracker(const nbd::Config& config, CorruptionTracker* tracker) : tracker_(tracker) {
  for (const nbd::Target& target : config.targets) {
    paths_.emplace(target.id, integrity::PathHealth(static_cast<int>(target.addresses.size())));
  }
}

int PathTracker::Choose(const nbd::Volume& volume, const nbd::Request& request) {
  integrity::PathHealth& paths = paths_.at(volume.target);
  const integrity::CorruptionInvestigations& investigations = tracker_->investigations();
  std::set<int> avoid;
  const bool is_read = request.type == nbd::kRead && request.length > 0;
  if (is_read && paths.count() > 1 && investigations.open_count() > 0) {
    const std::uint64_t last = LastBlockOf(request);
    for (std::uint64_t block = FirstBlockOf(request); block <= last; ++block) {
      avoid.merge(investigations.PathsOf(LocationOf(volume, block)));
    }
  }
  return paths.Choose(core::Now(), avoid);
}

std::vector<std::uint64_t> PathTracker::RecordRead(const nbd::Volume& volume, const nbd::Request& request,
                                                   int path, const integrity::CommandResult& result) {
  using Status = integrity::CommandResult::Status;
  const integrity::Time now = core::Now();
  integrity::PathHealth& paths = paths_.at(volume.target);
  std::vector<std::uint64_t> suspected;
  if (result.status == Status::kCompleted) {
    paths.RecordSuccess(path, now);
    if (tracker_->has_no_known_corruption()) {
      return suspected;
    }
  } else if (result.status != Status::kCorrupted) {
    return suspected;
  }
  const std::uint64_t last = LastBlockOf(request);
  for (std::uint64_t block = FirstBlockOf(request); block <= last; ++block) {
    const integrity::Reading reading = ReadingOf(result, block, path);
    const auto attribution = tracker_->AddReading(LocationOf(volume, block), paths.count(), reading, now);
    if (attribution && attribution->fault == integrity::Fault::kPath) {
      paths.RecordFault(attribution->path, now);
    }
    if (!attribution && !reading.good) {
      suspected.push_back(block);
    }
  }
  return suspected;
}

void PathTracker::AppendStatus(const std::string& target, std::vector<PathStatus>* status) {
  integrity::PathHealth& paths = paths_.at(target);
  for (int path = 0; path < paths.count(); ++path) {
    status->push_back({target, path, paths.StateOf(path, core::Now())});
  }
}

}  // namespace walnutspur::checksummed

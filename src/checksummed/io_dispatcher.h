// Sends the storage requests of checksummed volumes to their targets, as internal attempts on the connections
// of an nbd::TargetPool, and reports their completions. A write that must be durable when it completes is
// followed by a flush, since not every target supports FUA.
//
// Owned by ChecksummedExports; runs on the event loop's thread. Each request is completed exactly once, with
// an integrity::IoStatus. A failure after which the target may have executed the request is kFailed, never
// kNotExecuted: the volume would otherwise report a write as not executed that may still take effect.
#ifndef WALNUTSPUR_CHECKSUMMED_IO_DISPATCHER_H_
#define WALNUTSPUR_CHECKSUMMED_IO_DISPATCHER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "checksummed/path_tracker.h"
#include "core/port.h"
#include "integrity/volume_io.h"
#include "nbd/config.h"
#include "nbd/payload.h"
#include "nbd/target_pool.h"

namespace walnutspur::checksummed {

// One storage request of an export, without the data of a write.
struct ExportIo {
  std::size_t export_index = 0;  // of the export
  integrity::IoRequest request;
};

// The request that a storage request becomes on the connection, without its id.
nbd::Request ToNbdRequest(const integrity::IoRequest& volume_request);

class IoDispatcher {
 public:
  struct Callbacks {
    // Whether requests may be sent to the export's target now.
    std::function<bool(std::size_t export_index)> is_available;
    // A storage request has ended; `data` is the content that a read returned.
    std::function<void(const ExportIo& completed, integrity::IoStatus status, std::string data)> on_completed;
  };

  // All pointers must outlive this.
  IoDispatcher(const nbd::Config& config, nbd::TargetPool* targets, PathTracker* paths, Callbacks callbacks);

  void Send(ExportIo export_io, int path);
  // Handles the result of an attempt that this has started; false if another component has started it.
  bool OnResult(const core::AttemptResult& result);

 private:
  struct PendingIo {
    ExportIo io;
    bool is_flushing = false;  // the write has completed, and the flush that makes it durable is in flight
  };

  void StartAttempt(PendingIo pending, nbd::Request request, int path,
                    std::vector<integrity::Slice> tail = {});
  void Complete(PendingIo pending, const core::AttemptResult& result);

  const nbd::Config& config_;
  nbd::TargetPool* targets_;
  PathTracker* paths_;
  Callbacks callbacks_;
  std::unordered_map<core::RequestNumber, PendingIo> pending_;
  core::RequestNumber next_request_;
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_IO_DISPATCHER_H_

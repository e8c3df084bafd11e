// Class IoDispatcher sends the storage requests of checksummed volumes to their targets, as internal attempts
// on the connections of an nbd::TargetPool, and reports their completion. A write that must be durable on
// completion is followed by a flush, since not every target supports FUA.
//
// Owned by ChecksummedExports; runs on the event loop's thread. Each request is completed exactly once, with
// an integrity::IoStatus. A failure after which the target may have executed the request is reported as
// kFailed, never as kNotExecuted: otherwise the volume would report a write that may still take effect as not
// executed.
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

// A storage request of an export, without the data of a write.
struct ExportIo {
  std::size_t export_index = 0;
  integrity::IoRequest request;
};

// Converts a storage request to an NBD request without a cookie.
nbd::Request ToNbdRequest(const integrity::IoRequest& volume_request);

class IoDispatcher {
 public:
  struct Callbacks {
    // Returns whether requests may currently be sent to the export's target.
    std::function<bool(std::size_t export_index)> is_available;
    // Called when a storage request has completed or failed; `data` is the result of a read.
    std::function<void(const ExportIo& completed, integrity::IoStatus status, std::string data)> on_completed;
  };

  // All references and pointers must outlive the dispatcher.
  IoDispatcher(const nbd::Config& config, nbd::TargetPool* targets, PathTracker* paths, Callbacks callbacks);

  void Send(ExportIo export_io, int path);
  // Handles the result of an attempt. Returns false if the dispatcher has not started the attempt.
  bool OnResult(const core::AttemptResult& result);

 private:
  struct PendingIo {
    ExportIo io;
    bool is_flushing = false;  // the write has completed; the flush that makes it durable is in flight
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

// Class ChecksummedExports executes attempts on checksummed exports. It uses one integrity::Volume per
// export, on top of the connections of an nbd::TargetPool, to which it forwards attempts on other exports.
//
// An attempt is one command of a volume, for which the volume issues any number of storage requests; all
// storage requests of a read use the same path. If requests are still in flight when the attempt ends, the
// volume waits for them, but the scheduler does not. The scheduler is not aware of checkpoints; instead, the
// units of a write are counted twice.
//
// Failures and how they are handled:
// - A target whose flush does not cover all connections would break the volume's order of writes. An export
//   is attached only if its target offers FLUSH, and FUA or CAN_MULTI_CONN; nothing is written before that.
// - A draining target must not receive requests, but a volume continues to issue them. They are completed as
//   not executed, so that commands fail and the journal retains its records until the target is active again.
// - An export cannot be attached because the target does not respond or an operator has to repair the export.
//   The failure is logged once per attempt, and the attachment is retried with a backoff.
//
// Owned by the initiator; runs on the event loop's thread. Errors are reported as outcomes of attempts and as
// log events; nothing is thrown.
#ifndef WALNUTSPUR_CHECKSUMMED_CHECKSUMMED_EXPORTS_H_
#define WALNUTSPUR_CHECKSUMMED_CHECKSUMMED_EXPORTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "checksummed/corruption_tracker.h"
#include "checksummed/io_dispatcher.h"
#include "checksummed/path_tracker.h"
#include "core/port.h"
#include "integrity/volume.h"
#include "loop/attempt_key.h"
#include "loop/loop.h"
#include "nbd/config.h"
#include "nbd/payload.h"
#include "nbd/target_pool.h"

namespace walnutspur::checksummed {

// Number of commands of clients and of the scrub since the process started.
struct Counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

class ChecksummedExports : public core::Connector {
 public:
  // `max_connections` limits the number of connections to all targets. `tracker` must outlive this object;
  // `submit` receives the results of attempts.
  ChecksummedExports(event_base* base, const nbd::Config& config, std::size_t max_connections,
                     CorruptionTracker* tracker, core::SubmitInput submit);

  void Start(const core::StartAttempt& attempt) override;
  void Cancel(core::RequestNumber request, int attempt) override;
  // Stops all requests to a target that is draining or terminated, including checkpoints, until Activate.
  void Drain(const TargetId& target) override;
  void Activate(const TargetId& target);

  std::size_t connections() const { return targets_.connections(); }
  // Returns the volume of an export; null for an export without checksums. Valid until the export is attached
  // again.
  const integrity::Volume* volume(std::size_t export_index) const {
    return exports_[export_index].volume.get();
  }
  const Counts& counts() const { return counts_; }
  // Returns the status of the paths to targets with checksummed exports.
  std::vector<PathStatus> paths();

  // Called with each block that does not match its tag and whose fault has not been attributed yet.
  std::function<void(std::size_t export_index, std::uint64_t block)> on_suspected_corruption;

 private:
  struct Export {
    const nbd::Volume* config = nullptr;
    std::unique_ptr<integrity::Volume> volume;  // null for an export without checksums
    bool suspended = true;                      // no requests are sent until the target is known to be active
    bool dispatching = false;                   // prevents reentry into Dispatch
    bool failure_logged = false;                // the failure of the latest attempt to attach has been logged
    Time last_write = 0;                        // time of completion of the latest write
    Time dirty_since = 0;                       // time since which the journal has records; 0 if it has none
    Time attach_backoff = 0;                    // us; delay of the next attempt to attach after a failure
    loop::EventHandle checkpoint_timer;
    loop::EventHandle attach_timer;
  };
  struct PendingAttempt {
    loop::AttemptKey key;
    std::size_t export_index = 0;
    Time started = 0;
    int path = 0;
    std::shared_ptr<const nbd::CommandPayload> payload;
    loop::EventHandle timeout;
  };

  void OnInput(core::Input input);
  void OnIoCompleted(const ExportIo& completed, integrity::IoStatus status, std::string data);
  bool IsTargetSuitable(const Export& exported) const;

  void Attach(std::size_t export_index);
  void Dispatch(std::size_t export_index);
  void OnAttachFailed(Export& exported);
  void CheckpointIfDue(std::size_t export_index);
  void SendIo(std::size_t export_index, integrity::IoRequest request);

  integrity::CommandId AddAttempt(const core::StartAttempt& attempt,
                                  std::shared_ptr<const nbd::CommandPayload> payload);
  void OnResult(std::size_t export_index, integrity::CommandResult result);
  void ReportSuspectedCorruption(std::size_t export_index, const PendingAttempt& attempt,
                                 const integrity::CommandResult& result);
  void Report(integrity::CommandId command, Outcome outcome, core::PayloadRef payload = nullptr);
  void Abandon(integrity::CommandId command, Outcome outcome);

  event_base* base_;
  const nbd::Config& config_;
  core::SubmitInput submit_;
  nbd::TargetPool targets_;
  PathTracker paths_;
  IoDispatcher dispatcher_;
  std::vector<Export> exports_;  // index: position in Config::volumes
  std::map<integrity::CommandId, PendingAttempt> attempts_;
  std::map<loop::AttemptKey, integrity::CommandId> commands_;
  integrity::CommandId next_command_ = 1;
  Counts counts_;
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_CHECKSUMMED_EXPORTS_H_

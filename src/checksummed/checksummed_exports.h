// Executes attempts on checksummed exports: one integrity::Volume for each, on top of the connections of an
// nbd::TargetPool. Attempts on other exports pass through to the pool.
//
// An attempt is one command of a volume, which issues as many storage requests as it needs; all those of a
// read go by one path. Requests that are in flight when the attempt ends are awaited by the volume, not by
// the scheduler. Checkpoints are not requests of the scheduler; the cost of a write counts its units twice
// for them.
//
// Failures and their guards:
// - A target without a flush that covers all connections would break the volume's order of writes. An export
//   is attached only if its target offers FLUSH, and FUA or CAN_MULTI_CONN; nothing is written before.
// - A target that is draining must not get requests, but a volume keeps issuing them. They end as not
//   executed, so that commands fail and the journal keeps its records until the target is active again.
// - An export cannot be attached because the target does not answer or an operator has to repair it. The
//   failure is logged once and the attachment retried with a backoff.
//
// Owned by the initiator; runs on the event loop's thread. Errors are outcomes of attempts and log events;
// nothing is thrown.
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

// Commands of clients and of the scrub since the start.
struct Counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

class ChecksummedExports : public core::Connector {
 public:
  // `max_connections` bounds the connections to all targets. `tracker` must outlive this; `submit` takes the
  // results of attempts.
  ChecksummedExports(event_base* base, const nbd::Config& config, std::size_t max_connections,
                     CorruptionTracker* tracker, core::SubmitInput submit);

  void Start(const core::StartAttempt& attempt) override;
  void Cancel(core::RequestNumber request, int attempt) override;
  // No request is sent to a target that is draining or terminated, checkpoints included, until it is active.
  void Drain(const TargetId& target) override;
  void Activate(const TargetId& target);

  std::size_t connections() const { return targets_.connections(); }
  // Null for an export without checksums. Valid until the export is attached again.
  const integrity::Volume* volume(std::size_t export_index) const {
    return exports_[export_index].volume.get();
  }
  const Counts& counts() const { return counts_; }
  std::vector<PathStatus> paths();  // to targets with checksummed exports

  // Called with each block that did not match its tag and to which no fault could be attributed yet.
  std::function<void(std::size_t export_index, std::uint64_t block)> on_suspected_corruption;

 private:
  struct Export {
    const nbd::Volume* config = nullptr;
    std::unique_ptr<integrity::Volume> volume;  // null: an export without checksums
    bool suspended = true;        // its target takes no requests, until it is known to be active
    bool dispatching = false;     // guards Dispatch against reentry
    bool failure_logged = false;  // of the latest attachment
    Time last_write = 0;          // when the latest write was answered
    Time dirty_since = 0;         // since when the journal has records; 0: it has none
    Time attach_backoff = 0;      // us before the next attempt to attach, after a failure
    loop::EventHandle checkpoint_timer;
    loop::EventHandle attach_timer;
  };
  struct PendingAttempt {
    loop::AttemptKey key;
    std::size_t export_index = 0;  // of the export
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
  std::vector<Export> exports_;  // by the index of the configuration's volume
  std::map<integrity::CommandId, PendingAttempt> attempts_;
  std::map<loop::AttemptKey, integrity::CommandId> commands_;
  integrity::CommandId next_command_ = 1;
  Counts counts_;
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_CHECKSUMMED_EXPORTS_H_

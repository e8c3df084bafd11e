// Carries out attempts on checksummed exports: one integrity::Volume for each, on top of the connections of
// nbd::TargetPool. Attempts on other exports pass through to those.
//
// An attempt is one command of a volume, which asks the box for as many reads and writes as it needs; all of
// a read's go by one path. Whatever of them is under way when the attempt ends is awaited by the volume, not
// by the engine. Checkpoints are the volume's own work: the module has counted a write's units twice for
// them.
//
// Runs on the loop's thread. Owns the volumes and the paths' states; what is known of damage is Damages'.
#ifndef WALNUTSPUR_CHECKSUMMED_CHECKSUMMED_EXPORTS_H_
#define WALNUTSPUR_CHECKSUMMED_CHECKSUMMED_EXPORTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "checksummed/corruption_tracker.h"
#include "core/port.h"
#include "integrity/blame.h"
#include "integrity/volume.h"
#include "loop/loop.h"
#include "nbd/config.h"
#include "nbd/target_pool.h"

namespace walnutspur::checksummed {

struct Counts {
  std::uint64_t reads = 0, writes = 0;  // commands of clients and of the scrub
};

class ChecksummedExports : public core::Connector {
 public:
  // `most` bounds the connections.
  ChecksummedExports(event_base* base, const nbd::Config& config, std::size_t most,
                     CorruptionTracker* damages, core::SubmitInput post);

  void Start(const core::StartAttempt& attempt) override;
  void Cancel(core::RequestNumber serial, int trial) override;
  // Nothing more goes to a box that drains or is gone, checkpoints included, until it is live again.
  void Drain(const TargetId& target) override;
  void Activate(const TargetId& target);

  std::size_t connections() const { return boxes_.connections(); }
  const integrity::Volume* volume(std::size_t number) const { return exports_[number].volume.get(); }
  const Counts& counts() const { return counts_; }
  struct PathStatus {
    std::string box;
    int path = 0;
    integrity::PathState state = integrity::PathState::kHealthy;
  };
  std::vector<PathStatus> paths();  // of boxes with checked exports
  integrity::PathState PathOf(const std::string& box, int path);

  // Called with each block that was found bad and on which no verdict has fallen yet.
  std::function<void(std::size_t number, std::uint64_t block)> on_suspected_corruption;

 private:
  using Key = std::pair<core::RequestNumber, int>;

  struct Export {
    const nbd::Volume* config = nullptr;
    std::unique_ptr<integrity::Volume> volume;
    bool held = false;  // the box takes nothing
    bool pumping = false;
    bool told = false;  // that it is broken
    Time written = 0;   // the last write's answer
    Time dirty_since = 0;
    Time rest = 0;            // before the next try, after a failure
    loop::EventHandle tick;   // checkpoints
    loop::EventHandle again;  // attaching
  };
  struct Out {  // an attempt
    Key key;
    std::size_t number = 0;  // of the export
    Time sent = 0;
    int path = 0;
    std::shared_ptr<const nbd::CommandPayload> payload;
    loop::EventHandle limit;
  };
  struct Asked {  // of a box
    std::size_t number = 0;
    integrity::Io io;      // without its data
    bool syncing = false;  // the write is done, and its flush is under way
  };

  void Post(core::Input input);
  void OnIo(const core::AttemptResult& ended);
  bool Fits(const Export& e) const;
  void Attach(std::size_t number);
  void Pump(std::size_t number);
  void Launch(std::size_t number, integrity::Io io);
  void Ask(const Asked& asked, nbd::Request request, int path, std::vector<integrity::Slice> tail = {});
  void OnResult(std::size_t number, integrity::Result result);
  void Judge(std::size_t number, const Out& out, const integrity::Result& result);
  void Report(integrity::CommandId command, Outcome outcome, core::PayloadRef payload = nullptr);
  void GiveUp(integrity::CommandId command, Outcome outcome);
  void Tick(std::size_t number);
  int Choose(const Export& e, const nbd::Request& request);
  integrity::Place PlaceOf(const Export& e, std::uint64_t block) const;

  event_base* base_;
  const nbd::Config& config_;
  CorruptionTracker* damages_;
  core::SubmitInput post_;
  nbd::TargetPool boxes_;
  std::vector<Export> exports_;  // by the number of the configuration's volume; without a volume: not checked
  std::map<std::string, integrity::Paths> paths_;  // by box
  std::map<integrity::CommandId, Out> out_;
  std::map<Key, integrity::CommandId> commands_;
  std::unordered_map<core::RequestNumber, Asked> asked_;
  integrity::CommandId next_command_ = 1;
  core::RequestNumber next_asked_;
  Counts counts_;
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_CHECKSUMMED_EXPORTS_H_

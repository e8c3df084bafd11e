// One initiator, to be embedded: fronts, engine, connectors and discovery on one loop.
#ifndef WALNUTSPUR_APP_INITIATOR_H_
#define WALNUTSPUR_APP_INITIATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "app/control.h"
#include "checksummed/checksummed_exports.h"
#include "checksummed/corruption_tracker.h"
#include "checksummed/scrub.h"
#include "core/port.h"
#include "core/scheduler_thread.h"
#include "fleet/fleet.h"
#include "http/config.h"
#include "http/discovery_client.h"
#include "http/front_end.h"
#include "http/target_pool.h"
#include "loop/loop.h"
#include "nbd/config.h"
#include "nbd/front_end.h"
#include "pcap/traffic.h"

namespace walnutspur::app {

// What stands on the command line.
struct Options {
  std::string nbd;     // the file of the NBD front; empty: there is none
  std::string record;  // the pcap file that the traffic served is written to
  std::string
      folder;  // of the damage ledger, the scrub's cursors and the control socket; empty: none of them
  checksummed::ScrubOptions scrub;
  std::optional<fleet::FleetOptions> fleet;  // nothing: this initiator knows of no other
  Time ready_by = 8'000'000;  // us from the start by which clients are taken, with or without a list
  std::string replay;         // the pcap file whose streams are played to the fronts; then the initiator ends
};

class Initiator {
 public:
  // Throws std::exception with a message of one line.
  explicit Initiator(http::Config config, const Options& options = {});
  ~Initiator();
  Initiator(const Initiator&) = delete;
  Initiator& operator=(const Initiator&) = delete;

  // Serves until it is told to stop and has answered what it took. Throws std::runtime_error if an older
  // process of the fleet has its name.
  void Run();
  void Stop();  // like SIGTERM; from any thread
  // Reads the configuration anew on SIGHUP, by a function that throws on what is wrong; before Run. Without
  // it the signal is not handled. SIGHUP may be blocked until then, so that none is lost: Run unblocks it.
  void ReloadBy(std::function<http::Config()> read) { read_config_ = std::move(read); }
  void Halt();  // ends at once, whatever is unanswered; from any thread

  event_base* base() { return base_.get(); }
  http::FrontEnd& front() { return *front_; }
  nbd::FrontEnd* nbd_front() { return nbd_front_.get(); }
  const pcap::Player* player() const { return player_.get(); }
  std::size_t box_connections() const { return boxes_ ? boxes_->connections() : 0; }
  const checksummed::CorruptionTracker& damages() const { return *damages_; }
  checksummed::ChecksummedExports* exports() { return boxes_.get(); }
  checksummed::Scrub* scrub() { return scrub_.get(); }

 private:
  void Drain();
  void Leave();
  void Reload();
  void OnList(walnutspur::EndpointUpdate list, const http::EndpointList& raw);

  void Do(const core::StartAttempt& output);
  void Do(const core::AbortAttempt& output) {
    connector(output.protocol).Cancel(output.request, output.attempt);
  }
  void Do(const core::DrainTarget& output);
  void Do(const core::ActivateTarget& output);
  void Do(const core::Response& output);
  void Do(const core::ArmTimer& output);
  void Do(const core::OpenWatch&) { discovery_->OpenWatch(); }
  void Do(const core::StartHealthCheck& output) { targets_->CheckHealth(output.target); }
  core::Connector& connector(core::Protocol wire);

  void StartNbd(const Options& options, const core::SubmitInput& post);
  void AddScrub(checksummed::ScrubOptions scrub, const core::SubmitInput& post);
  std::string Tell(const Control::Words& words);  // what an operator asks by the control socket
  std::string Status();
  void StartFleet(const fleet::FleetOptions& options);
  void TellFleet();
  void StartReplay(const std::string& path);
  core::FrontEnd& front(core::Protocol wire);
  std::vector<core::FrontEnd*> fronts();

  http::Config config_;
  std::function<http::Config()> read_config_;
  loop::EventBasePtr base_;
  core::RequestNumbers serials_;
  nbd::Config nbd_;
  std::unique_ptr<pcap::Recorder> recorder_;
  std::unique_ptr<http::FrontEnd> front_;
  std::unique_ptr<http::TargetPool> targets_;
  std::unique_ptr<http::DiscoveryClient> discovery_;
  std::unique_ptr<nbd::FrontEnd> nbd_front_;
  std::unique_ptr<checksummed::CorruptionTracker> damages_;
  std::unique_ptr<checksummed::ChecksummedExports> boxes_;
  std::unique_ptr<checksummed::Scrub> scrub_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<pcap::Player> player_;
  std::unique_ptr<fleet::Fleet> fleet_;  // null: there is none
  double answers_ = 0, load_ = 0;        // since the fleet was told last; requests a second lately
  std::string failed_;                   // why the process must end
  std::uint64_t next_ring_ = 0;
  std::map<std::uint64_t, loop::EventHandle> rings_;
  Time stopped_ = 0;  // when it ends at the latest, once it has been told to
  loop::EventHandle outputs_, stop_, term_, interrupt_, hangup_, leave_, ready_, last_, tell_;
  std::unique_ptr<core::SchedulerThread> owner_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_INITIATOR_H_

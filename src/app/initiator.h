// Class Initiator constructs the front ends, the scheduler, the connectors and the discovery client, and
// connects them on one event loop. It can be embedded in other programs.
//
// The event loop runs on the thread that calls Run; the scheduler has its own thread.
#ifndef WALNUTSPUR_APP_INITIATOR_H_
#define WALNUTSPUR_APP_INITIATOR_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "app/configuration_reload.h"
#include "app/control.h"
#include "app/fleet_publisher.h"
#include "app/graceful_shutdown.h"
#include "app/handover.h"
#include "app/operator_commands.h"
#include "app/options.h"
#include "app/output_dispatcher.h"
#include "app/process_signals.h"
#include "app/replay.h"
#include "checksummed/checksummed_exports.h"
#include "checksummed/corruption_tracker.h"
#include "checksummed/scrub.h"
#include "core/memory_account.h"
#include "core/port.h"
#include "core/scheduler_thread.h"
#include "http/config.h"
#include "http/discovery_client.h"
#include "http/endpoint_list_cache.h"
#include "http/front_end.h"
#include "http/target_pool.h"
#include "loop/loop.h"
#include "management/server.h"
#include "nbd/config.h"
#include "nbd/front_end.h"
#include "pcap/traffic.h"

namespace walnutspur::app {

class Initiator {
 public:
  // Opens the listeners and starts the scheduler thread. Throws std::exception with a one-line message.
  explicit Initiator(http::Config config, const Options& options = {});
  ~Initiator();
  Initiator(const Initiator&) = delete;
  Initiator& operator=(const Initiator&) = delete;

  // Serves until a shutdown is requested and all accepted requests have a response. Throws FleetError if an
  // older process of the fleet has the same name.
  void Run();
  // Requests a graceful shutdown, like SIGTERM; callable from any thread.
  void Stop();
  // Ends Run immediately, without responses to the requests in flight; callable from any thread.
  void StopNow();
  // Makes SIGHUP reload the configuration with `read`, which throws if the configuration is invalid. Must be
  // called before Run; without this call, SIGHUP is not handled. The caller may block SIGHUP earlier; Run
  // unblocks it.
  void EnableReload(std::function<http::Config()> read) { reload_->set_reader(std::move(read)); }

  event_base* base() { return base_.get(); }
  http::FrontEnd& http_front_end() { return *http_front_end_; }
  nbd::FrontEnd* nbd_front_end() { return nbd_front_end_.get(); }  // null: none
  // Returns the port of the management listener; 0: none.
  int management_port() const { return management_ ? management_->port() : 0; }
  const pcap::Player* player() const { return replay_ ? &replay_->player() : nullptr; }
  std::size_t nbd_target_connections() const { return exports_ ? exports_->connections() : 0; }

 private:
  // Steps of the construction, in order.
  void OpenHttp();
  void OpenNbd(const Options& options);
  void StartScrub(const checksummed::ScrubOptions& options);
  void StartRecording(const std::string& path);
  void OpenDiscovery();
  void HandleSignals();
  void StartScheduler();
  void StartReadyTimer(Time delay);
  void JoinFleet(const fleet::FleetOptions& options);
  void DispatchOutputs();
  void StartReplay(const std::string& path);
  void OpenControl(const std::string& folder);
  void OpenManagement();
  void JoinRunningProcess();

  void RequestShutdown();
  void OnManagementCall(management::CallId id, const management::Call& call);
  void OnCordonResult(const core::CordonResult& result);
  void RecordCordon(const TargetId& target, bool cordoned);
  void AdoptCordon(const TargetId& target, bool cordoned);
  void ShareLimits(int processes);
  void OnProcessCount();
  void AdoptState(const upgrade::ProcessState& state);
  upgrade::ProcessState CurrentState() const;
  void SetReady();
  // Returns the reply to a `health` call.
  std::string HealthReply() const;
  void OnEndpointList(EndpointUpdate update, const http::EndpointList& list);
  void OnObjectRead(const TargetId& target, const std::string& uri, bool good, const std::string& body);
  std::vector<core::FrontEnd*> FrontEnds();

  // Declared in an order that destroys each member before the members that it uses.
  // What the process may use while it is the only one of its initiator.
  struct ProcessLimits {
    int sockets = 0;
    int memory_mb = 0;
  };
  http::Config config_;
  ProcessLimits limits_;
  FleetSize fleet_size_;
  std::set<TargetId> cordoned_;
  http::EndpointListCache endpoint_lists_;
  loop::EventBasePtr base_;
  core::SubmitInput submit_;
  core::RequestNumbers request_numbers_;
  core::MemoryAccount memory_;
  nbd::Config nbd_;
  std::unique_ptr<pcap::Recorder> recorder_;  // null: nothing is recorded
  std::unique_ptr<http::FrontEnd> http_front_end_;
  std::unique_ptr<http::TargetPool> http_targets_;
  std::unique_ptr<http::DiscoveryClient> discovery_;
  std::unique_ptr<nbd::FrontEnd> nbd_front_end_;  // null: none
  std::unique_ptr<checksummed::CorruptionTracker> corruption_;
  std::unique_ptr<checksummed::ChecksummedExports> exports_;  // null: no NBD front end
  std::unique_ptr<checksummed::Scrub> scrub_;                 // null: none
  std::unique_ptr<OperatorCommands> commands_;                // null: no control socket
  std::unique_ptr<Control> control_;                          // null: no control socket
  std::unique_ptr<management::Server> management_;            // null: no management calls
  std::unique_ptr<Handover> handover_;                        // null: no other process can replace this one
  std::unique_ptr<Replay> replay_;                            // null: none
  std::unique_ptr<FleetPublisher> fleet_;                     // null: not a member of a fleet
  std::string failure_;                                       // error that Run throws; empty: none
  std::unique_ptr<OutputDispatcher> dispatcher_;
  std::unique_ptr<ConfigurationReload> reload_;
  std::unique_ptr<GracefulShutdown> shutdown_;
  std::unique_ptr<ProcessSignals> signals_;
  loop::EventHandle outputs_ready_;  // activated by the scheduler thread
  loop::EventHandle ready_timer_;
  std::unique_ptr<core::SchedulerThread> scheduler_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_INITIATOR_H_

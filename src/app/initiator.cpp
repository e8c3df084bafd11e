#include "app/initiator.h"

#include <event2/thread.h>
#include <malloc.h>

#include <algorithm>
#include <exception>
#include <utility>

#include "app/endpoint_list.h"
#include "app/errors.h"
#include "app/scrub_setup.h"
#include "core/clock.h"
#include "integrity/fault_attribution.h"
#include "integrity/layout.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::app {
namespace {

// Maximum number of connections of NBD clients, and also of connections to NBD targets.
constexpr std::size_t kMaxNbdConnections = 64;

// Number of sockets of the process per allowed NBD connection: a sixteenth of them for the connections of NBD
// clients, and a sixteenth for those to NBD targets.
constexpr int kSocketsPerNbdConnection = 16;

// Maximum size of the recorded traffic, bytes; the platform counts files as memory.
constexpr std::size_t kMaxRecordedBytes = 64 << 20;

// Allocations from this size on are mapped one by one, and freed memory at the end of the heap is returned
// from this amount on, bytes.
constexpr int kMappedAllocationBytes = 32 << 10;
constexpr int kTrimmedHeapBytes = 256 << 10;

// Amount of freed memory that is not returned to the kernel with checksummed exports, bytes.
constexpr int kRetainedHeapBytes = 4 << 20;

loop::EventBasePtr MakeEventBase() {
  static const int result = evthread_use_pthreads();
  if (result != 0) {
    throw EventLoopError("libevent cannot enable its thread support");
  }
  return loop::EventBasePtr(event_base_new());
}

// Returns freed memory to the kernel soon. Otherwise the heap would keep the peak of each thread and of each
// size, and these peaks would count together.
void LimitHeapOverhead() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_MMAP_THRESHOLD, kMappedAllocationBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimmedHeapBytes);
}

// Keeps freed memory in the process. Otherwise the buffer of each journal record and checkpoint would be
// mapped and unmapped page by page.
void RetainFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, kRetainedHeapBytes);
  mallopt(M_TRIM_THRESHOLD, kRetainedHeapBytes);
}

http::EndpointList ReadKnownEndpoints(const http::Config& config) {
  try {
    return config.cached_list.is_object() ? http::ReadEndpointList(config, config.cached_list)
                                          : http::EndpointList{};
  } catch (const std::exception& error) {
    throw ConfigError(std::string("'known' is not a valid endpoint list: ") + error.what());
  }
}

}  // namespace

Initiator::Initiator(http::Config config, const Options& options)
    : config_(std::move(config)),
      limits_{config_.sockets, config_.memory_mb},
      base_(MakeEventBase()),
      submit_([this](core::Input input) { scheduler_->Submit(std::move(input)); }),
      memory_(config_.memory_bytes()) {
  LimitHeapOverhead();
  fleet_size_.live_instances = config_.settings.instances;
  fleet_size_.traffic_fraction = config_.settings.traffic_fraction;
  HandleSignals();
  corruption_ = std::make_unique<checksummed::CorruptionTracker>(base_.get(), options.folder);
  if (config_.management) {
    JoinRunningProcess();
  }
  OpenHttp();
  if (!options.nbd.empty()) {
    OpenNbd(options);
  }
  if (!options.record.empty()) {
    StartRecording(options.record);
  }
  OpenDiscovery();
  StartScheduler();
  StartReadyTimer(options.ready_timeout);
  if (options.fleet) {
    JoinFleet(*options.fleet);
  }
  if (config_.management) {
    OpenManagement();
  }
  DispatchOutputs();
  if (!options.replay.empty()) {
    StartReplay(options.replay);
  }
  if (!options.folder.empty()) {
    OpenControl(options.folder);
  }
  if (handover_) {
    handover_->Listen();
  }
  if (http_front_end_->ready()) {
    SetReady();
  }
}

Initiator::~Initiator() = default;

void Initiator::HandleSignals() {
  shutdown_ = std::make_unique<GracefulShutdown>(
      base_.get(), [this] { return FrontEnds(); },
      [this] {
        if (fleet_) {
          fleet_->Publish();
        }
      });
  signals_ = std::make_unique<ProcessSignals>(
      base_.get(), [this] { RequestShutdown(); }, [this] { reload_->Reload(); });
}

void Initiator::OpenHttp() {
  http_targets_ = std::make_unique<http::TargetPool>(base_.get(), config_, &memory_, submit_);
  http_targets_->is_client_connected = [this](core::RequestNumber request) {
    return http_front_end_->IsClientConnected(request);
  };
  http_targets_->on_digest_checked = [this](const TargetId& target, const std::string& uri, bool good,
                                            const std::string& body) {
    OnObjectRead(target, uri, good, body);
  };
  http_front_end_ =
      std::make_unique<http::FrontEnd>(base_.get(), config_, &request_numbers_, &memory_, submit_);
}

// Over HTTP a target has one path, and a digest covers a complete object, which is recorded as block 0.
void Initiator::OnObjectRead(const TargetId& target, const std::string& uri, bool good,
                             const std::string& body) {
  if (good && corruption_->has_no_known_corruption()) {
    return;
  }
  integrity::Reading reading;
  reading.good = good;
  reading.data_sum = integrity::DataSum(body);
  corruption_->AddReading({target, uri, 0}, 1, reading, core::Now());
}

void Initiator::OpenNbd(const Options& options) {
  nbd_ = nbd::LoadConfig(options.nbd, config_.names.classes, config_.names.plans, config_.settings,
                         config_.shards);
  nbd_.connect_timeout = std::min(nbd_.connect_timeout, config_.connect_timeout);
  const auto max_connections = std::clamp<std::size_t>(
      static_cast<std::size_t>(config_.sockets / kSocketsPerNbdConnection), 1, kMaxNbdConnections);
  exports_ = std::make_unique<checksummed::ChecksummedExports>(base_.get(), nbd_, max_connections,
                                                               corruption_.get(), submit_);
  nbd_front_end_ = std::make_unique<nbd::FrontEnd>(base_.get(), nbd_, config_.settings, max_connections,
                                                   &request_numbers_, &memory_, submit_);
  const bool any_checksummed = std::any_of(nbd_.volumes.begin(), nbd_.volumes.end(),
                                           [](const nbd::Volume& volume) { return volume.checksummed; });
  if (!any_checksummed) {
    return;
  }
  RetainFreedMemory();
  if (options.scrub.enabled) {
    StartScrub(options.scrub);
  }
}

void Initiator::StartScrub(const checksummed::ScrubOptions& options) {
  const checksummed::ScrubOptions completed = SetUpScrub(options, nbd_, corruption_.get(), &config_.settings);
  scrub_ = std::make_unique<checksummed::Scrub>(base_.get(), nbd_, completed, &request_numbers_, submit_);
  exports_->on_suspected_corruption = [this](std::size_t number, std::uint64_t block) {
    scrub_->Recheck(number, block);
  };
}

void Initiator::StartRecording(const std::string& path) {
  recorder_ = std::make_unique<pcap::Recorder>(path, kMaxRecordedBytes);
  const auto attach = [this](bufferevent* stream) { recorder_->Attach(stream); };
  http_front_end_->on_accept = attach;
  if (nbd_front_end_) {
    nbd_front_end_->on_accept = attach;
  }
}

void Initiator::OpenDiscovery() {
  discovery_ = std::make_unique<http::DiscoveryClient>(
      base_.get(), config_, [this](EndpointUpdate update, const http::EndpointList& list) {
        OnEndpointList(std::move(update), list);
      });
  reload_ = std::make_unique<ConfigurationReload>(base_.get(), &config_, discovery_.get(), submit_);
}

void Initiator::StartScheduler() {
  outputs_ready_ = loop::EventHandle(base_.get(), -1, EV_PERSIST,
                                     [this] { dispatcher_->Dispatch(scheduler_->TakeOutputs()); });
  const http::EndpointList known = ReadKnownEndpoints(config_);
  scheduler_ = std::make_unique<core::SchedulerThread>(config_.settings, config_.seed,
                                                       [this] { outputs_ready_.Activate(); });
  if (fleet_size_.processes > 1) {
    scheduler_->Submit(core::FleetResized{fleet_size_});
  }
  for (const TargetId& target : cordoned_) {
    scheduler_->Submit(core::CordonRequested{0, target, true, true});
  }
  if (!config_.cached_list.is_object()) {
    return;
  }
  // The endpoints in the configuration may be outdated: the watch requests the changes since then.
  discovery_->SetCachedList(known);
  OnEndpointList({EndpointUpdateKind::kCached, known.endpoints}, known);
}

// Reports ready after `delay` even without endpoints: rejecting clients does no harm, but the platform never
// uses an initiator that does not report ready.
void Initiator::StartReadyTimer(Time delay) {
  ready_timer_ = loop::MakeTimer(base_.get(), [this] { SetReady(); });
  ready_timer_.Start(delay);
}

void Initiator::JoinFleet(const fleet::FleetOptions& options) {
  FleetPublisher::Hooks hooks;
  hooks.on_size = [this](FleetSize size) {
    size.processes = fleet_size_.processes;
    fleet_size_ = size;
    scheduler_->Submit(core::FleetResized{size});
  };
  hooks.on_removed = [this](const std::string& reason) {
    failure_ = "fleet: " + reason;
    StopNow();
  };
  hooks.is_draining = [this] { return shutdown_->begun(); };
  fleet_ = std::make_unique<FleetPublisher>(base_.get(), options, http_targets_.get(), hooks);
}

void Initiator::DispatchOutputs() {
  OutputDestinations destinations;
  destinations.discovery = discovery_.get();
  destinations.http = http_front_end_.get();
  destinations.http_targets = http_targets_.get();
  destinations.nbd = nbd_front_end_.get();
  destinations.exports = exports_.get();
  destinations.scrub = scrub_.get();
  destinations.fleet = fleet_.get();
  destinations.on_cordon_result = [this](const core::CordonResult& result) { OnCordonResult(result); };
  dispatcher_ = std::make_unique<OutputDispatcher>(base_.get(), destinations, submit_);
}

void Initiator::StartReplay(const std::string& path) {
  ReplayTargets targets;
  targets.http_config = &config_;
  targets.http = http_front_end_.get();
  targets.nbd_config = &nbd_;
  targets.nbd = nbd_front_end_.get();
  replay_ = std::make_unique<Replay>(base_.get(), path, targets, [this] { RequestShutdown(); });
}

// A failure is only logged, since the process can serve clients without a control socket.
void Initiator::OpenControl(const std::string& folder) {
  StatusSources status;
  status.nbd = &nbd_;
  status.corruption = corruption_.get();
  status.exports = exports_.get();
  status.scrub = scrub_.get();
  commands_ = std::make_unique<OperatorCommands>(status, scrub_.get(), fleet_.get());
  try {
    control_ =
        std::make_unique<Control>(base_.get(), ControlPath(folder),
                                  [this](const Control::Words& words) { return commands_->Execute(words); });
  } catch (const std::exception& error) {
    log::Event(log::Level::kError, log::kControlSocketFailed, {{"error", error.what()}});
  }
}

void Initiator::OpenManagement() {
  management_ = std::make_unique<management::Server>(
      base_.get(), *config_.management, management::MaxConnections(config_.sockets),
      [this](management::CallId id, const management::Call& call) { OnManagementCall(id, call); });
}

// A cordon is replied to once the scheduler's outputs for it have been executed.
void Initiator::OnManagementCall(management::CallId id, const management::Call& call) {
  if (call.kind == management::CallKind::kHealth) {
    management_->Reply(id, HealthReply());
    return;
  }
  scheduler_->Submit(core::CordonRequested{id, call.target, call.kind == management::CallKind::kCordon});
}

std::string Initiator::HealthReply() const {
  if (shutdown_->begun()) {
    return management::FormatError("shutting down");
  }
  if (!http_front_end_->ready()) {
    return management::FormatError("no endpoint list has been received yet");
  }
  return management::FormatDone("serving");
}

void Initiator::OnCordonResult(const core::CordonResult& result) {
  if (!result.is_known) {
    management_->Reply(result.call,
                       management::FormatError("no endpoint list has contained the target " + result.target));
    return;
  }
  RecordCordon(result.target, result.cordoned);
  if (handover_) {
    handover_->SendCordon(result.target, result.cordoned);
  }
  const std::string state = result.cordoned ? " is cordoned" : " is not cordoned";
  management_->Reply(result.call, management::FormatDone("target " + result.target + state));
}

void Initiator::RecordCordon(const TargetId& target, bool cordoned) {
  if (cordoned) {
    cordoned_.insert(target);
  } else {
    cordoned_.erase(target);
  }
}

void Initiator::AdoptCordon(const TargetId& target, bool cordoned) {
  RecordCordon(target, cordoned);
  scheduler_->Submit(core::CordonRequested{0, target, cordoned, true});
}

// The processes of an initiator count as one, so each may use its share of the limits.
void Initiator::ShareLimits(int processes) {
  config_.sockets = limits_.sockets / processes;
  config_.memory_mb = limits_.memory_mb / processes;
  memory_.SetProcessLimit(config_.memory_bytes());
  fleet_size_.processes = processes;
}

void Initiator::OnProcessCount() {
  ShareLimits(handover_->processes());
  http_front_end_->SetSocketLimit(config_.sockets);
  http_targets_->SetSocketLimit(config_.sockets);
  scheduler_->Submit(core::FleetResized{fleet_size_});
}

// Joins the process that serves the same address, if there is one, and starts from its state.
void Initiator::JoinRunningProcess() {
  const auto folder = SharedFolder();
  if (!folder || config_.listen.port == 0) {
    return;
  }
  Handover::Hooks hooks;
  hooks.state = [this] { return CurrentState(); };
  hooks.on_cordon = [this](const TargetId& target, bool cordoned) { AdoptCordon(target, cordoned); };
  hooks.on_process_count = [this] { OnProcessCount(); };
  hooks.hand_over_clients = [this] { http_front_end_->HandOver(); };
  hooks.take_clients_back = [this] { http_front_end_->TakeBack(); };
  handover_ = std::make_unique<Handover>(
      base_.get(), upgrade::SocketPath(*folder, config_.listen.host, config_.listen.port), hooks);
  if (const auto state = handover_->Join()) {
    AdoptState(*state);
  }
  ShareLimits(handover_->processes());
}

// The revision of a list is valid at the discovery service that sent it only.
void Initiator::AdoptState(const upgrade::ProcessState& state) {
  cordoned_.insert(state.cordoned.begin(), state.cordoned.end());
  if (state.discovery != loop::ToString(config_.discovery) || !state.endpoint_list.is_object()) {
    return;
  }
  try {
    http::ReadEndpointList(config_, state.endpoint_list);
    config_.cached_list = state.endpoint_list;
  } catch (const std::exception& error) {
    log::Event(log::Level::kWarn, log::kHandoverListRejected, {{"error", error.what()}});
  }
}

upgrade::ProcessState Initiator::CurrentState() const {
  return {loop::ToString(config_.discovery),
          endpoint_lists_.Format(config_.names),
          {cordoned_.begin(), cordoned_.end()}};
}

void Initiator::SetReady() {
  http_front_end_->set_ready();
  if (handover_) {
    handover_->AnnounceReady();
  }
}

void Initiator::Run() {
  signals_->Start(reload_->enabled());
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
  if (!failure_.empty()) {
    throw FleetError(failure_);
  }
  if (fleet_) {
    fleet_->Leave();
  }
}

void Initiator::Stop() { signals_->RequestShutdown(); }

void Initiator::StopNow() { event_base_loopbreak(base_.get()); }

void Initiator::RequestShutdown() { shutdown_->Begin(config_.max_deadline); }

void Initiator::OnEndpointList(EndpointUpdate update, const http::EndpointList& list) {
  UpdateAddresses(update, list, http_targets_.get());
  const bool has_list = update.kind == EndpointUpdateKind::kFull ||
                        update.kind == EndpointUpdateKind::kDelta ||
                        update.kind == EndpointUpdateKind::kCached;
  if (has_list) {
    SetReady();
  }
  if (!list.endpoints.empty()) {
    endpoint_lists_.Apply(list);
  }
  AddUnlistedTargets(nbd_, &update);
  scheduler_->Submit(core::EndpointsUpdated{std::move(update)});
}

std::vector<core::FrontEnd*> Initiator::FrontEnds() {
  std::vector<core::FrontEnd*> front_ends{http_front_end_.get()};
  if (nbd_front_end_) {
    front_ends.push_back(nbd_front_end_.get());
  }
  if (scrub_) {
    front_ends.push_back(scrub_.get());
  }
  return front_ends;
}

}  // namespace walnutspur::app

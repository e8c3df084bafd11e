#include "app/initiator.h"

#include <event2/thread.h>
#include <malloc.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "app/fleet_settings.h"
#include "filestore/atomic_file.h"
#include "integrity/cursor.h"
#include "log/log.h"

namespace walnutspur::app {
namespace {

constexpr Time kStay = 450'000;                  // us after SIGTERM in which new clients still come
constexpr Time kAnswer = 100'000;                // us before the end by which all is answered
constexpr std::size_t kMostNbd = 64;             // clients, and connections to boxes
constexpr int kNbdPart = 16;                     // of the descriptors each has one in so many
constexpr std::size_t kMostRecorded = 64 << 20;  // bytes: files count as memory

constexpr Time kLook = 50'000;                    // us between looks whether all is answered
constexpr Time kTell = 1'000'000;                 // us between looks at what the fleet is told
constexpr double kLoadGain = 0.2;                 // weight of the newest second's requests
constexpr Time kLongestMost = 3'000'000;          // us; the platform counts a longer deadline as this one
constexpr Time kScrubPatience = 5'000'000;        // us that a scrub's read may wait for its turn
constexpr int kKeptMemory = 4 << 20;              // bytes that free leaves with the program
constexpr const char* kCursors = "scrub.cursor";  // in the folder
constexpr double kScrubWorth = 0.01;              // of its class and of its plan
constexpr Time kKilled = 600'000;                 // us after the longest deadline; SIGKILL comes at 0.7 s

loop::EventBasePtr MakeBase() {
  static const int threads = evthread_use_pthreads();
  if (threads != 0) throw std::runtime_error("libevent has no threads");
  return loop::EventBasePtr(event_base_new());
}

}  // namespace

Initiator::Initiator(http::Config config, const Options& options)
    : config_(std::move(config)), base_(MakeBase()) {
  std::signal(SIGPIPE, SIG_IGN);
  const core::SubmitInput post = [this](core::Input input) { owner_->Submit(std::move(input)); };
  outputs_ = loop::EventHandle(base_.get(), -1, EV_PERSIST, [this] {
    for (const core::Output& output : owner_->TakeOutputs())
      std::visit([this](const auto& o) { Do(o); }, output);
  });
  damages_ = std::make_unique<checksummed::CorruptionTracker>(base_.get(), options.folder);
  targets_ = std::make_unique<http::TargetPool>(base_.get(), config_, post);
  targets_->is_client_connected = [this](core::RequestNumber serial) {
    return front_->IsClientConnected(serial);
  };
  // By HTTP a box has one path, and a whole object is what is damaged or not.
  targets_->on_digest_checked = [this](const TargetId& target, const std::string& uri, bool good,
                                       const std::string& body) {
    if (good && damages_->has_no_known_corruption()) return;
    integrity::Reading reading;
    reading.good = good;
    reading.data_sum = integrity::DataSum(body);
    damages_->AddReading({target, uri, 0}, 1, reading, core::Now());
  };
  front_ = std::make_unique<http::FrontEnd>(base_.get(), config_, &serials_, post);
  if (!options.nbd.empty()) StartNbd(options, post);
  if (!options.record.empty()) {
    recorder_ = std::make_unique<pcap::Recorder>(options.record, kMostRecorded);
    const auto attach = [this](bufferevent* stream) { recorder_->Attach(stream); };
    front_->on_accept = attach;
    if (nbd_front_) nbd_front_->on_accept = attach;
  }
  discovery_ = std::make_unique<http::DiscoveryClient>(
      base_.get(), config_, [this](walnutspur::EndpointUpdate list, const http::EndpointList& raw) {
        OnList(std::move(list), raw);
      });
  term_ = loop::EventHandle(base_.get(), SIGTERM, EV_SIGNAL | EV_PERSIST, [this] { Drain(); });
  // An event of its own: activating a signal's event by hand calls nothing.
  stop_ = loop::EventHandle(base_.get(), -1, EV_PERSIST, [this] { Drain(); });
  hangup_ = loop::EventHandle(base_.get(), SIGHUP, EV_SIGNAL | EV_PERSIST, [this] { Reload(); });
  interrupt_ = loop::EventHandle(base_.get(), SIGINT, EV_SIGNAL | EV_PERSIST, [this] { Drain(); });
  leave_ = loop::MakeTimer(base_.get(), [this] { Leave(); });
  // What is still open is shut before it is closed, however late the loop is: a close over unread bytes
  // resets.
  last_ = loop::MakeTimer(base_.get(), [this] {
    for (core::FrontEnd* front : fronts()) front->BeginGracefulShutdown(-kAnswer);
    event_base_loopbreak(base_.get());
  });
  http::EndpointList known;
  try {
    if (config_.known.is_object()) known = http::ReadEndpointList(config_, config_.known);
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("'known' cannot be read: ") + error.what());
  }
  // What was known at the last start may be old: discovery is asked for what came after it.
  owner_ = std::make_unique<core::SchedulerThread>(config_.settings, config_.seed,
                                                   [this] { outputs_.Activate(); });
  if (config_.known.is_object()) {
    discovery_->SetCachedList(known);
    OnList({walnutspur::EndpointUpdateKind::kCached, known.endpoints}, known);
  }
  // Clients are refused unharmed without a list; nobody is put to use that never says it is ready.
  ready_ = loop::MakeTimer(base_.get(), [this] { front_->set_ready(); });
  ready_.Start(options.ready_by);
  if (options.fleet) StartFleet(*options.fleet);
  if (!options.replay.empty()) StartReplay(options.replay);
  if (options.folder.empty()) return;
  try {  // the program serves without it as well
    control_ = std::make_unique<Control>(base_.get(), ControlPath(options.folder),
                                         [this](const Control::Words& words) { return Tell(words); });
  } catch (const std::exception& error) {
    log::Event(log::Level::kError, "no_control_socket", {{"what", error.what()}});
  }
}

std::string Initiator::Tell(const Control::Words& words) {
  const std::string word = words.empty() ? "" : words[0];
  if (word == "status" && words.size() == 1) return Status();
  if (word == "fleet")
    return fleet_ ? fleet_->Execute({words.begin() + 1, words.end()})
                  : "error: there is no fleet: the settings have no [fleet] table\n";
  if (word != "pause" && word != "resume" && word != "recheck")
    return "error: unknown command; allowed are status, fleet view, pause, resume and recheck EXPORT BLOCK\n";
  if (!scrub_) return "error: there is no scrub: [scrub] on is false, or no export has checksums\n";
  if (word != "recheck") {
    scrub_->Pause(word == "pause");
    return "ok\n";
  }
  if (words.size() != 3) return "error: recheck takes an export's name and a block's number\n";
  std::uint64_t block = 0;
  const std::string& number = words[2];
  const auto read = std::from_chars(number.data(), number.data() + number.size(), block);
  for (std::size_t i = 0; i < nbd_.volumes.size(); ++i) {
    const nbd::Volume& volume = nbd_.volumes[i];
    if (!volume.checksummed || volume.front.name != words[1]) continue;
    const std::uint64_t blocks = volume.front.size / integrity::kBlockBytes;
    if (read.ec != std::errc() || read.ptr != number.data() + number.size() || block >= blocks)
      return "error: " + number + " is no block of the export; allowed are 0 to " +
             std::to_string(blocks - 1) + "\n";
    scrub_->Recheck(i, block);
    return "ok\n";
  }
  return "error: there is no export " + words[1] + " with checksums\n";
}

std::string Initiator::Status() {
  using nlohmann::json;
  json all = {{"ledger",
               {{"damaged", damages_->corruption_log().damaged_count()},
                {"all", damages_->corruption_log().entries().size()},
                {"dropped", damages_->corruption_log().dropped()},
                {"open_cases", damages_->investigations().open_count()}}},
              {"exports", json::array()},
              {"paths", json::array()},
              {"scrub", {{"on", scrub_ != nullptr}, {"paused", scrub_ && scrub_->paused()}}}};
  for (std::size_t i = 0; i < nbd_.volumes.size(); ++i) {
    const integrity::Volume* volume = boxes_->volume(i);
    if (!volume) continue;
    using State = integrity::Volume::State;
    const State state = volume->state();
    json one = {{"name", nbd_.volumes[i].front.name},
                {"box", nbd_.volumes[i].target},
                {"state", state == State::kReady    ? "ready"
                          : state == State::kBroken ? "broken"
                                                    : "attaching"},
                {"open", volume->pending_commands()}};
    if (state == State::kBroken) one["why"] = volume->error();
    if (state == State::kReady)
      one.update({{"journal", volume->superblock().geometry.journal_size},
                  {"journal_used", volume->journal_used()},
                  {"checkpoints", volume->checkpoints()},
                  {"lost_in_journal", volume->damaged_blocks().size()}});
    all["exports"].push_back(std::move(one));
  }
  if (boxes_) {
    for (const auto& path : boxes_->paths())
      all["paths"].push_back(
          {{"box", path.target}, {"path", path.path}, {"state", integrity::NameOf(path.state)}});
  }
  if (scrub_) {
    all["scrub"].update({{"requests", scrub_->requests()}, {"failed", scrub_->failed()}});
    for (const auto& job : scrub_->status())
      all["scrub"]["exports"].push_back({{"name", job.name},
                                         {"position", job.position},
                                         {"total", job.total},
                                         {"rounds", job.rounds},
                                         {"rate", job.rate},
                                         {"in_flight", job.in_flight}});
  }
  return all.dump(2) + "\n";
}

void Initiator::StartNbd(const Options& options, const core::SubmitInput& post) {
  nbd_ = nbd::LoadConfig(options.nbd, config_.names.classes, config_.names.plans, config_.settings,
                         config_.shards);
  nbd_.connect_timeout = std::min(nbd_.connect_timeout, config_.connect_timeout);
  const std::size_t most =
      std::clamp<std::size_t>(static_cast<std::size_t>(config_.sockets / kNbdPart), 1, kMostNbd);
  boxes_ = std::make_unique<checksummed::ChecksummedExports>(base_.get(), nbd_, most, damages_.get(), post);
  nbd_front_ = std::make_unique<nbd::FrontEnd>(base_.get(), nbd_, config_.settings, most, &serials_, post);
  const bool checks =
      std::any_of(nbd_.volumes.begin(), nbd_.volumes.end(), [](const auto& v) { return v.checksummed; });
  // Buffers of a record or a checkpoint would else come from and go back to the kernel each time, page by
  // page.
  if (checks) {
    mallopt(M_MMAP_THRESHOLD, kKeptMemory);
    mallopt(M_TRIM_THRESHOLD, kKeptMemory);
  }
  if (checks && options.scrub.enabled) AddScrub(options.scrub, post);
}

// The scrub's class and plan are the module's own: no client can name them, and they earn next to nothing.
void Initiator::AddScrub(checksummed::ScrubOptions scrub, const core::SubmitInput& post) {
  RequestClass cls;
  cls.latency_objective = cls.deadline = scrub.deadline = kScrubPatience;
  cls.priority_weight = kScrubWorth;
  scrub.request_class = static_cast<int>(config_.settings.classes.size());
  config_.settings.classes.push_back(cls);
  // The floor is the plan's reserve, the budget its rate; beyond the floor it has next to no part in what is
  // left.
  const double units = nbd::UnitsOf(nbd_, static_cast<std::uint32_t>(scrub.chunk * integrity::kBlockBytes));
  Plan plan;
  plan.rate = scrub.job.requests_a_second * units;
  plan.reserved_rate = std::min(scrub.job.floor_a_second * units, plan.rate);
  plan.weight = kScrubWorth;
  plan.priority_factor = kScrubWorth;
  scrub.plan = static_cast<int>(config_.settings.plans.size());
  config_.settings.plans.push_back(plan);
  scrub.slow_start_duration = config_.settings.rules.slow_start_duration;
  if (filestore::FileStore* keeper = damages_->file_store()) {
    const std::string path = damages_->folder() + "/" + kCursors;
    std::string what;
    if (const auto bytes = filestore::ReadWholeFile(path)) {
      const auto cursors = integrity::DecodeCursors(*bytes, &what);
      if (cursors) scrub.cursors = *cursors;
      if (!cursors) log::Event(log::Level::kWarn, "scrub_begins_anew", {{"file", path}, {"what", what}});
    }
    scrub.save_cursors = [keeper](std::string bytes) { keeper->Put(kCursors, std::move(bytes)); };
  }
  scrub_ = std::make_unique<checksummed::Scrub>(base_.get(), nbd_, scrub, &serials_, post);
  boxes_->on_suspected_corruption = [this](std::size_t number, std::uint64_t block) {
    scrub_->Recheck(number, block);
  };
}

// The streams of a file take the place of clients: each goes to the front whose protocol it speaks.
void Initiator::StartReplay(const std::string& path) {
  const std::vector<pcap::Stream> streams = pcap::ReadStreams(path);
  const auto address_of = [this](const pcap::Stream& stream) -> loop::Address {
    if (!pcap::LooksLikeNbd(stream.to_server.bytes()))
      return {config_.listen.host, static_cast<std::uint16_t>(front_->port())};
    if (!nbd_front_) return {};
    return {loop::ParseAddress(nbd_.listen).host, static_cast<std::uint16_t>(nbd_front_->port())};
  };
  const Time quiet = std::max(kLongestMost, config_.longest_deadline) + kKilled;
  player_ = std::make_unique<pcap::Player>(base_.get(), streams, address_of, quiet, [this] {
    std::size_t sent = 0, received = 0;
    for (const auto& result : player_->results())
      sent += result.sent.size(), received += result.received.size();
    std::printf("walnutspur: replayed %zu streams, %zu bytes, answered with %zu\n", player_->results().size(),
                sent, received);
    Drain();
  });
}

Initiator::~Initiator() { owner_.reset(); }

void Initiator::Run() {
  term_.Start();
  interrupt_.Start();
  if (read_config_) {
    hangup_.Start();
    sigset_t hangup;
    sigemptyset(&hangup);
    sigaddset(&hangup, SIGHUP);
    pthread_sigmask(SIG_UNBLOCK, &hangup, nullptr);
  }
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
  if (!failed_.empty()) throw std::runtime_error(failed_);
  if (fleet_) fleet_->Leave();
}

void Initiator::Stop() { stop_.Activate(); }

void Initiator::StartFleet(const fleet::FleetOptions& options) {
  fleet::FleetHooks hooks;
  hooks.log = [](bool warning, const std::string& kind, const std::vector<log::Field>& fields) {
    log::Event(warning ? log::Level::kWarn : log::Level::kInfo, kind, fields);
  };
  hooks.on_size = [this](int live, double part) { owner_->Submit(core::FleetResized{{live, part}}); };
  hooks.on_end = [this](const std::string& why) {
    failed_ = "fleet: " + why;
    Halt();
  };
  fleet_ = OpenFleet(base_.get(), options, std::move(hooks));
  tell_ = loop::MakeTimer(base_.get(), [this] { TellFleet(); });
  tell_.Start(kTell);
}

void Initiator::TellFleet() {
  tell_.Start(kTell);
  load_ += kLoadGain * (std::exchange(answers_, 0) * 1e6 / kTell - load_);
  fleet::Facts facts;
  facts.phase = stopped_ > 0 ? fleet::Phase::kDraining : fleet::Phase::kServing;
  facts.load = load_;
  facts.connections = targets_->connections_by_target();
  fleet_->Publish(facts);
}

void Initiator::Halt() { event_base_loopbreak(base_.get()); }

void Initiator::OnList(walnutspur::EndpointUpdate list, const http::EndpointList& raw) {
  for (std::size_t i = 0; i < raw.endpoints.size(); ++i) {
    if (raw.endpoints[i].state == walnutspur::EndpointState::kTerminated) {
      targets_->Remove(raw.endpoints[i].target);
    } else if (!raw.addresses[i].empty()) {
      targets_->SetAddress(raw.endpoints[i].target, raw.addresses[i]);
    }
  }
  if (list.kind == walnutspur::EndpointUpdateKind::kFull) {
    std::set<TargetId> named;
    for (const auto& entry : raw.endpoints) named.insert(entry.target);
    targets_->RetainOnly(named);
  }
  if (list.kind != walnutspur::EndpointUpdateKind::kFailed) front_->set_ready();
  if (list.kind == walnutspur::EndpointUpdateKind::kFull ||
      list.kind == walnutspur::EndpointUpdateKind::kCached) {
    for (const nbd::Target& box :
         nbd_.targets) {  // a complete list would take those away that it never names
      if (box.listed) continue;
      Endpoint entry;
      entry.target = box.id;
      entry.shard = box.shard;
      entry.accepts_new_objects = false;
      list.endpoints.push_back(entry);
    }
  }
  owner_->Submit(core::EndpointsUpdated{std::move(list)});
}

core::Connector& Initiator::connector(core::Protocol wire) {
  if (wire != core::Protocol::kHttp) return *boxes_;
  return *targets_;
}

std::vector<core::FrontEnd*> Initiator::fronts() {
  std::vector<core::FrontEnd*> all{front_.get()};
  if (nbd_front_) all.push_back(nbd_front_.get());
  if (scrub_) all.push_back(scrub_.get());
  return all;
}

core::FrontEnd& Initiator::front(core::Protocol wire) {
  if (wire == core::Protocol::kNbd) return *nbd_front_;
  if (wire == core::Protocol::kInternal) return *scrub_;
  return *front_;
}

// Nothing is begun for a client that has left, though the engine decided so before it knew.
void Initiator::Do(const core::StartAttempt& output) {
  if (front(output.protocol).IsClientConnected(output.request))
    return connector(output.protocol).Start(output);
  core::AttemptResult ended;
  ended.request = output.request;
  ended.attempt = output.attempt;
  ended.outcome = Outcome::kNotSent;
  owner_->Submit(std::move(ended));
}

void Initiator::Do(const core::DrainTarget& output) {
  targets_->Drain(output.target);
  if (boxes_) boxes_->Drain(output.target);
  if (scrub_) scrub_->OnTargetState(output.target, false, 0);
}

void Initiator::Do(const core::ActivateTarget& output) {
  if (boxes_) boxes_->Activate(output.target);
  if (scrub_) scrub_->OnTargetState(output.target, true, output.started_at);
}

void Initiator::Do(const core::Response& output) {
  if (scrub_ && output.protocol != core::Protocol::kInternal) scrub_->ObserveResponse(output);
  ++answers_;
  front(output.protocol).Respond(output);
}

void Initiator::Do(const core::ArmTimer& output) {
  const std::uint64_t number = next_ring_++;
  const std::int64_t mark = output.timer_id;
  rings_[number] = loop::MakeTimer(base_.get(), [this, number, mark] {
    rings_.erase(number);
    owner_->Submit(core::TimerExpired{mark});
  });
  rings_[number].Start(output.delay);
}

// SIGTERM: all goes on for as long as clients may still come, and then for as long as they keep connections:
// what they would ask on those reaches no other initiator. Shortly before the program would be killed
// connections end with their next answer, soon enough for it to be a served one
// (limits/shutdown_deadline_estimate.h).
void Initiator::Drain() {
  if (stopped_ != 0) return;
  stopped_ = core::Now();
  leave_.Start(kStay);
  const Time last = std::min(kLongestMost, config_.longest_deadline) + kKilled;
  last_.Start(last);
  stopped_ += last;
  if (fleet_) TellFleet();
  for (core::FrontEnd* front : fronts()) front->SetShutdownDeadline(stopped_ - kAnswer);
}

// SIGHUP: the whole file is read and checked before anything of it holds, so a bad one changes nothing.
// Requests and connections go on. Only discovery's address is taken over; the rest holds from start to end.
void Initiator::Reload() {
  try {
    const http::Config next = read_config_();
    if (next.discovery == config_.discovery) return;  // a second signal must not cost the watch
    config_.discovery = next.discovery;
    discovery_->SwitchServer();
  } catch (const std::exception& error) {
    log::Event(log::Level::kWarn, "configuration_refused",
               {{"what", error.what()}, {"stays", "the old one"}});
  }
}

void Initiator::Leave() {
  std::size_t left = 0;
  for (core::FrontEnd* front : fronts()) {
    front->BeginGracefulShutdown(stopped_ - kAnswer - core::Now());
    left += front->pending_requests() + front->connections();
  }
  if (left == 0) {
    event_base_loopbreak(base_.get());
  } else {
    leave_.Start(kLook);
  }
}

}  // namespace walnutspur::app

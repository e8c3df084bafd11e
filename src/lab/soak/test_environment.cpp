#include "lab/soak/test_environment.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "core/clock.h"
#include "lab/fakes/loopback.h"
#include "lab/fakes/management_client.h"

namespace walnutspur::lab::soak {
namespace {

constexpr Time kStartTimeout = 10'000'000;      // us until a process listens
constexpr Time kReloadPollInterval = 1'000;     // us
constexpr Time kCrowdThinkTime = 300'000;       // us
constexpr std::uint64_t kFirstCrowdSeed = 500;  // of a crowd's load, after the seeds of the usual clients

std::string NameOf(int process) { return "n" + std::to_string(process); }

// Returns the request classes. Requests of class "read" may be sent twice, those of class "write" must not.
std::vector<PlatformRequestClass> RequestClasses(Time deadline) {
  PlatformRequestClass read;
  read.latency_objective = deadline / 3;
  read.deadline = deadline;
  PlatformRequestClass write = read;
  write.name = "write";
  write.is_idempotent = false;
  return {read, write};
}

}  // namespace

TestEnvironment::TestEnvironment(const TestEnvironmentOptions& options)
    : options_(options),
      base_(event_base_new()),
      members_(static_cast<std::size_t>(options.processes)),
      stall_monitor_(
          base_.get(), options.processes, [this](int process) { return member(process).process.get(); },
          &record_) {
  DiscoveryOptions discovery;
  discovery.clients = options.processes;
  discovery.observer = &discovery_recorder_;
  discovery_ = std::make_unique<DiscoveryService>(base_.get(), discovery);
  for (int number = 0; number < options.targets; ++number) {
    targets_.push_back(
        std::make_unique<HttpTarget>(base_.get(), "t" + std::to_string(number), &target_recorder_));
    targets_.back()->SetResponseBytes(options.response_bytes, options.response_id_prefix);
    discovery_->SetInitially({targets_.back()->name(), FormatLoopbackAddress(targets_.back()->port()),
                              EndpointState::kActive, number, options.up_since_ms});
  }
  for (Member& each : members_) {
    each.listen = UniqueLoopbackAddress();
    each.management = UniqueLoopbackAddress();
    each.known_list = discovery_->FullList();
  }
}

TestEnvironment::~TestEnvironment() = default;

void TestEnvironment::RunFor(Time duration) {
  const timeval time = loop::ToTimeval(duration);
  event_base_loopexit(base_.get(), &time);
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void TestEnvironment::After(Time delay, std::function<void()> call) {
  calls_.push_back(loop::MakeTimer(base_.get(), std::move(call)));
  calls_.back().Start(delay);
}

PlatformConfig TestEnvironment::Configuration(int process, const loop::Address& management) const {
  const Member& configured = members_[static_cast<std::size_t>(process)];
  PlatformConfig config;
  config.name = NameOf(process);
  config.listen = loop::ToString(configured.listen);
  if (options_.has_management) {
    config.management = loop::ToString(management);
  }
  config.discovery = FormatLoopbackAddress(discovery_->port(process));
  config.cached_endpoints = nlohmann::json::parse(configured.known_list);
  config.instances = options_.configured_instances > 0 ? options_.configured_instances : options_.processes;
  config.classes = RequestClasses(options_.load.deadline);
  config.rate = 2000.0;
  config.drain_grace = options_.drain_grace;
  config.shards = options_.targets;
  config.memory_mb = options_.memory_mb;
  config.max_sockets = options_.sockets;
  return config;
}

InitiatorOptions TestEnvironment::ProcessOptions(int process, const loop::Address& management) const {
  InitiatorOptions initiator;
  initiator.program = options_.program;
  initiator.name = NameOf(process);
  initiator.config = Configuration(process, management);
  initiator.settings = "[log]\nlevel = \"info\"\nper_kind = 1000.0\n";
  initiator.environment = options_.environment;
  if (options_.has_management) {
    initiator.environment["TMPDIR"] = folder_.path();
  }
  if (!options_.preload.empty()) {
    initiator.environment["LD_PRELOAD"] = options_.preload;
    // A program built with AddressSanitizer does not start if another library is preloaded before its
    // runtime.
    initiator.environment["ASAN_OPTIONS"] = "verify_asan_link_order=0";
  }
  return initiator;
}

void TestEnvironment::Start(int process, StartMode mode) {
  Member& started = member(process);
  record_.starts[process].push_back(core::Now());
  ++started.starts;
  started.process = StartInitiator(folder_, ProcessOptions(process, started.management));
  if (mode == StartMode::kAtOnce) {
    return;
  }
  const bool listens = WaitForListener(started.listen, kStartTimeout) &&
                       (!options_.has_management || WaitForListener(started.management, kStartTimeout));
  if (!listens) {
    throw ProcessError(NameOf(process) + " did not start to listen");
  }
}

void TestEnvironment::StartSuccessor(int process) {
  Member& replaced = member(process);
  replaced.next_management = UniqueLoopbackAddress();
  replaced.successor = StartInitiator(folder_, ProcessOptions(process, replaced.next_management));
}

void TestEnvironment::SwitchToSuccessor(int process, int signal_number) {
  Member& replaced = member(process);
  if (signal_number == SIGKILL) {
    record_.kills[process].push_back(core::Now());
    replaced.process->Kill();  // waits until its connections have ended
  } else {
    replaced.process->Signal(signal_number);
  }
  replaced.predecessor = std::move(replaced.process);
  replaced.process = std::move(replaced.successor);
  replaced.management = replaced.next_management;
}

void TestEnvironment::KillSuccessor(int process) {
  record_.kills[process].push_back(core::Now());
  member(process).successor.reset();
}

std::string TestEnvironment::Call(int process, const std::string& line) {
  return CallManagement(member(process).management, line);
}

std::string TestEnvironment::CallSuccessor(int process, const std::string& line) {
  return CallManagement(member(process).next_management, line);
}

void TestEnvironment::StartAll() {
  for (int process = 0; process < options_.processes; ++process) {
    Start(process);
  }
}

void TestEnvironment::StartClients(int process) {
  Member& served = member(process);
  const std::uint64_t seed = options_.seed * 1000 + static_cast<std::uint64_t>(served.starts);
  served.clients =
      std::make_unique<LoadClient>(base_.get(), process, served.listen, options_.load, seed, &record_);
}

void TestEnvironment::StartCrowd(int process, int connections, Time duration) {
  Member& served = member(process);
  LoadOptions load = options_.load;
  load.connections = connections;
  load.think_time = kCrowdThinkTime;
  load.starts_at_once = true;
  const std::uint64_t seed = options_.seed * 1000 + kFirstCrowdSeed + served.crowds.size();
  served.crowds.push_back(
      std::make_unique<LoadClient>(base_.get(), process, served.listen, load, seed, &record_));
  LoadClient* crowd = served.crowds.back().get();
  After(duration, [crowd] { crowd->Stop(); });
}

void TestEnvironment::StartAllClients() {
  stall_monitor_.Start();
  for (int process = 0; process < options_.processes; ++process) {
    StartClients(process);
  }
}

void TestEnvironment::StopAllClients() {
  for (Member& each : members_) {
    if (each.clients) {
      each.clients->Stop();
    }
    for (const auto& crowd : each.crowds) {
      crowd->Stop();
    }
  }
}

void TestEnvironment::Terminate(int process) {
  record_.terminations[process].push_back(core::Now());
  member(process).process->Signal(SIGTERM);
}

void TestEnvironment::Kill(int process) {
  record_.kills[process].push_back(core::Now());
  member(process).process->Kill();
}

void TestEnvironment::Signal(int process, int number) { member(process).process->Signal(number); }

void TestEnvironment::Reload(int process) {
  if (IsRunning(process) && !member(process).process->HandlesSignal(SIGHUP)) {
    After(kReloadPollInterval, [this, process] { Reload(process); });
    return;
  }
  Signal(process, SIGHUP);
}

bool TestEnvironment::IsRunning(int process) {
  return member(process).process && member(process).process->running();
}

void TestEnvironment::SetEndpointState(int target_number, EndpointState state) {
  const HttpTarget& changed = target(target_number);
  discovery_->Set(
      {changed.name(), FormatLoopbackAddress(changed.port()), state, target_number, options_.up_since_ms});
}

std::string TestEnvironment::Log(int process) const {
  std::ifstream file(InitiatorLogPath(folder_, NameOf(process)));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace walnutspur::lab::soak

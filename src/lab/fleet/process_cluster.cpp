#include "lab/fleet/process_cluster.h"

#include <poll.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "app/control.h"
#include "core/scheduler_thread.h"
#include "lab/fakes/loopback.h"

namespace walnutspur::lab {
namespace {

using nlohmann::json;

constexpr int kPeers = 3;                  // number of first members that all are configured to contact
constexpr int kPollIntervalMs = 20;        // interval between checks of the invariants
constexpr int kShutdownTimeoutMs = 6'000;  // maximum time from SIGTERM until the exit
constexpr const char* kKey = "a key of our own for this fleet\n";

PlatformConfig MemberConfig(int discovery_port) {
  PlatformConfig config;
  config.discovery = FormatLoopbackAddress(discovery_port);
  config.max_sockets = 256;
  config.instances = 9;
  config.idle_timeout = 3'000'000;
  return config;
}

// Returns a TOML array of strings.
std::string QuotedList(const std::vector<std::string>& values) {
  std::string list;
  for (const std::string& value : values) {
    list += list.empty() ? "\"" : ", \"";
    list += value;
    list += "\"";
  }
  return "[" + list + "]";
}

// Returns the first violation in one member's status, or an empty string.
std::string CheckStatus(const std::string& name, const json& status, const std::set<std::string>& running) {
  if (!status.is_object()) {
    return name + " does not respond";
  }
  std::set<std::string> alive;
  for (const json& member : status["members"]) {
    const auto state = member["state"].get<std::string>();
    if (state == "gone" || state == "left") {
      continue;
    }
    if (state != "alive") {
      std::string violation = name + " reports ";
      violation += member["name"].get<std::string>();
      violation += " as " + state;
      return violation;
    }
    alive.insert(member["name"].get<std::string>());
  }
  if (alive != running) {
    return name + " reports " + std::to_string(alive.size()) +
           " members as alive; running: " + std::to_string(running.size());
  }
  return "";
}

}  // namespace

ProcessCluster::ProcessCluster(std::string program, int members, std::uint64_t seed)
    : program_(std::move(program)), proxy_(members, seed), members_(static_cast<std::size_t>(members)) {
  for (Member& member : members_) {
    member.folder = std::make_unique<TemporaryFolder>();
  }
}

std::string ProcessCluster::SettingsText(const TemporaryFolder& folder, int member, int address_of) const {
  std::vector<std::string> peers;
  std::vector<std::string> roster;
  for (int i = 0; i < std::min<int>(kPeers, static_cast<int>(members_.size())); ++i) {
    peers.push_back(proxy_.address(i));
    roster.push_back(name(i));
  }
  std::ostringstream text;
  text << "[log]\nlevel = \"info\"\nper_kind = 1000.0\n"
       << "[integrity]\nfolder = \"" << folder.path() << "\"\n"
       << "[fleet]\nid = \"lab\"\n"
       << "name = \"" << name(member) << "\"\n"
       << "listen = \"127.0.0.1:" << proxy_.port(address_of) << "\"\n"
       << "advertise = \"" << proxy_.address(address_of) << "\"\n"
       << "building = \"" << (member % 2 ? "east" : "west") << "\"\n"
       << "key_file = \"" << folder.Put("key", kKey) << "\"\n"
       << "peers = " << QuotedList(peers) << "\n"
       << "roster = " << QuotedList(roster) << "\n";
  return text.str();
}

std::unique_ptr<Process> ProcessCluster::StartMember(const TemporaryFolder& folder, int member,
                                                     int address_of) const {
  InitiatorOptions options;
  options.program = program_;
  options.config = MemberConfig(discovery_.port());
  options.settings = SettingsText(folder, member, address_of);
  return StartInitiator(folder, options);
}

void ProcessCluster::Start(int member) {
  Member& started = at(member);
  started.stopped = false;
  started.process = StartMember(*started.folder, member, member);
}

int ProcessCluster::RunDuplicate(int member, int address_of, int timeout_ms) {
  const TemporaryFolder folder;
  return StartMember(folder, member, address_of)->Wait(timeout_ms);
}

void ProcessCluster::Kill(int member) { at(member).process.reset(); }

void ProcessCluster::Terminate(int member) {
  Member& terminated = at(member);
  terminated.process->Signal(SIGTERM);
  terminated.process->Wait(kShutdownTimeoutMs);
  terminated.process.reset();
}

void ProcessCluster::Signal(int member, int number) {
  Member& signalled = at(member);
  if (!signalled.process) {
    return;
  }
  signalled.process->Signal(number);
  signalled.stopped = number == SIGSTOP;
}

json ProcessCluster::Status(int member) {
  try {
    return json::parse(app::SendControlCommand(app::ControlPath(at(member).folder->path()), "fleet view"));
  } catch (const std::exception&) {
    return nullptr;  // the process may still be starting
  }
}

std::set<std::string> ProcessCluster::RunningNames() const {
  std::set<std::string> running;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].process && !members_[i].stopped) {
      running.insert(name(static_cast<int>(i)));
    }
  }
  return running;
}

std::string ProcessCluster::FindViolation() {
  const std::set<std::string> running = RunningNames();
  for (int i = 0; i < static_cast<int>(members_.size()); ++i) {
    if (!running.contains(name(i))) {
      continue;
    }
    std::string violation = CheckStatus(name(i), Status(i), running);
    if (!violation.empty()) {
      return violation;
    }
  }
  return "";
}

Time ProcessCluster::WaitUntilConverged(Time timeout) {
  const Time from = core::Now();
  while (true) {
    const bool converged = FindViolation().empty();
    const Time elapsed = core::Now() - from;
    if (converged) {
      return elapsed;
    }
    if (elapsed > timeout) {
      return -1;
    }
    poll(nullptr, 0, kPollIntervalMs);
  }
}

double ProcessCluster::CpuSeconds() const {
  double total = 0;
  for (const Member& member : members_) {
    if (member.process) {
      total += member.process->cpu();
    }
  }
  return total;
}

}  // namespace walnutspur::lab

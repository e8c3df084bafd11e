#include "lab/fleet/fleet_lab.h"

#include <poll.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "app/control.h"
#include "core/scheduler_thread.h"

namespace walnutspur::lab {
namespace {

using nlohmann::json;

constexpr int kSeeds = 3;     // members whose addresses all others are told
constexpr int kLook = 20;     // ms between looks
constexpr int kEnds = 6'000;  // ms that a process may take to end after SIGTERM
constexpr const char* kKey = "a key of our own for this fleet\n";

json Config(int discovery) {
  const json cls = {{"name", "read"},   {"aim", 400000}, {"deadline", 1200000},
                    {"effect", "safe"}, {"worth", 3.0},  {"lateWorth", 0.1}};
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"discovery", "127.0.0.1:" + std::to_string(discovery)},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", 256}}},
          {"settings",
           {{"nInstances", 9},
            {"discovery", "subscribe"},
            {"classes", {cls}},
            {"policies", {{{"name", "basic"}, {"rate", 50.0}, {"floorRate", 50.0}}}},
            {"rules",
             {{"askEvery", 10000000},
              {"drainGrace", 500000},
              {"graceToAnswer", 8000},
              {"coldShare", 0.2},
              {"warmUp", 1000000},
              {"tipMultiple", 2.0},
              {"overloadFor", 1000000}}},
            {"limits",
             {{"tryLimit", 3},
              {"cancel", true},
              {"maxRetryAfter", 500000},
              {"connIdle", 3000000},
              {"dialTimeout", 250000}}},
            {"extra", {{"largest", 16}, {"usualUnits", 1.0}, {"shards", 4}, {"coldUnits", 20.0}}}}}};
}

}  // namespace

FleetLab::FleetLab(std::string program, int members, std::uint64_t seed)
    : program_(std::move(program)), carrier_(members, seed) {
  members_.resize(static_cast<std::size_t>(members));
  for (Held& held : members_) held.folder = std::make_unique<Folder>();
}

std::vector<std::string> FleetLab::Prepare(const Held& held, int member, int at) const {
  std::string peers, roster;
  for (int i = 0; i < std::min<int>(kSeeds, static_cast<int>(members_.size())); ++i) {
    peers += (i ? ", \"" : "\"") + carrier_.address(i) + "\"";
    roster += (i ? ", \"" : "\"") + name(i) + "\"";
  }
  const std::string key = held.folder->Put("key", kKey);
  const std::string settings = held.folder->Put(
      "settings.toml", "[log]\nlevel = \"info\"\nper_kind = 1000.0\n[integrity]\nfolder = \"" +
                           held.folder->path() + "\"\n[fleet]\nid = \"lab\"\nname = \"" + name(member) +
                           "\"\nlisten = \"127.0.0.1:" + std::to_string(carrier_.port(at)) +
                           "\"\nadvertise = \"" + carrier_.address(at) + "\"\nbuilding = \"" +
                           (member % 2 ? "east" : "west") + "\"\nkey_file = \"" + key + "\"\npeers = [" +
                           peers + "]\nroster = [" + roster + "]\n");
  const std::string config = held.folder->Put("config.json", Config(discovery_.port()).dump());
  return {program_, "--config", config, "--settings", settings};
}

void FleetLab::Start(int member) {
  Held& held = members_[static_cast<std::size_t>(member)];
  held.stopped = false;
  held.process = std::make_unique<Process>(
      Prepare(held, member, member), std::map<std::string, std::string>{}, held.folder->path() + "/log");
}

int FleetLab::Twin(int member, int at, int ms) {
  Held twin;
  twin.folder = std::make_unique<Folder>();
  Process process(Prepare(twin, member, at), {}, twin.folder->path() + "/log");
  return process.Wait(ms);
}

void FleetLab::Kill(int member) { members_[static_cast<std::size_t>(member)].process.reset(); }

void FleetLab::Term(int member) {
  Held& held = members_[static_cast<std::size_t>(member)];
  held.process->Signal(SIGTERM);
  held.process->Wait(kEnds);
  held.process.reset();
}

void FleetLab::Signal(int member, int number) {
  Held& held = members_[static_cast<std::size_t>(member)];
  if (!held.process) return;
  held.process->Signal(number);
  held.stopped = number == SIGSTOP;
}

json FleetLab::View(int member) {
  const Held& held = members_[static_cast<std::size_t>(member)];
  try {
    return json::parse(app::SendControlCommand(app::ControlPath(held.folder->path()), "fleet view"));
  } catch (const std::exception&) {
    return nullptr;  // it has only just been started
  }
}

std::string FleetLab::Wrong() {
  std::set<std::string> living;
  for (std::size_t i = 0; i < members_.size(); ++i)
    if (members_[i].process && !members_[i].stopped) living.insert(name(static_cast<int>(i)));
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!living.contains(name(static_cast<int>(i)))) continue;
    const json view = View(static_cast<int>(i));
    if (!view.is_object()) return name(static_cast<int>(i)) + " does not answer";
    std::set<std::string> held;
    for (const json& member : view["members"]) {
      const std::string state = member["state"];
      if (state == "gone" || state == "left") continue;
      if (state != "alive")
        return name(static_cast<int>(i)) + " calls " + std::string(member["name"]) + " " + state;
      held.insert(member["name"]);
    }
    if (held != living)
      return name(static_cast<int>(i)) + " holds " + std::to_string(held.size()) + " for alive of " +
             std::to_string(living.size());
  }
  return "";
}

Time FleetLab::UntilTrue(Time most) {
  const Time from = core::Now();
  while (true) {
    const std::string wrong = Wrong();
    const Time took = core::Now() - from;
    if (wrong.empty()) return took;
    if (took > most) return -1;
    poll(nullptr, 0, kLook);
  }
}

std::string FleetLab::Log(int member) const {
  std::ifstream file(members_[static_cast<std::size_t>(member)].folder->path() + "/log");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

double FleetLab::cpu() const {
  double all = 0;
  for (const Held& held : members_)
    if (held.process) all += held.process->cpu();
  return all;
}

}  // namespace walnutspur::lab

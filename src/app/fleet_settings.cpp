#include "app/fleet_settings.h"

#include <dlfcn.h>

#include <algorithm>
#include <filesystem>
#include <set>
#include <stdexcept>
#include <string>

#include "loop/address.h"

namespace walnutspur::app {
namespace {

constexpr const char* kLibrary = "libwalnutspur_fleet.so";

bool IsAddress(const std::string& text) {
  try {
    return loop::ParseAddress(text).port > 0;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

std::vector<config::Key> FleetKeys() {
  using config::Kind;
  const double most = fleet::kMaxNameLength;
  return {
      {"fleet.id", Kind::kText, 0, most, "", "\"\"", {}, false, "the fleet's name; empty: there is no fleet"},
      {"fleet.name", Kind::kText, 0, most, "", "\"\"", {}, false, "this initiator's, unlike all others'"},
      {"fleet.listen", Kind::kText, 0, most, "", "\"\"", {}, false, "host:port, UDP, numeric"},
      {"fleet.advertise",
       Kind::kText,
       0,
       most,
       "",
       "\"\"",
       {},
       false,
       "host:port where others reach it; empty: as listen"},
      {"fleet.building", Kind::kText, 0, most, "", "\"\"", {}, false, "where it stands"},
      {"fleet.key_file",
       Kind::kText,
       0,
       4096,
       "",
       "\"\"",
       {},
       false,
       "holds the fleet's key of 16 to 4096 bytes; empty: datagrams carry no tag"},
      {"fleet.peers",
       Kind::kTexts,
       0,
       most,
       "",
       "[]",
       {},
       false,
       "host:port of members that are asked first"},
      {"fleet.roster",
       Kind::kTexts,
       1,
       most,
       "",
       "[]",
       {},
       false,
       "names of the 3, 5 or 7 members whose majority decides"},
      {"fleet.period_ms", Kind::kInteger, 10, 10000, "ms", "200", {}, false, "between probes of members"},
  };
}

std::optional<fleet::FleetOptions> ReadFleet(const config::Table& root,
                                             std::vector<config::Problem>* problems) {
  fleet::FleetOptions o;
  o.fleet = root.Text("fleet.id");
  o.name = root.Text("fleet.name");
  o.listen = root.Text("fleet.listen");
  o.advertise = root.Text("fleet.advertise");
  o.building = root.Text("fleet.building");
  o.key_file = root.Text("fleet.key_file");
  if (root.Has("fleet.peers")) o.peers = root.Texts("fleet.peers");
  if (root.Has("fleet.roster")) o.roster = root.Texts("fleet.roster");
  o.period = root.Integer("fleet.period_ms") * 1000;
  if (o.fleet.empty() && o.name.empty() && o.listen.empty() && o.peers.empty() && o.roster.empty())
    return std::nullopt;
  const auto wrong = [&](const std::string& key, const std::string& what) {
    const auto line = root.lines.find("fleet." + key);
    problems->push_back({line == root.lines.end() ? 0 : line->second, "fleet." + key, what});
  };
  if (o.fleet.empty()) wrong("id", "is missing; a fleet has a name of 1 to 64 bytes");
  if (o.name.empty()) wrong("name", "is missing; each initiator has a name of 1 to 64 bytes");
  if (!IsAddress(o.listen)) wrong("listen", "is no address; allowed is host:port, numeric");
  if (!o.advertise.empty() && !IsAddress(o.advertise))
    wrong("advertise", "is no address; allowed is host:port, numeric");
  for (const std::string& peer : o.peers)
    if (!IsAddress(peer)) wrong("peers", "holds \"" + peer + "\"; allowed is host:port, numeric");
  const std::size_t size = o.roster.size();
  if (size == 0) {
    wrong("roster", "is missing; allowed are the names of 3, 5 or 7 members");
  } else if (size != 3 && size != 5 && size != 7) {
    wrong("roster",
          "has " + std::to_string(size) + " names; allowed are 3, 5 or 7, so that there is a majority");
  }
  std::set<std::string> names;
  for (const std::string& name : o.roster)
    if (!names.insert(name).second) wrong("roster", "names \"" + name + "\" twice; each is allowed once");
  return o;
}

std::unique_ptr<fleet::Fleet> OpenFleet(event_base* base, const fleet::FleetOptions& options,
                                        fleet::FleetHooks hooks) {
  const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  void* library = nullptr;
  for (const auto& path : {folder / kLibrary, folder.parent_path() / kLibrary}) {
    library = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);  // stays for the life of the process
    if (library) break;
  }
  if (!library) throw std::runtime_error(std::string("fleet: cannot load: ") + dlerror());
  const auto open = reinterpret_cast<fleet::Open*>(dlsym(library, fleet::kEntry));
  if (!open) throw std::runtime_error(std::string("fleet: ") + kLibrary + " is none of this version");
  return std::unique_ptr<fleet::Fleet>(open(base, options, std::move(hooks)));
}

}  // namespace walnutspur::app

#include "app/fleet_settings.h"

#include <cstddef>
#include <exception>
#include <set>
#include <string>

#include "loop/address.h"

namespace walnutspur::app {
namespace {

constexpr Time kMicrosPerMilli = 1000;

bool IsAddress(const std::string& text) {
  try {
    return loop::ParseAddress(text).port > 0;
  } catch (const std::exception&) {
    return false;
  }
}

fleet::FleetOptions ReadOptions(const config::Table& root) {
  fleet::FleetOptions options;
  options.fleet = root.Text("fleet.id");
  options.name = root.Text("fleet.name");
  options.listen = root.Text("fleet.listen");
  options.advertise = root.Text("fleet.advertise");
  options.building = root.Text("fleet.building");
  options.key_file = root.Text("fleet.key_file");
  if (root.Has("fleet.peers")) {
    options.peers = root.Texts("fleet.peers");
  }
  if (root.Has("fleet.roster")) {
    options.roster = root.Texts("fleet.roster");
  }
  options.period = root.Integer("fleet.period_ms") * kMicrosPerMilli;
  return options;
}

// Collects the problems of the [fleet] table, each with the line of its key.
class Checker {
 public:
  Checker(const config::Table& root, std::vector<config::Problem>* problems)
      : root_(root), problems_(problems) {}

  void Check(const fleet::FleetOptions& options) {
    CheckNames(options);
    CheckAddresses(options);
    CheckRoster(options.roster);
  }

 private:
  void Add(const std::string& key, const std::string& error) {
    const std::string path = "fleet." + key;
    const auto line = root_.lines.find(path);
    problems_->push_back({line == root_.lines.end() ? 0 : line->second, path, error});
  }

  void CheckNames(const fleet::FleetOptions& options) {
    if (options.fleet.empty()) {
      Add("id", "missing; allowed: a name of 1 to 64 bytes for the fleet");
    }
    if (options.name.empty()) {
      Add("name", "missing; allowed: a name of 1 to 64 bytes for this initiator");
    }
  }

  void CheckAddresses(const fleet::FleetOptions& options) {
    if (!IsAddress(options.listen)) {
      Add("listen", "\"" + options.listen + "\" is not an address; allowed: host:port with a numeric host");
    }
    if (!options.advertise.empty() && !IsAddress(options.advertise)) {
      Add("advertise",
          "\"" + options.advertise + "\" is not an address; allowed: host:port with a numeric host");
    }
    for (const std::string& peer : options.peers) {
      if (!IsAddress(peer)) {
        Add("peers", "\"" + peer + "\" is not an address; allowed: host:port with a numeric host");
      }
    }
  }

  // The roster decides by majority: its size must be odd, and small enough for quick agreement.
  void CheckRoster(const std::vector<std::string>& roster) {
    const std::size_t size = roster.size();
    if (size == 0) {
      Add("roster", "missing; allowed: the names of 3, 5 or 7 members");
    } else if (size != 3 && size != 5 && size != 7) {
      Add("roster", "has " + std::to_string(size) + " names; allowed: 3, 5 or 7, so that a majority exists");
    }
    std::set<std::string> names;
    for (const std::string& name : roster) {
      if (!names.insert(name).second) {
        Add("roster", "contains \"" + name + "\" more than once; allowed: each name once");
      }
    }
  }

  const config::Table& root_;
  std::vector<config::Problem>* problems_;
};

}  // namespace

std::optional<fleet::FleetOptions> ReadFleet(const config::Table& root,
                                             std::vector<config::Problem>* problems) {
  const fleet::FleetOptions options = ReadOptions(root);
  const bool sets_nothing = options.fleet.empty() && options.name.empty() && options.listen.empty() &&
                            options.peers.empty() && options.roster.empty();
  if (sets_nothing) {
    return std::nullopt;
  }
  Checker(root, problems).Check(options);
  return options;
}

}  // namespace walnutspur::app

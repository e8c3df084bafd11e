// A running initiator's part in the fleet, as the program sees it.
//
// What stands behind it is in a library of its own (libwalnutspur_fleet.so), which is loaded only where the
// settings have a [fleet] table: without one nothing of it is there, and the start costs nothing more. The
// program owns the loop and passes it in; the library owns its socket, its timers and the view.
#ifndef WALNUTSPUR_FLEET_FLEET_H_
#define WALNUTSPUR_FLEET_FLEET_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/view/member.h"

struct event_base;

namespace walnutspur::fleet {

struct FleetOptions {
  std::string fleet;                // its name; datagrams of another are dropped
  std::string name;                 // this member's, unlike all others'
  std::string listen, advertise;    // host:port, UDP; advertise: where others reach it, empty: as listen
  std::string building, key_file;   // key_file empty: datagrams carry no tag
  std::vector<std::string> peers;   // addresses that are asked first
  std::vector<std::string> roster;  // names of 3, 5 or 7 members
  Time period = 200'000;            // us
};

struct FleetHooks {
  std::function<void(bool warning, const std::string& kind,
                     const std::vector<std::pair<std::string, std::string>>& fields)>
      log;
  // So many members are live, and this one's part of what all their clients ask.
  std::function<void(int live, double part)> on_size;
  std::function<void(const std::string& why)> on_end;  // this process must end
};

class Fleet {
 public:
  virtual ~Fleet() = default;
  // What this member tells of itself: phase, load, connections.
  virtual void Publish(const Facts& facts) = 0;
  virtual void Leave() = 0;
  // What an operator asks by the control socket, without the first word "fleet"; JSON, or a line of error.
  virtual std::string Execute(const std::vector<std::string>& words) = 0;
};

// Throws std::runtime_error with one line. The library's one entry, by the name kEntry.
using Open = Fleet*(event_base* base, const FleetOptions& options, FleetHooks hooks);
constexpr const char* kEntry = "walnutspur_fleet_open";

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_FLEET_H_

// The program's interface to the fleet.
//
// The implementation is in a separate library (libwalnutspur_fleet.so), which app/fleet_settings.cpp loads
// only if the settings have a [fleet] table: other programs pay for neither its load time nor its memory. The
// program owns the event loop and passes it in; the library owns its socket, its timers and the membership.
// All calls and hooks run on the loop's thread.
#ifndef WALNUTSPUR_FLEET_FLEET_H_
#define WALNUTSPUR_FLEET_FLEET_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/membership/member.h"
#include "log/log.h"

struct event_base;

namespace walnutspur::fleet {

// The [fleet] table of the settings.
struct FleetOptions {
  std::string fleet;                // its name; datagrams of other fleets are dropped
  std::string name;                 // this member's, unique within the fleet
  std::string listen;               // host:port, UDP
  std::string advertise;            // host:port where others reach this member; empty: as `listen`
  std::string building;             // where this member runs
  std::string key_file;             // empty: datagrams carry no tag
  std::vector<std::string> peers;   // addresses that are contacted to join
  std::vector<std::string> roster;  // names of 3, 5 or 7 members
  Time period = 200'000;            // us between probes
};

// Callbacks into the program.
struct FleetHooks {
  std::function<void(bool warning, std::string_view kind, const std::vector<log::Field>& fields)> log;
  // The number of live members, or this one's share of the load of all members' clients, has changed.
  std::function<void(int live, double load_share)> on_size_changed;
  // This process has to terminate: an older one has its name.
  std::function<void(const std::string& error)> on_terminate;
};

// This process's membership of a fleet. Destroying it without Leave looks like a crash to the others.
class Fleet {
 public:
  virtual ~Fleet() = default;
  // Publishes this member's phase, load and connections to the others.
  virtual void Publish(const Facts& facts) = 0;
  // Announces that this member leaves.
  virtual void Leave() = 0;
  // Executes an operator's command, given without its first word "fleet". Returns JSON, or one line with an
  // error.
  virtual std::string Execute(const std::vector<std::string>& words) = 0;
};

// The library's entry point, exported as kEntryPoint. The caller owns the result. Throws FleetError.
using OpenFunction = Fleet*(event_base* base, const FleetOptions& options, FleetHooks hooks);
constexpr const char* kEntryPoint = "walnutspur_fleet_open";

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_FLEET_H_

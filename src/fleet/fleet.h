// Declares the program's interface to the fleet library.
//
// The implementation is in a separate library (libwalnutspur_fleet.so), which app/fleet_settings.cpp loads
// only if the settings have a [fleet] table: a process without that table saves the library's load time and
// memory. The program owns the event loop and passes it in; the library owns its socket, its timers and the
// membership. All methods and callbacks run on the loop's thread.
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

// Values of the [fleet] table of the settings.
struct FleetOptions {
  std::string fleet;                // name of the fleet; datagrams of other fleets are dropped
  std::string name;                 // name of this member, unique within the fleet
  std::string listen;               // host:port, UDP
  std::string advertise;            // host:port where other members reach this member; if empty, `listen`
  std::string building;             // building where this member runs
  std::string key_file;             // if empty, datagrams carry no authentication tag
  std::vector<std::string> peers;   // addresses that this member contacts to join
  std::vector<std::string> roster;  // names of 3, 5 or 7 members
  Time period = 200'000;            // protocol period: us between probes
};

// Callbacks from the library into the program.
struct FleetHooks {
  std::function<void(bool warning, std::string_view kind, const std::vector<log::Field>& fields)> log;
  // Called when the number of live members, or this member's share of the load of all members' clients, has
  // changed.
  std::function<void(int live, double load_share)> on_size_changed;
  // Called when this process must terminate because an older process has the same member name.
  std::function<void(const std::string& error)> on_terminate;
};

// Represents this process's membership of a fleet. If it is destroyed without Leave, the other members
// declare this member failed.
class Fleet {
 public:
  virtual ~Fleet() = default;
  // Publishes this member's phase, load and connections to the others.
  virtual void Publish(const Facts& facts) = 0;
  // Announces to the other members that this member leaves.
  virtual void Leave() = 0;
  // Executes an operator's command, given without its first word "fleet". Returns JSON, or a one-line error
  // message.
  virtual std::string Execute(const std::vector<std::string>& words) = 0;
};

// Type of the library's entry point, which is exported under the name kEntryPoint. Returns an object that the
// caller owns. Throws FleetError.
using OpenFunction = Fleet*(event_base* base, const FleetOptions& options, FleetHooks hooks);
constexpr const char* kEntryPoint = "walnutspur_fleet_open";

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_FLEET_H_

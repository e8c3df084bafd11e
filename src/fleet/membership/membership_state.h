// The state that the components of one Membership share. Owned by the Membership, used on the thread of its
// caller; the components have references to it and decide how it changes.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_MEMBERSHIP_STATE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_MEMBERSHIP_STATE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/membership/actions.h"
#include "fleet/membership/broadcast_queue.h"
#include "fleet/membership/convergence.h"
#include "fleet/membership/local_health.h"
#include "fleet/membership/member_table.h"
#include "fleet/membership/probe_schedule.h"
#include "fleet/membership/replay_filter.h"
#include "fleet/membership/timer_queue.h"

namespace walnutspur::fleet {

struct MembershipOptions {
  std::string name;
  std::string address;  // host:port where the others reach this member
  std::string building;
  std::vector<std::string> peers;  // addresses that are contacted to join; this member's own is ignored
  Time period = 200'000;           // us between probes of one member, 10 ms to 10 s
  bool lifeguard = true;           // off only for comparison
};

// Totals since the start.
struct MembershipCounters {
  std::uint64_t earlier_process = 0;  // datagrams of a process that was restarted since
  std::uint64_t replayed = 0;         // datagrams
  std::uint64_t forged = 0;           // updates with an impossible incarnation
  std::uint64_t table_full = 0;       // updates of new members that were not stored
  std::uint64_t stalls = 0;           // timers that fired late because this process did not run
  std::uint64_t refuted = 0;          // updates about this member that were false
};

struct MembershipState {
  // `draw_fraction` returns random numbers, uniform over [0, 1).
  MembershipState(MembershipOptions the_options, std::function<double()> draw_fraction)
      : options(std::move(the_options)), draw(std::move(draw_fraction)) {}
  MembershipState(const MembershipState&) = delete;
  MembershipState& operator=(const MembershipState&) = delete;

  std::size_t DrawBelow(std::size_t count) const {
    return static_cast<std::size_t>(draw() * static_cast<double>(count));
  }
  std::vector<std::string> PickRandom(std::size_t count, const std::string& except = "") {
    return table.PickRandom(count, except, [this](std::size_t below) { return DrawBelow(below); });
  }

  MembershipOptions options;
  std::function<double()> draw;
  std::vector<Action> actions;  // not yet handed to the caller
  TimerQueue timers{actions};
  MemberTable table{options.name};
  ProbeSchedule schedule{table, [this](std::size_t below) { return DrawBelow(below); }};
  BroadcastQueue broadcasts;
  Convergence convergence;
  ReplayFilter replays;
  LocalHealth health{options.lifeguard};
  MembershipCounters counters;
  bool joined = false;      // has the table of another member, or there is no other member
  bool left = false;        // Leave was called
  bool terminated = false;  // lost its name to an older process
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MEMBERSHIP_STATE_H_

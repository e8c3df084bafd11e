// Struct MembershipState holds the state that the components of one Membership share. Owned by the Membership
// and used on its thread; the components hold references to it and modify it.
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
  std::string address;  // host:port where other members reach this member
  std::string building;
  std::vector<std::string> peers;  // addresses that this member contacts to join; its own address is ignored
  Time period = 200'000;           // protocol period: us between probes, 10 ms to 10 s
  bool lifeguard = true;           // disabled only to compare with plain SWIM
};

// Totals since the start of the process.
struct MembershipCounters {
  std::uint64_t earlier_process = 0;  // dropped datagrams of a member's process before its restart
  std::uint64_t replayed = 0;         // dropped datagrams with a sequence number below the window
  std::uint64_t forged = 0;           // dropped updates with an incarnation or start too far in the future
  std::uint64_t table_full = 0;       // updates of new members dropped because the table is full
  std::uint64_t stalls = 0;           // timers that fired late because this process did not run
  std::uint64_t refuted = 0;          // false updates about this member that it refuted
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
  std::vector<Action> actions;  // not yet returned to the caller
  TimerQueue timers{actions};
  MemberTable table{options.name};
  ProbeSchedule schedule{table, [this](std::size_t below) { return DrawBelow(below); }};
  BroadcastQueue broadcasts;
  Convergence convergence;
  ReplayFilter replays;
  LocalHealth health{options.lifeguard};
  MembershipCounters counters;
  bool joined = false;      // has received the table of another member, or started a fleet alone
  bool left = false;        // whether Leave was called
  bool terminated = false;  // an older process has this member's name
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MEMBERSHIP_STATE_H_

// One member of a SimulatedCluster: its simulated process, and what is recorded of it to check invariants.
// Owned by the cluster; one thread. Times are microseconds.
#ifndef WALNUTSPUR_LAB_FLEET_SIMULATED_MEMBER_H_
#define WALNUTSPUR_LAB_FLEET_SIMULATED_MEMBER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/membership/membership.h"
#include "lab/random.h"

namespace walnutspur::lab {

struct SimulatedMember {
  std::string name;
  std::string address;
  std::unique_ptr<fleet::Membership> membership;  // null: no process runs
  bool stopped = false;                           // as by SIGSTOP
  double clock_rate = 1;
  Time started_at = 0;                           // of the process: virtual time, and its clock at that time
  std::uint64_t process_id = 0;                  // differs between restarts; 0: no process runs
  std::string termination_error;                 // why the membership terminated it
  std::map<std::string, fleet::Record> replica;  // built from the reported changes alone
  std::uint64_t last_change = 0;
  std::vector<std::uint64_t> pending_timers;     // that fired while it was stopped
  std::vector<fleet::Message> pending_messages;  // that arrived while it was stopped
  std::unique_ptr<Random> random;

  bool running() const { return membership && !stopped; }
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_SIMULATED_MEMBER_H_

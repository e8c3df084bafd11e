// Struct SimulatedMember represents one member of a SimulatedCluster: its simulated process, and the records
// by which invariants are checked. Owned by the cluster and used on one thread. Times are microseconds.
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
  std::unique_ptr<fleet::Membership> membership;  // null if no process runs
  bool stopped = false;                           // whether stopped as by SIGSTOP
  double clock_rate = 1;
  Time started_at = 0;                           // start of the process, in virtual time and by its clock
  std::uint64_t process_id = 0;                  // differs between restarts; 0 if no process runs
  std::string termination_error;                 // error with which the membership terminated the process
  std::map<std::string, fleet::Record> replica;  // built only from the reported changes
  std::uint64_t last_change = 0;
  std::vector<std::uint64_t> pending_timers;     // timers that fired while it was stopped
  std::vector<fleet::Message> pending_messages;  // messages that arrived while it was stopped
  std::unique_ptr<Random> random;

  bool running() const { return membership && !stopped; }
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_SIMULATED_MEMBER_H_

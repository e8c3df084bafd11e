// The storage servers of the simulated cluster: slots, bounded queues, speeds, pauses, slow starts, crashes
// by overload, and the faults that change them. Owned by Simulation; used on its one thread.
#ifndef WALNUTSPUR_LAB_SIM_STORAGE_SERVERS_H_
#define WALNUTSPUR_LAB_SIM_STORAGE_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "lab/random.h"
#include "lab/sim/discovery_model.h"
#include "lab/sim/network_model.h"
#include "lab/sim/request_table.h"
#include "lab/sim/simulation_context.h"

namespace walnutspur::lab::sim {

// An attempt that a server has accepted.
struct AcceptedAttempt {
  std::int64_t request = 0;
  int attempt = 0;
  int initiator = 0;
  std::int64_t units = 0;    // thousandths of a unit
  std::uint64_t ticket = 0;  // unique in the run
};

// Work that was sent to a warming server.
struct SentUnits {
  Time at = 0;  // us
  double units = 0;
};

// One storage server.
struct StorageServer {
  int number = 0;
  int shard = 0;
  int zone = 0;
  double speed = 1;             // 1: an average server's
  bool up = true;               // its process runs
  bool decommissioned = false;  // replaced by another server; never starts again
  Time warming_since = 0;       // start of its process, us; 0: it was warm when the run began
  std::deque<AcceptedAttempt> queue;
  std::vector<AcceptedAttempt> running;
  double fault_factor = 1;       // part of its speed that is left; with `errors`: probability of an error
  double neighbour_share = 0;    // part of its slots that other work takes
  Time frozen_until = 0;         // us
  bool errors = false;           // fails requests at once
  bool no_replies = false;       // runs requests and never replies
  std::deque<SentUnits> recent;  // within the overload window, while it warms up
  double recent_units = 0;       // sum of `recent`
};

// All storage servers, by number and by shard.
class StorageServers {
 public:
  // Everything passed outlives the servers.
  StorageServers(SimulationContext* context, NetworkModel* network, DiscoveryModel* discovery,
                 const RequestTable* requests);

  // Creates one warm server for each shard, logs them, and schedules their first pauses.
  void Start();

  int count() const { return static_cast<int>(servers_.size()); }
  bool Exists(int server) const { return server >= 0 && server < count(); }
  const StorageServer& at(int server) const { return servers_[static_cast<std::size_t>(server)]; }
  // Logs the units that each server still holds at the end of the run.
  void RecordUnfinished();

  void Handle(const AttemptDelivered& event);
  void Handle(const CancellationDelivered& event);
  void Handle(const WorkCompleted& event);
  void Handle(const ServerPaused& event);
  void Handle(const ServerResumed& event);
  void Handle(const ServerRestarted& event);

  // ---- faults, each of the server that holds the shard ----

  void SetSlow(int shard, double factor);
  void Freeze(int shard, Time duration);
  void SetErrors(int shard, bool errors, double probability);
  void SetNeighbourShare(int shard, double share);
  void SetNoReplies(int shard, bool no_replies);
  // Ends the process of the server.
  void Stop(int shard);
  // Schedules its process to start again now.
  void ScheduleRestart(int shard);
  // Publishes that the server drains.
  void Drain(int shard);
  // Ends the server for good, and starts another one that holds its shard.
  void Replace(int shard);

 private:
  StorageServer& Server(int number) { return servers_[static_cast<std::size_t>(number)]; }
  StorageServer& ServerOfShard(int shard) {
    return Server(server_of_shard_[static_cast<std::size_t>(shard)]);
  }

  // Part of its full speed that the server has reached, 0 to 1.
  double WarmFraction(const StorageServer& server) const;
  void FailAttempt(const StorageServer& server, const AcceptedAttempt& attempt);
  // Counts work sent to a warming server; false if that was more than it bears.
  bool AddLoad(StorageServer& server, std::int64_t units);
  void CrashByOverload(StorageServer& server);
  void StartQueuedWork(StorageServer& server);
  void Reply(const StorageServer& server, const AcceptedAttempt& attempt, Outcome outcome);
  void StopProcess(StorageServer& server);
  // Drops an accepted attempt together with the process.
  void RecordDropped(const StorageServer& server, const AcceptedAttempt& attempt, bool started);
  void StartProcess(StorageServer& server);
  void Record(LogEntryType type, const StorageServer& server, const AcceptedAttempt& attempt,
              std::int64_t value = 0, std::int64_t detail = 0);

  SimulationContext& context_;
  NetworkModel& network_;
  DiscoveryModel& discovery_;
  const RequestTable& requests_;
  Random error_random_;
  Random work_random_;
  std::uint64_t next_ticket_ = 1;
  std::deque<StorageServer> servers_;  // by number; decommissioned ones stay
  std::vector<int> server_of_shard_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_STORAGE_SERVERS_H_

// Models the storage servers of the cluster: slots, bounded queues, speeds, pauses, slow starts, crashes
// because of overload, and the faults that affect them. Owned by Simulation; used on its one thread.
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
  double speed = 1;             // relative to an average server
  bool up = true;               // its process is running
  bool decommissioned = false;  // replaced by another server; never starts again
  Time warming_since = 0;       // start of its process, us; 0: it was already warm at the start of the run
  std::deque<AcceptedAttempt> queue;
  std::vector<AcceptedAttempt> running;
  double fault_factor = 1;       // remaining fraction of its speed; with `errors`: probability of an error
  double neighbour_share = 0;    // fraction of its slots taken by other work
  Time frozen_until = 0;         // us
  bool errors = false;           // fails requests immediately
  bool no_replies = false;       // runs requests but never replies
  std::deque<SentUnits> recent;  // work sent within the overload window, only while it warms up
  double recent_units = 0;       // sum of `recent`
};

// Class StorageServers holds all storage servers, by number and by shard.
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
  // Logs the unfinished units of each server at the end of the run.
  void RecordUnfinished();

  void Handle(const AttemptDelivered& event);
  void Handle(const CancellationDelivered& event);
  void Handle(const WorkCompleted& event);
  void Handle(const ServerPaused& event);
  void Handle(const ServerResumed& event);
  void Handle(const ServerRestarted& event);

  // ---- faults; each applies to the server that holds the shard ----

  void SetSlow(int shard, double factor);
  void Freeze(int shard, Time duration);
  void SetErrors(int shard, bool errors, double probability);
  void SetNeighbourShare(int shard, double share);
  void SetNoReplies(int shard, bool no_replies);
  // Stops the process of the server.
  void Stop(int shard);
  // Schedules its process to start again now.
  void ScheduleRestart(int shard);
  // Publishes that the server is draining.
  void Drain(int shard);
  // Decommissions the server and starts another one that holds its shard.
  void Replace(int shard);

 private:
  StorageServer& Server(int number) { return servers_[static_cast<std::size_t>(number)]; }
  StorageServer& ServerOfShard(int shard) {
    return Server(server_of_shard_[static_cast<std::size_t>(shard)]);
  }

  // Returns the fraction of its full speed that the server has reached, 0 to 1.
  double WarmFraction(const StorageServer& server) const;
  void FailAttempt(const StorageServer& server, const AcceptedAttempt& attempt);
  // Adds work sent to a warming server to its recent load; returns false if the server is then overloaded.
  bool AddLoad(StorageServer& server, std::int64_t units);
  void CrashByOverload(StorageServer& server);
  void StartQueuedWork(StorageServer& server);
  void Reply(const StorageServer& server, const AcceptedAttempt& attempt, Outcome outcome);
  void StopProcess(StorageServer& server);
  // Logs that an accepted attempt was cancelled or lost with the process.
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
  std::deque<StorageServer> servers_;  // by number, including decommissioned ones
  std::vector<int> server_of_shard_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_STORAGE_SERVERS_H_

// Runs a fleet of processes of the program, with a fault-injecting proxy between them, and checks their
// tables against the processes that are running. Owned by a test or bench and used on one thread.
#ifndef WALNUTSPUR_LAB_FLEET_PROCESS_CLUSTER_H_
#define WALNUTSPUR_LAB_FLEET_PROCESS_CLUSTER_H_

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "lab/fakes/discovery_thread.h"
#include "lab/fakes/initiator_process.h"
#include "lab/fakes/process.h"
#include "lab/fakes/temporary_folder.h"
#include "lab/fault_proxy/fault_proxy.h"

namespace walnutspur::lab {

class ProcessCluster {
 public:
  // `program` is the path of the walnutspur program. Starts no member.
  ProcessCluster(std::string program, int members, std::uint64_t seed);

  void Start(int member);  // starts a new process with the member's name and address
  void Kill(int member);   // SIGKILL
  void Stop(int member) { Signal(member, SIGSTOP); }
  void Resume(int member) { Signal(member, SIGCONT); }
  void Terminate(int member);  // sends SIGTERM and waits until the process exits
  // Runs a second process with the name of `member` and the address of `address_of`. Returns its exit code,
  // or kills it and returns -1 if it does not exit within `timeout_ms`.
  int RunDuplicate(int member, int address_of, int timeout_ms);

  FaultProxy& proxy() { return proxy_; }
  std::string name(int member) const { return "m" + std::to_string(member); }
  // Returns the first violation, or an empty string if there is none: in each running member's table exactly
  // the running members are alive.
  std::string FindViolation();
  // Waits until there is no violation. Returns the elapsed time in us, or -1 if it exceeds `timeout`.
  Time WaitUntilConverged(Time timeout);
  // Returns the member's reply to `fleet view`, or null if it does not respond.
  nlohmann::json Status(int member);
  // Returns the processor time of all running members, in seconds.
  double CpuSeconds() const;

 private:
  struct Member {
    std::unique_ptr<TemporaryFolder> folder;
    std::unique_ptr<Process> process;  // null if not started, killed or terminated
    bool stopped = false;
  };

  Member& at(int member) { return members_[static_cast<std::size_t>(member)]; }
  void Signal(int member, int number);
  std::set<std::string> RunningNames() const;
  // Starts a process with the name of `member` and the address of `address_of`.
  std::unique_ptr<Process> StartMember(const TemporaryFolder& folder, int member, int address_of) const;
  std::string SettingsText(const TemporaryFolder& folder, int member, int address_of) const;

  std::string program_;
  FaultProxy proxy_;
  DiscoveryThread discovery_;
  std::vector<Member> members_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_PROCESS_CLUSTER_H_

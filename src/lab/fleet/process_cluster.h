// A fleet of processes of the program, with a fault-injecting proxy between them. Its invariants are checked
// against what was done to the processes. Owned by a test or bench; one thread.
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
  // `program` is the path of the walnutspur program. Starts no member yet.
  ProcessCluster(std::string program, int members, std::uint64_t seed);

  void Start(int member);  // a new process, under the member's name and address
  void Kill(int member);   // SIGKILL
  void Stop(int member) { Signal(member, SIGSTOP); }
  void Resume(int member) { Signal(member, SIGCONT); }
  void Terminate(int member);  // SIGTERM, and waits for the end
  // Runs a second process under the name of `member` at the address of `address_of`. Returns its exit code,
  // or -1 if it did not end within `timeout_ms`; it is killed then.
  int RunDuplicate(int member, int address_of, int timeout_ms);

  FaultProxy& proxy() { return proxy_; }
  std::string name(int member) const { return "m" + std::to_string(member); }
  // The first violation by a running member of: just the running members are alive. Empty: there is none.
  std::string FindViolation();
  // Waits until there is no violation. Returns the microseconds that it took, or -1 if more than `timeout`.
  Time WaitUntilConverged(Time timeout);
  // What the member reports of the fleet; null if it does not answer.
  nlohmann::json Status(int member);
  // Processor time of all running members, in seconds.
  double CpuSeconds() const;

 private:
  struct Member {
    std::unique_ptr<TemporaryFolder> folder;
    std::unique_ptr<Process> process;  // null: not started, or ended
    bool stopped = false;
  };

  Member& at(int member) { return members_[static_cast<std::size_t>(member)]; }
  void Signal(int member, int number);
  std::set<std::string> RunningNames() const;
  // Starts a process under the name of `member` at the address of `address_of`.
  std::unique_ptr<Process> StartMember(const TemporaryFolder& folder, int member, int address_of) const;
  std::string SettingsText(const TemporaryFolder& folder, int member, int address_of) const;

  std::string program_;
  FaultProxy proxy_;
  DiscoveryThread discovery_;
  std::vector<Member> members_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_PROCESS_CLUSTER_H_

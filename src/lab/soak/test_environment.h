// Runs processes of the program with fake storage servers, a fake discovery service and clients, on loopback.
//
// Single-threaded: the fakes run only during RunFor. Kills all processes on destruction.
#ifndef WALNUTSPUR_LAB_SOAK_TEST_ENVIRONMENT_H_
#define WALNUTSPUR_LAB_SOAK_TEST_ENVIRONMENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/fakes/discovery_service.h"
#include "lab/fakes/http_target.h"
#include "lab/fakes/initiator_process.h"
#include "lab/fakes/process.h"
#include "lab/fakes/temporary_folder.h"
#include "lab/soak/discovery_recorder.h"
#include "lab/soak/load_client.h"
#include "lab/soak/record.h"
#include "lab/soak/stall_monitor.h"
#include "lab/soak/target_recorder.h"
#include "loop/loop.h"

namespace walnutspur::lab::soak {

struct TestEnvironmentOptions {
  std::string program;  // path of the walnutspur program
  int processes = 1;
  int targets = 4;                 // one for each shard
  bool has_management = false;     // whether the processes have a management address and can be replaced
  int memory_mb = 0;               // memory limit of a process; 0: the key is missing
  int sockets = 1024;              // maximum number of descriptors of a process
  std::size_t response_bytes = 0;  // body of some of the targets' responses; 0: a short text
  std::string response_id_prefix;  // of the ids of the requests that these respond to
  int configured_instances = 0;    // value of the key nInstances; 0: the number of processes
  Time drain_grace = 500'000;
  std::int64_t up_since_ms = 0;  // Unix time at which all targets started; 0: long ago
  LoadOptions load;
  std::uint64_t seed = 1;
  std::string preload;                             // a shared library to load into the processes; empty: none
  std::map<std::string, std::string> environment;  // additional variables of the processes
};

class TestEnvironment {
 public:
  // Creates the fakes. No process is started.
  explicit TestEnvironment(const TestEnvironmentOptions& options);
  ~TestEnvironment();
  TestEnvironment(const TestEnvironment&) = delete;
  TestEnvironment& operator=(const TestEnvironment&) = delete;

  // Runs the event loop for `duration` us.
  void RunFor(Time duration);

  // Calls a function once, `delay` us from now, while RunFor runs.
  void After(Time delay, std::function<void()> call);

  // kListening: blocks until the process listens; the fakes do not run in the meantime.
  enum class StartMode { kListening, kAtOnce };
  // Starts a process whose cached endpoint list is that of the start of the test environment, without later
  // changes.
  void Start(int process, StartMode mode = StartMode::kListening);
  void StartAll();
  // Replacing a process, with has_management. StartSuccessor starts a second one at the same address;
  // SwitchToSuccessor sends a signal to the first one and makes the second one the process with this number.
  void StartSuccessor(int process);
  void SwitchToSuccessor(int process, int signal_number);
  void KillSuccessor(int process);
  bool HasSuccessor(int process) { return member(process).successor != nullptr; }
  // Returns the exit code of the process that was replaced; -1 if it still runs after `ms` milliseconds.
  int PredecessorExitCode(int process, int ms) { return member(process).predecessor->Wait(ms); }
  // Kills the process that was replaced, if it still runs.
  void KillPredecessor(int process) { member(process).predecessor.reset(); }
  // Sends a management call to a process or to its successor and returns the reply. Blocks up to a second.
  std::string Call(int process, const std::string& line);
  std::string CallSuccessor(int process, const std::string& line);
  // Starts the clients of a process.
  void StartClients(int process);
  void StartAllClients();
  void StopAllClients();
  // Starts further clients of a process, which all connect at once. They are stopped after `duration` us.
  void StartCrowd(int process, int connections, Time duration);
  void Terminate(int process);  // SIGTERM
  void Kill(int process);       // SIGKILL
  void Signal(int process, int number);
  // Sends SIGHUP, which ends any program that has just been started and has no handler yet: waits until it
  // has.
  void Reload(int process);
  bool IsRunning(int process);
  // Returns the address at which a process serves clients.
  const loop::Address& address(int process) { return member(process).listen; }
  // Returns the peak of the resident memory of a process that runs, bytes.
  std::size_t PeakMemory(int process) { return member(process).process->peak_memory(); }

  // Changes the state of a target in the endpoint list.
  void SetEndpointState(int target, EndpointState state);

  DiscoveryService& discovery() { return *discovery_; }
  HttpTarget& target(int number) { return *targets_[static_cast<std::size_t>(number)]; }
  Record& record() { return record_; }
  // Returns the longest delay of the event loop of the fakes since the start of the clients, us.
  Time longest_stall() const { return stall_monitor_.longest_stall(); }
  // Returns the text that the process has written to its log.
  std::string Log(int process) const;

 private:
  struct Member {
    loop::Address listen;
    int starts = 0;
    std::string known_list;
    loop::Address management;
    loop::Address next_management;  // of the successor
    std::unique_ptr<Process> predecessor;
    std::unique_ptr<Process> process;
    std::unique_ptr<Process> successor;
    std::unique_ptr<LoadClient> clients;
    std::vector<std::unique_ptr<LoadClient>> crowds;
  };

  PlatformConfig Configuration(int process, const loop::Address& management) const;
  InitiatorOptions ProcessOptions(int process, const loop::Address& management) const;
  Member& member(int process) { return members_[static_cast<std::size_t>(process)]; }

  TestEnvironmentOptions options_;
  TemporaryFolder folder_;
  Record record_;
  loop::EventBasePtr base_;
  DiscoveryRecorder discovery_recorder_{&record_};
  TargetRecorder target_recorder_{&record_};
  std::unique_ptr<DiscoveryService> discovery_;
  std::vector<std::unique_ptr<HttpTarget>> targets_;
  std::vector<Member> members_;
  StallMonitor stall_monitor_;
  std::list<loop::EventHandle> calls_;  // timers of After, including those that have fired
};

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_TEST_ENVIRONMENT_H_

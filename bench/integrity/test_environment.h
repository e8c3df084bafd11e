// Class TestEnvironment runs the processes of one measurement: a storage server, discovery, and the
// initiator.
//
// Created, restarted and destroyed on the thread of its part. Draw and RandomData may be called from any
// thread.
#ifndef WALNUTSPUR_BENCH_INTEGRITY_TEST_ENVIRONMENT_H_
#define WALNUTSPUR_BENCH_INTEGRITY_TEST_ENVIRONMENT_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <pcg_random.hpp>
#include <string>

#include "integrity/corruption_log.h"
#include "integrity/layout.h"
#include "lab/fakes/discovery_thread.h"
#include "lab/fakes/initiator_process.h"
#include "lab/fakes/process.h"
#include "lab/fakes/temporary_folder.h"
#include "lab/storage_server/storage_server.h"
#include "nbd/blocking_client.h"
#include "run.h"

namespace walnutspur::bench {

using integrity::CorruptionLog;
using integrity::kBlockBytes;

struct TestEnvironmentOptions {
  int paths = 1;
  bool plain = false;         // a second export of the same device, without checksums
  std::string settings{};     // added to the initiator's settings file
  bool child_server = false;  // the storage server is a child process, with one path
};

class TestEnvironment {
 public:
  static constexpr std::uint64_t kDeviceBytes = 24 << 20;

  // Starts all processes. Throws BenchError if one does not start.
  TestEnvironment(const Run& run, TestEnvironmentOptions options);
  TestEnvironment(const TestEnvironment&) = delete;
  TestEnvironment& operator=(const TestEnvironment&) = delete;

  // Connects to an export of the initiator.
  std::unique_ptr<nbd::BlockingClient> Connect(const std::string& export_name = "checked") const;
  // Waits until a checkpoint has written all data in place; a scrub continues to read meanwhile.
  void WaitForCheckpoint();
  // Returns the initiator's corruption log after the latest entries have been written to its file.
  CorruptionLog LoadCorruptionLog() const;

  // Each starts a process and waits until it accepts requests.
  void StartInitiator();
  bool StartChildServer();  // false if it does not start, for example because its port is in use

  lab::StorageServer& server() { return *server_; }          // unless child_server
  lab::Process& server_process() { return *child_server_; }  // if child_server
  lab::Process& initiator() { return *initiator_; }
  int http_port() const { return http_port_; }
  const std::string& folder() const { return folder_.path(); }

  std::string RandomData(std::size_t size);
  // Returns a random number below `bound`, or 0 if `bound` is 0.
  std::uint64_t Draw(std::uint64_t bound);

 private:
  void StartServer();
  void StartServerInProcess();
  void FormatDevice(lab::BlockDevice& device) const;
  lab::InitiatorOptions InitiatorSetup() const;
  bool IsAttached() const;
  std::string DeviceFile() const { return folder() + "/disk"; }

  const Run& run_;
  TestEnvironmentOptions options_;
  lab::TemporaryFolder folder_;
  std::mutex random_mutex_;
  pcg64 random_;
  std::unique_ptr<lab::StorageServer> server_;  // null if it is a child process
  std::unique_ptr<lab::Process> child_server_;
  int server_nbd_port_ = 0;
  int server_http_port_ = 0;
  lab::DiscoveryThread discovery_;
  int nbd_port_ = 0;
  int http_port_ = 0;
  lab::InitiatorOptions initiator_options_;
  std::unique_ptr<lab::Process> initiator_;
};

// Repeats the write until it is accepted; a rejected write has changed nothing. Returns false if it fails.
bool WriteWithRetry(nbd::BlockingClient& client, std::uint64_t offset, const std::string& data);

}  // namespace walnutspur::bench

#endif  // WALNUTSPUR_BENCH_INTEGRITY_TEST_ENVIRONMENT_H_

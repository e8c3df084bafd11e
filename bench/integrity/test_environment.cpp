#include "test_environment.h"

#include <poll.h>

#include <algorithm>
#include <cstring>
#include <exception>
#include <utility>
#include <vector>

#include "configuration.h"
#include "core/scheduler_thread.h"
#include "integrity/corruption_log_file.h"
#include "integrity/volume.h"
#include "lab/fakes/loopback.h"

namespace walnutspur::bench {
namespace {

constexpr Time kAttachTimeout = 10'000'000;  // us
constexpr Time kListenTimeout = 5'000'000;   // us
constexpr int kAttachPollInterval = 2;       // ms
constexpr int kServerStartAttempts = 500;
constexpr Time kServerStartInterval = 10'000;  // us
// Delay after which the initiator has written the corruption log's file, ms: longer than its save delay.
constexpr int kLogWriteDelay = 1200;
// Time after which an idle volume has finished a checkpoint, ms.
constexpr int kCheckpointInterval = 280;
// Maximum number of the scrub's commands in one such interval.
constexpr std::uint64_t kScrubCommands = 200;
constexpr int kWriteAttempts = 50;
constexpr int kRetryInterval = 10;  // ms
constexpr std::uint32_t kAttachReadBytes = 512;

}  // namespace

TestEnvironment::TestEnvironment(const Run& run, TestEnvironmentOptions options)
    : run_(run), options_(std::move(options)), random_(run.seed()) {
  StartServer();
  lab::ListedEndpoint endpoint;
  endpoint.id = "a";
  endpoint.address = lab::FormatLoopbackAddress(server_http_port_);
  discovery_.Set(endpoint);
  nbd_port_ = lab::FreePort();
  http_port_ = lab::FreePort();
  initiator_options_ = InitiatorSetup();
  StartInitiator();
}

void TestEnvironment::FormatDevice(lab::BlockDevice& device) const {
  for (const auto& request :
       integrity::FormatPlan(kDeviceBytes, integrity::kDefaultJournalBytes, run_.seed())) {
    if (request.kind == integrity::IoKind::kWrite) {
      device.Write(request.offset, request.data, true);
    }
  }
}

void TestEnvironment::StartServer() {
  if (!options_.child_server) {
    StartServerInProcess();
    return;
  }
  lab::BlockDevice device(kDeviceBytes, run_.seed(), DeviceFile());
  FormatDevice(device);
  server_nbd_port_ = lab::FreePort();
  while (!StartChildServer()) {
    server_nbd_port_ = lab::FreePort();
  }
  server_http_port_ = server_nbd_port_ + 1;
}

void TestEnvironment::StartServerInProcess() {
  lab::StorageServerOptions options;
  options.size = kDeviceBytes;
  options.paths = options_.paths;
  options.http = true;
  options.seed = run_.seed();
  server_ = std::make_unique<lab::StorageServer>(options);
  server_->WithDevice([this](lab::BlockDevice& device) { FormatDevice(device); });
  server_->Start();
  server_nbd_port_ = server_->port(0);
  server_http_port_ = server_->http_port();
}

// Starts the server on the same ports each time; its HTTP port is the one after its NBD port.
bool TestEnvironment::StartChildServer() {
  const std::vector<std::string> command = {run_.options().lab_program,
                                            "storage-server",
                                            "--size",
                                            std::to_string(kDeviceBytes),
                                            "--file",
                                            DeviceFile(),
                                            "--http",
                                            "--port",
                                            std::to_string(server_nbd_port_),
                                            "--seed",
                                            std::to_string(random_())};
  child_server_ = std::make_unique<lab::Process>(command, std::map<std::string, std::string>{},
                                                 folder() + "/storage_server.log");
  for (int i = 0; i < kServerStartAttempts && child_server_->running(); ++i) {
    if (lab::WaitForListener(server_nbd_port_ + 1, kServerStartInterval)) {
      return true;
    }
  }
  return false;
}

lab::InitiatorOptions TestEnvironment::InitiatorSetup() const {
  DeployOptions deploy;
  deploy.nbd_port = nbd_port_;
  deploy.server_ports = {server_nbd_port_};
  for (int path = 1; path < options_.paths; ++path) {
    deploy.server_ports.push_back(server_->port(path));
  }
  deploy.size = kDeviceBytes;
  deploy.plain = options_.plain;
  lab::InitiatorOptions initiator;
  initiator.program = run_.options().program;
  initiator.config = InitiatorConfig(http_port_, discovery_.port());
  initiator.settings = "[integrity]\ndigests = true\nfolder = \"" + folder() + "\"\n" + options_.settings;
  initiator.nbd_deploy_file = FormatDeployFile(deploy);
  return initiator;
}

void TestEnvironment::StartInitiator() {
  initiator_ = lab::StartInitiator(folder_, initiator_options_);
  if (!lab::WaitForListener(nbd_port_, kListenTimeout)) {
    throw BenchError("the initiator does not listen on NBD port " + std::to_string(nbd_port_));
  }
  const Time end = core::Now() + kAttachTimeout;
  while (core::Now() < end) {
    if (IsAttached()) {
      return;
    }
    poll(nullptr, 0, kAttachPollInterval);
  }
  throw BenchError("the initiator did not attach the export in time");
}

bool TestEnvironment::IsAttached() const {
  try {
    return Connect()->Read(0, kAttachReadBytes).error == nbd::kOk;
  } catch (const std::exception&) {
    return false;
  }
}

std::unique_ptr<nbd::BlockingClient> TestEnvironment::Connect(const std::string& export_name) const {
  return std::make_unique<nbd::BlockingClient>(lab::FormatLoopbackAddress(nbd_port_), export_name);
}

void TestEnvironment::WaitForCheckpoint() {
  const bool scrubs = options_.settings.find("on = true") != std::string::npos;
  const std::uint64_t idle_commands = scrubs ? kScrubCommands : 0;
  std::uint64_t before = 0;
  std::uint64_t now = server_->commands();
  while (now - before > idle_commands || before == 0) {
    before = now;
    poll(nullptr, 0, kCheckpointInterval);
    now = server_->commands();
  }
}

CorruptionLog TestEnvironment::LoadCorruptionLog() const {
  poll(nullptr, 0, kLogWriteDelay);
  CorruptionLog log;
  std::string error;
  integrity::CorruptionLogFile(folder()).Load(&log, &error);
  return log;
}

std::string TestEnvironment::RandomData(std::size_t size) {
  const std::lock_guard lock(random_mutex_);
  std::string data(size, '\0');
  for (std::size_t i = 0; i < size; i += sizeof(std::uint64_t)) {
    const std::uint64_t word = random_();
    std::memcpy(data.data() + i, &word, std::min(sizeof word, size - i));
  }
  return data;
}

std::uint64_t TestEnvironment::Draw(std::uint64_t bound) {
  const std::lock_guard lock(random_mutex_);
  return bound == 0 ? 0 : random_() % bound;
}

bool WriteWithRetry(nbd::BlockingClient& client, std::uint64_t offset, const std::string& data) {
  for (int i = 0; i < kWriteAttempts; ++i) {
    const nbd::Error error = client.Write(offset, data).error;
    if (error == nbd::kOk) {
      return true;
    }
    if (error != nbd::kNoMemory) {
      return false;
    }
    poll(nullptr, 0, kRetryInterval);
  }
  return false;
}

}  // namespace walnutspur::bench

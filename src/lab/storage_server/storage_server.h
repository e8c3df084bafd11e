// Fake storage server: stores data, speaks NBD and the platform's HTTP on any number of listeners, and
// corrupts data on demand. It does not compute checksums. HttpTarget stores no data and simulates failures of
// a process; test::StorageServer follows the steps of a scenario.
//
// Its event loop runs on a thread of its own from Start to destruction. The public methods may be called from
// any thread; a mutex guards the data and the faults. Every injected fault is counted.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_STORAGE_SERVER_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_STORAGE_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "http/message_reader.h"
#include "lab/fakes/event_loop_thread.h"
#include "lab/storage_server/block_device.h"
#include "lab/storage_server/corruption_kind.h"
#include "lab/storage_server/error.h"
#include "lab/storage_server/fault_plan.h"
#include "lab/storage_server/faulty_device.h"
#include "lab/storage_server/object_store.h"
#include "loop/listener.h"
#include "nbd/codec.h"

namespace walnutspur::lab {

struct StorageServerOptions {
  std::string export_name = "disk";
  std::uint64_t size = 64 << 20;  // bytes
  std::uint64_t seed = 1;         // of all randomness
  int paths = 1;                  // NBD listeners
  bool http = false;              // one more listener, which speaks HTTP
  std::string file;               // keeps the device's bytes beyond the process; empty: in memory
  std::int64_t delay = 0;         // us before each response
  std::int64_t service = 0;       // us of service time per command; commands are served one at a time
  std::string host = "127.0.0.1";
  std::uint16_t flags = nbd::kHasFlags | nbd::kSendFlush | nbd::kSendFua | nbd::kCanMultiConn;
  int first_port = 0;  // of the first listener, the others follow; 0: free ports
};

class StorageServer {
 public:
  // Opens the listening sockets. Throws StorageServerError, or EventLoopError.
  explicit StorageServer(const StorageServerOptions& options);
  // Closes all connections. Delayed responses are discarded.
  ~StorageServer();
  StorageServer(const StorageServer&) = delete;
  StorageServer& operator=(const StorageServer&) = delete;

  // Starts to serve connections.
  void Start();

  int port(int path) const { return listeners_[static_cast<std::size_t>(path)]->port(); }
  int http_port() const { return listeners_.back()->port(); }

  // Injects a fault into later commands; kStoredBitFlip takes effect at once.
  void AddFault(const Fault& fault);
  void ClearFaults();
  // Returns how often faults of this kind have been injected.
  std::uint64_t injections(CorruptionKind kind) const;
  // Returns the number of commands received over NBD and HTTP.
  std::uint64_t commands() const;
  // Sets StorageServerOptions::service.
  void SetService(std::int64_t us);

  // Returns the result of `call(device)`, which runs while no command is executed.
  template <typename Call>
  auto WithDevice(Call call) {
    const std::lock_guard lock(mutex_);
    return call(device_);
  }

 private:
  struct Connection;

  void Listen();
  bool IsHttpListener(std::size_t index) const;
  void OnAccept(int path, evutil_socket_t fd);
  void OnReadable(Connection& connection);
  // Each executes the complete commands among the bytes and returns whether the connection stays open.
  bool ReceiveNbd(Connection& connection, std::string_view bytes);
  bool ReceiveHttp(Connection& connection, std::string_view bytes);
  void ExecuteNbd(Connection& connection, const nbd::Request& request);
  bool IsOutOfRange(const nbd::Request& request) const;
  std::string ExecuteHttp(http::MessageReader& request);
  // Sends a response after the delay and service time of its command.
  void Respond(Connection& connection, std::string bytes);

  mutable std::mutex mutex_;  // guards the members from here up to the event loop
  StorageServerOptions options_;
  BlockDevice device_;
  FaultPlan faults_;
  FaultyDevice faulty_device_;
  ObjectStore objects_;
  std::uint64_t commands_ = 0;
  std::int64_t busy_until_ = 0;  // us on the steady clock: when the commands received so far are served
  std::vector<nbd::Export> exports_;

  // Used only by the thread of the loop while the loop runs. The loop is destroyed last.
  EventLoopThread loop_;
  std::vector<std::unique_ptr<loop::Listener>> listeners_;  // by path; the one for HTTP is the last
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::uint64_t next_connection_ = 1;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_STORAGE_SERVER_H_

// Performs attempts and health checks over HTTP: assigns each a connection to its target and reports its
// outcome exactly once.
//
// Owned by the initiator; runs on the loop's thread. Results are passed to `submit`. docs/design/races.md
// lists the races between events of a connection.
#ifndef WALNUTSPUR_HTTP_TARGET_POOL_H_
#define WALNUTSPUR_HTTP_TARGET_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/memory_account.h"
#include "core/port.h"
#include "http/config.h"
#include "http/connection_pool.h"
#include "http/messages.h"
#include "http/target_connection.h"

namespace walnutspur::http {

class TargetPool : public core::Connector, private TargetConnectionHandler {
 public:
  // `config` and `memory` must outlive the pool, and `memory` its responses too.
  TargetPool(event_base* base, const Config& config, core::MemoryAccount* memory, core::SubmitInput submit);
  ~TargetPool() override;
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  // Sets the number of file descriptors that the process may use.
  void SetSocketLimit(int sockets) { pool_.SetSocketLimit(sockets); }
  // Sets a target's address, "host:port", which may change.
  void SetAddress(const TargetId& target, const std::string& address) { pool_.SetAddress(target, address); }
  // Removes a terminated target.
  void Remove(const TargetId& target) { pool_.Remove(target); }
  // Removes all targets except those of a full endpoint list.
  void RetainOnly(const std::set<TargetId>& targets) { pool_.RetainOnly(targets); }

  void Start(const core::StartAttempt& attempt) override;
  void Cancel(core::RequestNumber request, int attempt) override;
  // Fails the target's attempts that are not sent yet and closes its idle connections.
  void Drain(const TargetId& target) override;
  void CheckHealth(const TargetId& target);

  // Called before an attempt is written to a connection, since its client may have disconnected while the
  // connection was being established.
  std::function<bool(core::RequestNumber)> is_client_connected = [](core::RequestNumber) { return true; };
  // Called for each read whose response has a digest; `good` is whether the content matches it.
  std::function<void(const TargetId& target, const std::string& uri, bool good, const std::string& body)>
      on_digest_checked;

  std::size_t connections() const { return pool_.connections(); }
  // Returns the number of connections that an attempt can reuse.
  std::size_t idle_connections(const TargetId& target) const { return pool_.idle_connections(target); }
  std::map<TargetId, std::uint32_t> connections_by_target() const { return pool_.connections_by_target(); }
  std::size_t tracked_targets() const { return pool_.tracked_targets(); }

 private:
  void OnConnected(TargetConnection& connection) override;
  void OnReadable(TargetConnection& connection) override;
  void OnClosed(TargetConnection& connection, bool is_error) override;
  void OnConnectTimeout(TargetConnection& connection) override;
  void OnAttemptTimeout(TargetConnection& connection) override;
  void OnSettled(TargetConnection& connection) override;
  void OnIdleTimeout(TargetConnection& connection) override;
  void OnHoldTimeout(TargetConnection& connection) override;

  // `request`: null for a health check.
  void Launch(Attempt attempt, const TargetId& target, const std::shared_ptr<const Request>& request);
  void SendOrAbort(TargetConnection& connection);
  void MoveToNewConnection(TargetConnection& from);
  void Abandon(TargetConnection& connection, Outcome outcome);
  void Fail(TargetConnection& connection, Outcome outcome);
  // Parses the input of a connection whose attempt awaits its response.
  void ReadResponse(TargetConnection& connection);
  void OnResponse(TargetConnection& connection);
  bool ShouldStream(const TargetConnection& connection) const;
  // Begins the stream, or pauses the connection until there is memory for one.
  void TryBeginStream(TargetConnection& connection);
  void BeginStream(TargetConnection& connection);
  void PassOnBody(TargetConnection& connection);
  void FinishStream(TargetConnection& connection);
  void ResumeStream(TargetConnection& connection);
  std::shared_ptr<const Response> TakeResponse(TargetConnection& connection) const;
  // Reserves what a response holds, or pauses its connection until there is memory.
  void ReserveMemory(TargetConnection& connection);
  void WaitForMemory(TargetConnection& connection, bool wants_stream);
  void RetryWaiting();
  void OnCorruptedResponse(TargetConnection& connection);
  void ReportNotSent(const loop::AttemptKey& key, const TargetId& target, Outcome outcome);
  void ReportOutcome(TargetConnection& connection, Outcome outcome);
  void Report(TargetConnection& connection, core::AttemptResult result);
  bool HasMemoryForResponses() const;

  const Config& config_;
  core::SubmitInput submit_;
  core::MemoryAccount* memory_;
  std::size_t max_large_response_bytes_;
  std::uint64_t health_checks_ = 0;
  ConnectionPool pool_;
  std::map<loop::AttemptKey, TargetConnection*> attempts_;
  std::map<loop::AttemptKey, bool> waiting_;  // responses that wait for memory, and whether to be streamed
  loop::EventHandle memory_timer_;            // while there are any
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_TARGET_POOL_H_

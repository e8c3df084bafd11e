// Class TargetPool executes attempts over NBD on a pool of connections to storage servers. Each connection is
// used by several attempts at a time.
//
// Owned by ChecksummedExports, which forwards attempts to it; runs on the event loop's thread. Results are
// passed to `submit`.
#ifndef WALNUTSPUR_NBD_TARGET_POOL_H_
#define WALNUTSPUR_NBD_TARGET_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/port.h"
#include "loop/attempt_key.h"
#include "loop/loop.h"
#include "nbd/config.h"
#include "nbd/target_connection.h"

namespace walnutspur::nbd {

class TargetPool : public core::Connector, private TargetConnectionOwner {
 public:
  // `max_connections` limits the number of connections to all targets. `config` must outlive the pool.
  TargetPool(event_base* base, const Config& config, std::size_t max_connections, core::SubmitInput submit);

  // core::Connector
  void Start(const core::StartAttempt& attempt) override;
  void Cancel(core::RequestNumber request, int attempt) override;
  void Drain(const TargetId& target) override;

  std::size_t connections() const { return connections_.size(); }
  // Returns the transmission flags of an export, or nullopt if no connection to the export is ready.
  std::optional<std::uint16_t> flags(const TargetId& target, const std::string& remote) const;

 private:
  // An attempt that has no result yet.
  struct PendingAttempt {
    core::StartAttempt attempt;
    TargetConnection* connection = nullptr;
    std::uint64_t cookie = 0;  // 0: the attempt waits for the handshake
    Time started_at = 0;       // us
    Time expires_at = 0;       // us
    loop::EventHandle timeout;
  };

  // TargetConnectionOwner
  void OnReady(TargetConnection& connection, const loop::AttemptKey& key) override;
  void OnReply(const loop::AttemptKey& key, Reply reply) override;
  void OnEnd(TargetConnection& connection) override;

  TargetConnection* FindConnection(const TargetExport& target_export);
  TargetConnection* OpenConnection(const TargetExport& target_export);
  void OnTimeout(const loop::AttemptKey& key);
  void Abandon(const loop::AttemptKey& key, Outcome outcome);
  void Report(const loop::AttemptKey& key, Outcome outcome, core::PayloadRef payload = nullptr);

  event_base* base_;
  const Config& config_;
  std::size_t max_connections_;
  core::SubmitInput submit_;
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_cookie_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<TargetConnection>> connections_;  // key: its number
  std::map<loop::AttemptKey, PendingAttempt> pending_;
};

// Returns the outcome of an attempt whose reply was received completely.
Outcome OutcomeOf(Error error, std::uint16_t command);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_TARGET_POOL_H_

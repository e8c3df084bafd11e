// Carries out attempts over NBD: a pool of connections to storage servers, each used by several attempts at a
// time.
//
// Owned by ChecksummedExports, which passes the attempts on; runs on the loop's thread. Results go out
// through `submit`.
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
  // `max_connections` bounds the connections to all targets. `config` must outlive the pool.
  TargetPool(event_base* base, const Config& config, std::size_t max_connections, core::SubmitInput submit);

  // core::Connector
  void Start(const core::StartAttempt& attempt) override;
  void Cancel(core::RequestNumber request, int attempt) override;
  void Drain(const TargetId& target) override;

  std::size_t connections() const { return connections_.size(); }
  // The transmission flags of an export, as long as a connection to it is ready; else empty.
  std::optional<std::uint16_t> flags(const TargetId& target, const std::string& remote) const;

 private:
  // An attempt that has no result yet.
  struct PendingAttempt {
    core::StartAttempt attempt;
    TargetConnection* connection = nullptr;
    std::uint64_t cookie = 0;  // 0: waits for the handshake
    Time started_at = 0;       // us
    loop::EventHandle timeout;
  };

  // TargetConnectionOwner
  void OnReady(TargetConnection& connection, const loop::AttemptKey& key) override;
  void OnReply(const loop::AttemptKey& key, Reply reply) override;
  void OnEnd(TargetConnection& connection) override;

  TargetConnection* FindConnection(const TargetExport& target_export);
  TargetConnection* OpenConnection(const TargetExport& target_export);
  void Abandon(const loop::AttemptKey& key, Outcome outcome);
  void Report(const loop::AttemptKey& key, Outcome outcome, core::PayloadRef payload = nullptr);

  event_base* base_;
  const Config& config_;
  std::size_t max_connections_;
  core::SubmitInput submit_;
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_cookie_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<TargetConnection>> connections_;  // by number
  std::map<loop::AttemptKey, PendingAttempt> pending_;
};

// The outcome of an attempt whose reply was received in full.
Outcome OutcomeOf(Error error, std::uint16_t command);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_TARGET_POOL_H_

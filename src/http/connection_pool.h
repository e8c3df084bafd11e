// The connections to all targets, within a bound of descriptors: idle ones to be used again, spare ones that
// are still being set up, and those that carry an attempt.
//
// Owned by the TargetPool; runs on the loop's thread.
#ifndef WALNUTSPUR_HTTP_CONNECTION_POOL_H_
#define WALNUTSPUR_HTTP_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/config.h"
#include "http/target_connection.h"
#include "loop/loop.h"

namespace walnutspur::http {

class ConnectionPool {
 public:
  // `config` and `handler`, which takes the connections' events, must outlive it.
  ConnectionPool(event_base* base, const Config& config, TargetConnectionHandler* handler);

  // Where a target listens, "host:port". If that changes, its idle and spare connections close.
  void SetAddress(const TargetId& target, const std::string& address);
  // Removes a target and closes its idle and spare connections.
  void Remove(const TargetId& target);
  // Removes all targets but these.
  void RetainOnly(const std::set<TargetId>& targets);
  // Closes the connections to a target that carry no attempt.
  void CloseIdle(const TargetId& target);

  // Removes an idle connection to the target from the idle ones and returns it; null: there is none.
  TargetConnection* TakeIdle(const TargetId& target);
  // Begins a new connection; null: no address that can be reached, or no descriptor.
  TargetConnection* Open(const TargetId& target);

  // Takes back a connection whose attempt is over.
  void Return(TargetConnection& connection);
  // Keeps a connection without an attempt until it is connected; one for each target, see HasSpare.
  void KeepSpare(TargetConnection& connection);
  // A spare connection is connected: it is idle now.
  void OnSpareConnected(TargetConnection& connection);
  // Closes a connection. Its memory is freed in the loop's next turn, outside of its own callbacks.
  void Discard(TargetConnection& connection);

  bool HasSpare(const TargetId& target) const { return spares_.contains(target); }
  // The address of a known target.
  const std::string& AddressOf(const TargetId& target) const { return addresses_.at(target); }

  std::size_t connections() const { return connections_.size(); }
  std::size_t idle_connections(const TargetId& target) const;
  std::map<TargetId, std::uint32_t> connections_by_target() const;
  std::size_t tracked_targets() const { return addresses_.size() + idle_.size(); }

 private:
  bool MakeRoom();

  event_base* base_;
  const Config& config_;
  TargetConnectionHandler* handler_;
  std::size_t max_connections_;
  std::uint64_t next_connection_ = 1;
  std::map<TargetId, std::string> addresses_;
  std::map<TargetId, std::vector<TargetConnection*>> idle_;  // the last one used at the end; none is empty
  std::map<TargetId, TargetConnection*> spares_;
  std::unordered_map<std::uint64_t, std::unique_ptr<TargetConnection>> connections_;  // by number
  std::vector<std::unique_ptr<TargetConnection>> discarded_;
  loop::EventHandle free_discarded_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_CONNECTION_POOL_H_

// Manages the connections to all targets within a limit of file descriptors: idle connections for reuse,
// spare connections that are still being established, and connections that carry an attempt.
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
  // `config` and `handler`, which receives the connections' events, must outlive the pool.
  ConnectionPool(event_base* base, const Config& config, TargetConnectionHandler* handler);

  // Sets the number of file descriptors that the process may use.
  void SetSocketLimit(int sockets);

  // Sets a target's address, "host:port". If it changes, the target's idle and spare connections are closed.
  void SetAddress(const TargetId& target, const std::string& address);
  // Removes a target and closes its idle and spare connections.
  void Remove(const TargetId& target);
  // Removes all targets except these.
  void RetainOnly(const std::set<TargetId>& targets);
  // Closes the connections to a target that carry no attempt.
  void CloseIdle(const TargetId& target);

  // Takes an idle connection to the target out of the pool and returns it; null if there is none.
  TargetConnection* TakeIdle(const TargetId& target);
  // Opens a new connection; null if the target has no usable address or no descriptor is available.
  TargetConnection* Open(const TargetId& target);

  // Returns a connection whose attempt has ended to the pool.
  void Return(TargetConnection& connection);
  // Keeps a connection without an attempt while it is being established; at most one per target (HasSpare).
  void KeepSpare(TargetConnection& connection);
  // Marks a spare connection idle once it is established.
  void OnSpareConnected(TargetConnection& connection);
  // Closes a connection. Its memory is freed in the loop's next iteration, outside of its own callbacks.
  void Discard(TargetConnection& connection);

  bool HasSpare(const TargetId& target) const { return spares_.contains(target); }
  // Returns the address of a target that has one.
  const std::string& AddressOf(const TargetId& target) const { return addresses_.at(target); }

  std::size_t connections() const { return connections_.size(); }
  std::size_t idle_connections(const TargetId& target) const;
  std::map<TargetId, std::uint32_t> connections_by_target() const;
  std::size_t tracked_targets() const { return addresses_.size() + idle_.size(); }

 private:
  bool EnsureCapacity();

  event_base* base_;
  const Config& config_;
  TargetConnectionHandler* handler_;
  std::size_t max_connections_ = 0;
  std::uint64_t next_connection_ = 1;
  std::map<TargetId, std::string> addresses_;
  std::map<TargetId, std::vector<TargetConnection*>> idle_;  // most recently used last; no vector is empty
  std::map<TargetId, TargetConnection*> spares_;
  std::unordered_map<std::uint64_t, std::unique_ptr<TargetConnection>> connections_;  // by number
  std::vector<std::unique_ptr<TargetConnection>> discarded_;
  loop::EventHandle free_discarded_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_CONNECTION_POOL_H_

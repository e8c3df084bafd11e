// A stand-in for the platform's discovery service: serves the list of members over HTTP, and watches that
// report each change.
//
// Serves from construction to destruction on a thread of its own. Set may be called from any thread.
#ifndef WALNUTSPUR_LAB_DISCOVERY_H_
#define WALNUTSPUR_LAB_DISCOVERY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>

#include "lab/standins/event_loop_thread.h"
#include "loop/listener.h"
#include "loop/loop.h"

namespace walnutspur::lab {

// The stand-in cannot listen.
class DiscoveryError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An entry of the list: a storage server, or an instance of the fleet.
struct Member {
  std::string id;
  std::string host_port;
  std::string phase = "SERVING";
  int shard = 0;
  std::int64_t up_since_ms = 0;  // Unix time
};

class Discovery {
 public:
  // Listens on a free port of 127.0.0.1. Throws DiscoveryError, or EventLoopError.
  Discovery();
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  int port() const { return listener_->port(); }
  // Adds or replaces the member with this id and notifies every watch. A DELETED one is reported to the
  // watches and is not in the list afterwards.
  void Set(const Member& member);

 private:
  struct Connection;

  void OnAccept(evutil_socket_t fd);
  void OnReadable(Connection& connection);
  void OnMembersChanged();
  // To every watch.
  void Broadcast(const std::string& line);
  // The document of these members. The caller holds the mutex.
  std::string FormatList(bool complete, const std::map<std::string, Member>& members) const;

  std::mutex mutex_;  // guards the three below
  int revision_ = 1;
  std::map<std::string, Member> members_;  // by id
  std::map<std::string, Member> changes_;  // by id: set and not yet sent to the watches

  // Used by the loop's thread alone once it runs. The loop is destroyed last.
  EventLoopThread loop_;
  loop::EventHandle members_changed_;
  loop::EventHandle heartbeat_;
  std::unique_ptr<loop::Listener> listener_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_DISCOVERY_H_

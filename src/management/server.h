// Accepts the calls of the operators' staff: each connection carries one call and its reply.
//
// Owned by the Initiator; runs on the event-loop thread. The handler replies at once or later, with
// Server::Reply.
#ifndef WALNUTSPUR_MANAGEMENT_SERVER_H_
#define WALNUTSPUR_MANAGEMENT_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "loop/address.h"
#include "loop/listener.h"
#include "loop/loop.h"
#include "loop/stream.h"
#include "management/call.h"

namespace walnutspur::management {

// Identifies a call that awaits its reply; never reused within a process.
using CallId = std::uint64_t;

// Returns how many connections the server may hold in a process with `sockets` file descriptors.
std::size_t MaxConnections(int sockets);

class Server {
 public:
  using OnCall = std::function<void(CallId id, const Call& call)>;

  // Listens on the address and calls `on_call` for each complete call. Throws loop::ListenError or
  // loop::AddressError.
  Server(event_base* base, const loop::Address& address, std::size_t max_connections, OnCall on_call);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Sends the reply, a complete line, to a call. Does nothing if its caller has disconnected.
  void Reply(CallId id, std::string_view line);

  std::size_t connections() const { return connections_.size(); }
  int port() const { return listener_.port(); }

 private:
  struct Connection;

  loop::ListenerCallbacks MakeListenerCallbacks();
  void OnAccept(evutil_socket_t fd);
  void OnReadable(Connection& connection);
  void OnEvent(Connection& connection, loop::EventMask events);
  void Close(CallId id);
  bool HasCapacity();
  // Closes the connection that has waited longest without a complete line; returns whether there was one.
  bool EvictSilentConnection();

  event_base* base_;
  std::size_t max_connections_;
  OnCall on_call_;
  CallId next_connection_ = 1;
  std::unordered_map<CallId, std::unique_ptr<Connection>> connections_;  // by the id of their call
  loop::Listener listener_;
};

}  // namespace walnutspur::management

#endif  // WALNUTSPUR_MANAGEMENT_SERVER_H_

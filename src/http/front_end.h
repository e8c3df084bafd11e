// Implements the HTTP front end: accepts client connections, submits their requests to the scheduler, and
// sends one response to each request.
//
// Owned by the initiator; runs on the loop's thread. Requests are passed to `submit`; responses arrive
// through Respond.
#ifndef WALNUTSPUR_HTTP_FRONT_END_H_
#define WALNUTSPUR_HTTP_FRONT_END_H_

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/memory_account.h"
#include "core/port.h"
#include "frontend/eviction_policy.h"
#include "frontend/pending_requests.h"
#include "frontend/shutdown_sequence.h"
#include "http/client_connection.h"
#include "http/config.h"
#include "http/messages.h"
#include "http/request_admission.h"
#include "loop/iteration_clock.h"
#include "loop/listener.h"
#include "loop/loop.h"

namespace walnutspur::http {

class FrontEnd : public core::FrontEnd, private ClientConnectionHandler {
 public:
  // Listens on the config's address; throws loop::ListenError or loop::AddressError. `config`,
  // `request_numbers` and `memory` must outlive the front end, and `memory` its requests too.
  FrontEnd(event_base* base, const Config& config, core::RequestNumbers* request_numbers,
           core::MemoryAccount* memory, core::SubmitInput submit);
  ~FrontEnd() override;
  FrontEnd(const FrontEnd&) = delete;
  FrontEnd& operator=(const FrontEnd&) = delete;

  void Respond(const core::Response& response) override;
  std::size_t pending_requests() const override { return pending_.size(); }
  bool IsClientConnected(core::RequestNumber request) override;
  void SetShutdownDeadline(Time deadline) override;
  void AdvanceShutdown(Time left) override;
  std::size_t connections() const override { return clients_.size(); }

  // Makes readiness checks succeed from now on.
  void set_ready() { ready_ = true; }
  bool ready() const { return ready_; }

  // Called with the stream of each accepted connection, before any input is read.
  std::function<void(bufferevent*)> on_accept;

  int port() const { return listener_.port(); }

  // Sets the number of file descriptors that the process may use.
  void SetSocketLimit(int sockets);
  // Leaves new connections to another process that listens at the same address, and closes each connection
  // with its next response.
  void HandOver();
  // Accepts connections again after HandOver. Throws loop::ListenError.
  void TakeBack();

 private:
  void OnRequest(ClientConnection& client) override;
  void Close(ClientConnection& client) override;
  bool ReserveMemory(ClientConnection& client, std::size_t bytes) override;
  bool IsOpen(std::uint64_t connection_number) const override { return clients_.contains(connection_number); }

  loop::ListenerCallbacks MakeListenerCallbacks();
  void OnAccept(evutil_socket_t fd);
  bool HasCapacity();
  bool EvictConnection();
  void RespondToReadinessCheck(ClientConnection& client) const;
  void Submit(ClientConnection& client, AdmittedRequest admitted);
  void RespondServed(ClientConnection& client, const Response& served) const;
  bool HasMemoryFor(std::size_t size) const;

  event_base* base_;
  const Config& config_;
  core::RequestNumbers* request_numbers_;
  core::MemoryAccount* memory_;
  core::SubmitInput submit_;
  bool ready_ = false;
  frontend::ShutdownSequence shutdown_;
  frontend::EvictionPolicy eviction_;
  std::size_t max_connections_ = 1;
  std::uint64_t next_connection_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<ClientConnection>> clients_;  // by number
  frontend::PendingRequests<std::uint64_t> pending_;                              // by connection number
  loop::IterationClock turn_clock_;
  loop::Listener listener_;
  loop::EventHandle close_listener_timer_;  // while connections that are being established arrive
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_FRONT_END_H_

// Class FrontEnd accepts NBD clients, submits their commands to the scheduler thread and sends the response
// to each command exactly once.
//
// Owned by the initiator; runs on the event loop's thread. Requests are passed to `submit`; responses are
// delivered by Respond.
#ifndef WALNUTSPUR_NBD_FRONT_END_H_
#define WALNUTSPUR_NBD_FRONT_END_H_

#include <event2/bufferevent.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "core/memory_account.h"
#include "core/port.h"
#include "frontend/eviction_policy.h"
#include "frontend/pending_requests.h"
#include "frontend/shutdown_sequence.h"
#include "loop/listener.h"
#include "loop/loop.h"
#include "nbd/client_connection.h"
#include "nbd/command.h"
#include "nbd/config.h"
#include "nbd/payload.h"

namespace walnutspur::nbd {

class FrontEnd : public core::FrontEnd, private ClientConnectionOwner {
 public:
  // Starts listening on Config::listen; throws loop::ListenError or loop::AddressError on failure.
  // `max_connections` limits the number of clients. All references and pointers must outlive the front end,
  // and `memory` its requests too.
  FrontEnd(event_base* base, const Config& config, const Settings& settings, std::size_t max_connections,
           core::RequestNumbers* request_numbers, core::MemoryAccount* memory, core::SubmitInput submit);
  ~FrontEnd() override;

  // core::FrontEnd
  void Respond(const core::Response& response) override;
  std::size_t pending_requests() const override { return pending_.size(); }
  bool IsClientConnected(core::RequestNumber request) override;
  void SetShutdownDeadline(Time deadline) override;
  void AdvanceShutdown(Time left) override;
  std::size_t connections() const override { return clients_.size(); }

  // Returns the port that the front end listens on.
  int port() const { return listener_.port(); }

  // Called with the stream of each connection that is accepted.
  std::function<void(bufferevent*)> on_accept;

 private:
  // The connection and command that a request originates from.
  struct RequestOrigin {
    std::uint64_t connection = 0;  // ClientConnection::number()
    std::uint64_t cookie = 0;      // chosen by the client
  };

  // ClientConnectionOwner
  void OnCommand(ClientConnection& connection, Request request) override;
  void OnEnd(ClientConnection& connection, EndReason reason, const std::string& error) override;
  bool draining() const override { return shutdown_.is_draining(); }

  void OnAccept(evutil_socket_t fd);
  bool HasCapacity();
  bool EvictConnection();
  std::optional<CommandError> Check(const ClientConnection& connection, const Request& request) const;
  const Volume& VolumeOf(const ClientConnection& connection) const;
  core::RequestReceived MakeRequest(const Volume& volume, const Request& request);
  // Reserves the memory of a command and its reply. Returns whether there is enough.
  bool Reserve(const ClientConnection& connection, const Request& request,
               core::MemoryReservation* memory) const;
  std::shared_ptr<CommandPayload> MakePayload(const Volume& volume, Request request) const;

  event_base* base_;
  const Config& config_;
  const Settings& settings_;
  std::size_t max_connections_;
  core::RequestNumbers* request_numbers_;
  core::MemoryAccount* memory_;
  core::SubmitInput submit_;
  frontend::ShutdownSequence shutdown_;
  frontend::EvictionPolicy eviction_;
  std::uint64_t next_client_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<ClientConnection>> clients_;  // key: its number
  frontend::PendingRequests<RequestOrigin> pending_;
  loop::Listener listener_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_FRONT_END_H_

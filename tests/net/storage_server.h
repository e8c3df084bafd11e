// Storage servers that a scenario plays: the targets of the initiator's attempts, over HTTP or NBD.
//
// Unlike lab::HttpTarget and lab::StorageServer they store nothing and do nothing by themselves: each
// response is a step of the scenario, and may violate the protocol.
//
// Owner: the ScenarioRunner, one object per target. Thread: the test's own; a test may serve the listener on
// a thread of its own instead, as long as the scenario leaves that target alone.
#ifndef WALNUTSPUR_TESTS_NET_STORAGE_SERVER_H_
#define WALNUTSPUR_TESTS_NET_STORAGE_SERVER_H_

#include <poll.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/engine.h"
#include "http_message.h"
#include "loopback_socket.h"
#include "nbd/codec.h"

namespace walnutspur::test {

// What a storage server sees next on any of its connections.
enum class ServerEvent { kRead, kWrite, kFlush, kClosed, kNothing };

// The word of the scenario language for the event.
std::string NameOf(ServerEvent event);

// Accepts connections of the initiator, reports its requests one by one and responds as the scenario says.
class StorageServer {
 public:
  explicit StorageServer(int shard);
  virtual ~StorageServer() = default;

  // Waits up to `ms` milliseconds for a request or the end of a connection. Accepts connections meanwhile.
  ServerEvent WaitForEvent(int ms);
  // Responds to the last request: ok, ok-and-more, ok-and-closes, error, busy, busy-may-have, noise, huge,
  // split, torn, short, half or strange.
  void Respond(const std::string& kind);
  // Sends bytes on the connection of the last request.
  void SendBytes(const std::string& bytes);
  // Closes the connection of the last request, if there was any.
  void CloseConnection(bool reset);
  void CloseListener() { listener_.Close(); }

  int port() const { return port_; }
  int shard() const { return shard_; }
  const Socket& listener() const { return listener_; }
  // How many connections the initiator has made so far.
  std::size_t connections() const { return connections_.size(); }
  // The last request, of the protocol in use.
  const HttpMessage& http_request() const { return http_request_; }
  const nbd::Request& nbd_request() const { return nbd_request_; }

 protected:
  struct Connection {
    Socket socket;
    std::unique_ptr<nbd::ServerSession> session;  // of NBD
    std::vector<nbd::Request> requests;           // of NBD: received and not yet reported
  };

  virtual void OnAccepted(Connection& connection) = 0;
  // Handles the bytes that the connection has received.
  virtual void OnReceived(Connection& connection) = 0;
  // Takes the next complete request of the connection, if there is one.
  virtual std::optional<ServerEvent> TakeRequest(Connection& connection) = 0;
  // The bytes of a response to the last request.
  virtual std::string Response(const std::string& kind) = 0;

  Connection* last_connection_ = nullptr;  // of the last request
  HttpMessage http_request_;
  nbd::Request nbd_request_;

 private:
  std::optional<ServerEvent> TakeAnyRequest();
  bool ReadConnections(const std::vector<pollfd>& polled);

  int port_ = 0;
  int shard_ = 0;
  Socket listener_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

// Serves objects over HTTP.
class HttpStorageServer : public StorageServer {
 public:
  using StorageServer::StorageServer;

 protected:
  void OnAccepted(Connection&) override {}
  void OnReceived(Connection&) override {}
  std::optional<ServerEvent> TakeRequest(Connection& connection) override;
  std::string Response(const std::string& kind) override;
};

// Serves exports over NBD with structured replies.
class NbdStorageServer : public StorageServer {
 public:
  NbdStorageServer(int shard, std::vector<nbd::Export> exports);

 protected:
  void OnAccepted(Connection& connection) override;
  void OnReceived(Connection& connection) override;
  std::optional<ServerEvent> TakeRequest(Connection& connection) override;
  std::string Response(const std::string& kind) override;

 private:
  // A data chunk's payload: `size` bytes at `from` bytes behind the start of the request.
  std::string DataAt(std::uint64_t from, std::uint32_t size) const;
  // A response that violates the protocol or is incomplete; nothing for any other kind.
  std::optional<std::string> MalformedResponse(const std::string& kind) const;
  std::string SplitResponse() const;
  std::string TornResponse() const;
  std::string SingleChunk(std::uint32_t size) const;

  std::vector<nbd::Export> exports_;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_STORAGE_SERVER_H_

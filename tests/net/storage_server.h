// Implements the storage servers of a scenario: the targets of the initiator's attempts, over HTTP or NBD.
//
// Unlike lab::HttpTarget and lab::StorageServer they store nothing and send nothing on their own: each
// response is a step of the scenario and may violate the protocol.
//
// Owned by the ScenarioRunner, one object per target; runs on the test's thread. A test may instead serve the
// listener on another thread if the scenario has no steps for that target.
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

// The next event on any connection of a storage server.
enum class ServerEvent { kRead, kWrite, kFlush, kClosed, kNothing };

// Returns the scenario language's word for the event.
std::string NameOf(ServerEvent event);

// Class StorageServer accepts the initiator's connections, reports its requests one at a time and responds as
// the scenario specifies.
class StorageServer {
 public:
  explicit StorageServer(int shard);
  virtual ~StorageServer() = default;

  // Accepts connections for up to `ms` milliseconds until a request arrives or a connection ends.
  ServerEvent WaitForEvent(int ms);
  // Responds to the last request: ok, ok-and-more, ok-and-closes, error, busy, busy-may-have, noise, huge,
  // split, torn, short, half or strange.
  void Respond(const std::string& kind);
  // Sends bytes on the connection of the last request.
  void SendBytes(const std::string& bytes);
  // Closes the connection of the last request, if there was one.
  void CloseConnection(bool reset);
  void CloseListener() { listener_.Close(); }

  int port() const { return port_; }
  int shard() const { return shard_; }
  const Socket& listener() const { return listener_; }
  // Returns the number of connections that the initiator has opened so far.
  std::size_t connections() const { return connections_.size(); }
  // Return the last request, by protocol.
  const HttpMessage& http_request() const { return http_request_; }
  const nbd::Request& nbd_request() const { return nbd_request_; }

 protected:
  struct Connection {
    Socket socket;
    std::unique_ptr<nbd::ServerSession> session;  // only for NBD
    std::vector<nbd::Request> requests;           // only for NBD: received and not yet reported
  };

  virtual void OnAccepted(Connection& connection) = 0;
  // Called when the connection has received bytes.
  virtual void OnReceived(Connection& connection) = 0;
  // Takes the next complete request of the connection. Returns nullopt if there is none.
  virtual std::optional<ServerEvent> TakeRequest(Connection& connection) = 0;
  // Returns the bytes of a response to the last request.
  virtual std::string Response(const std::string& kind) = 0;

  Connection* last_connection_ = nullptr;  // the connection of the last request
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

// Class HttpStorageServer serves objects over HTTP.
class HttpStorageServer : public StorageServer {
 public:
  using StorageServer::StorageServer;

 protected:
  void OnAccepted(Connection&) override {}
  void OnReceived(Connection&) override {}
  std::optional<ServerEvent> TakeRequest(Connection& connection) override;
  std::string Response(const std::string& kind) override;
};

// Class NbdStorageServer serves exports over NBD with structured replies.
class NbdStorageServer : public StorageServer {
 public:
  NbdStorageServer(int shard, std::vector<nbd::Export> exports);

 protected:
  void OnAccepted(Connection& connection) override;
  void OnReceived(Connection& connection) override;
  std::optional<ServerEvent> TakeRequest(Connection& connection) override;
  std::string Response(const std::string& kind) override;

 private:
  // Returns a data chunk's payload: `size` bytes, `from` bytes after the start of the request.
  std::string DataAt(std::uint64_t from, std::uint32_t size) const;
  // Returns a response that violates the protocol or is incomplete, or nullopt for any other kind.
  std::optional<std::string> MalformedResponse(const std::string& kind) const;
  std::string SplitResponse() const;
  std::string TornResponse() const;
  std::string SingleChunk(std::uint32_t size) const;

  std::vector<nbd::Export> exports_;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_STORAGE_SERVER_H_

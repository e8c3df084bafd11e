// Implements the clients of a scenario, which connect to the initiator's front ends over HTTP or NBD.
//
// Owned by the ScenarioRunner, one object per name in the scenario; runs on the test's thread.
#ifndef WALNUTSPUR_TESTS_NET_SCENARIO_CLIENT_H_
#define WALNUTSPUR_TESTS_NET_SCENARIO_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/engine.h"
#include "http_message.h"
#include "loopback_socket.h"
#include "nbd/codec.h"

namespace walnutspur::test {

// The next event on a client's connection.
enum class ClientEvent { kServed, kRejected, kFailed, kClosed, kNothing };

// Returns the scenario language's word for the event.
std::string NameOf(ClientEvent event);

// A request as described by a scenario step.
struct ClientRequest {
  std::string request_class;  // read, write or flush
  std::string target;         // a or b
  std::string body;           // for HTTP writes
  std::uint32_t id = 0;
  Time deadline = 0;  // in microseconds
};

// A client with one connection to the initiator. The base class sends raw bytes and reads HTTP responses.
class ScenarioClient {
 public:
  virtual ~ScenarioClient() = default;

  // Connects to the front end that listens on `port`.
  void Connect(int port) { socket_ = Socket::Connect(port); }
  bool connected() const { return socket_.open(); }
  void Close(bool reset) { socket_.Close(reset); }

  // Sends raw bytes, which need not form a request.
  void SendBytes(const std::string& bytes);
  // Sends a well-formed request and stores its class.
  void SendRequest(const ClientRequest& request);
  // Waits up to `ms` milliseconds for the next event and returns it. Stores a response in `response`.
  virtual ClientEvent Receive(int ms, HttpMessage* response);

  // Returns the class of the last well-formed request; empty if there was none.
  const std::string& request_class() const { return request_class_; }
  // Returns when the client last sent something, in microseconds of core::Now().
  Time sent_at() const { return sent_at_; }

 protected:
  virtual void WriteRequest(const ClientRequest& request) = 0;

  // Returns the event for a read that got no complete response.
  ClientEvent NoResponse() const { return connected() ? ClientEvent::kNothing : ClientEvent::kClosed; }

  Socket socket_;

 private:
  std::string request_class_;
  Time sent_at_ = 0;
};

// Class HttpScenarioClient is a client of the HTTP front end.
class HttpScenarioClient : public ScenarioClient {
 protected:
  void WriteRequest(const ClientRequest& request) override;
};

// Class NbdScenarioClient is a client of the NBD front end. It negotiates before its first request.
class NbdScenarioClient : public ScenarioClient {
 public:
  ClientEvent Receive(int ms, HttpMessage* response) override;

 protected:
  void WriteRequest(const ClientRequest& request) override;

 private:
  void Negotiate(const std::string& export_name);

  std::unique_ptr<nbd::ClientSession> session_;  // null until the first request
  std::vector<nbd::Reply> replies_;              // replies received and not yet returned by Receive
  std::uint64_t next_cookie_ = 1;
};

// Creates an unconnected client for the protocol.
std::unique_ptr<ScenarioClient> MakeScenarioClient(core::Protocol protocol);

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_CLIENT_H_

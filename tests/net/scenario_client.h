// Clients that a scenario plays against the initiator's front ends, over HTTP or NBD.
//
// Owner: the ScenarioRunner, one object per name in the scenario. Thread: the test's own.
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

// What a client sees next on its connection.
enum class ClientEvent { kServed, kRefused, kFailed, kClosed, kNothing };

// The word of the scenario language for the event.
std::string NameOf(ClientEvent event);

// A request as the scenario names it.
struct ClientRequest {
  std::string request_class;  // read, write or flush
  std::string target;         // a or b
  std::string body;           // of an HTTP write
  std::uint32_t id = 0;
  Time deadline = 0;  // in microseconds
};

// One connection to the initiator. The base class sends raw bytes and reads HTTP responses.
class ScenarioClient {
 public:
  virtual ~ScenarioClient() = default;

  // Connects to the front end that listens on the port.
  void Connect(int port) { socket_ = Socket::Connect(port); }
  bool connected() const { return socket_.open(); }
  void Close(bool reset) { socket_.Close(reset); }

  // Sends bytes that need not be a request.
  void SendBytes(const std::string& bytes);
  // Sends a well-formed request and remembers its class.
  void SendRequest(const ClientRequest& request);
  // Waits up to `ms` milliseconds for the next event. Stores the response in `response`.
  virtual ClientEvent Receive(int ms, HttpMessage* response);

  // The class of the last well-formed request; empty where there was none.
  const std::string& request_class() const { return request_class_; }
  // When the client sent last, in microseconds of core::Now().
  Time sent_at() const { return sent_at_; }

 protected:
  virtual void WriteRequest(const ClientRequest& request) = 0;

  // The event of an interrupted read.
  ClientEvent NoResponse() const { return connected() ? ClientEvent::kNothing : ClientEvent::kClosed; }

  Socket socket_;

 private:
  std::string request_class_;
  Time sent_at_ = 0;
};

// A client of the HTTP front end.
class HttpScenarioClient : public ScenarioClient {
 protected:
  void WriteRequest(const ClientRequest& request) override;
};

// A client of the NBD front end. It negotiates before its first request.
class NbdScenarioClient : public ScenarioClient {
 public:
  ClientEvent Receive(int ms, HttpMessage* response) override;

 protected:
  void WriteRequest(const ClientRequest& request) override;

 private:
  void Negotiate(const std::string& export_name);

  std::unique_ptr<nbd::ClientSession> session_;  // null until the first request
  std::vector<nbd::Reply> replies_;              // received and not yet reported
  std::uint64_t next_cookie_ = 1;
};

// A client for the protocol, not yet connected.
std::unique_ptr<ScenarioClient> MakeScenarioClient(core::Protocol protocol);

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_CLIENT_H_

// Fake storage server that speaks the platform's HTTP and fails on demand: it hangs, is overloaded, resets
// connections or is down. An observer is notified of each request that reaches it.
//
// Owned by a test environment; runs on the thread of its event loop. It stores nothing: lab::StorageServer
// stores data and corrupts it on demand, over NBD as well. test::HttpStorageServer follows the steps of a
// scenario.
#ifndef WALNUTSPUR_LAB_FAKES_HTTP_TARGET_H_
#define WALNUTSPUR_LAB_FAKES_HTTP_TARGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "lab/fakes/http_connection.h"
#include "loop/listener.h"

namespace walnutspur::lab {

// How a target treats requests.
enum class TargetFault {
  kNone,
  kHangs,           // reads requests and never responds
  kErrors,          // status 500
  kOverloaded,      // status 503, with the header that states that the request has not run
  kResetsRequests,  // resets the connection on each request
  kDown,            // as if no process ran: connections are reset, new ones refused
};

class HttpTarget;

// Observes the requests of a target. Called on the target's thread.
class HttpTargetObserver {
 public:
  // The connection's request is complete and has no response yet.
  virtual void OnRequest(const HttpTarget& target, const HttpConnection& connection) = 0;

 protected:
  ~HttpTargetObserver() = default;
};

class HttpTarget : private HttpConnectionHandler {
 public:
  // Listens on a free port of 127.0.0.1. `observer` must outlive it; null: none. Throws loop::ListenError.
  HttpTarget(event_base* base, std::string name, HttpTargetObserver* observer);
  ~HttpTarget();
  HttpTarget(const HttpTarget&) = delete;
  HttpTarget& operator=(const HttpTarget&) = delete;

  const std::string& name() const { return name_; }
  int port() const { return port_; }
  TargetFault fault() const { return fault_; }
  void SetFault(TargetFault fault);
  // Sets the size of the body of responses with status 200 to requests whose id begins with `id_prefix`; 0:
  // the request's URI, as for all others.
  void SetResponseBytes(std::size_t bytes, const std::string& id_prefix) {
    response_bytes_ = bytes;
    response_id_prefix_ = id_prefix;
  }
  // Closes all connections that carry no request.
  void CloseIdleConnections();

 private:
  struct Served {
    std::unique_ptr<HttpConnection> connection;
    loop::EventHandle response_timer;
    bool is_busy = false;
    TargetFault fault = TargetFault::kNone;  // when its request arrived
  };

  void Listen(int port);
  void OnAccept(evutil_socket_t fd);
  void OnRequest(HttpConnection& connection) override;
  void OnClosed(HttpConnection& connection) override;
  void Respond(std::uint64_t number);
  void ResetAll();

  event_base* base_;
  std::string name_;
  HttpTargetObserver* observer_;
  int port_ = 0;
  TargetFault fault_ = TargetFault::kNone;
  std::size_t response_bytes_ = 0;
  std::string response_id_prefix_;
  std::uint64_t next_connection_ = 1;
  std::unique_ptr<loop::Listener> listener_;  // null while kDown
  std::map<std::uint64_t, Served> connections_;
  std::unique_ptr<HttpConnection> closed_;  // freed in the next loop iteration: it may be on the call stack
  loop::EventHandle free_closed_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_HTTP_TARGET_H_

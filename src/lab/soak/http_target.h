// A storage server that speaks the platform's HTTP and misbehaves on demand. It records each request that
// reaches it.
//
// Owned by a testbed; runs on the thread of its event loop.
#ifndef WALNUTSPUR_LAB_SOAK_HTTP_TARGET_H_
#define WALNUTSPUR_LAB_SOAK_HTTP_TARGET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "lab/soak/record.h"
#include "lab/standins/http_connection.h"
#include "loop/listener.h"

namespace walnutspur::lab::soak {

// What a target does with requests.
enum class TargetFault {
  kNone,
  kHangs,           // takes requests and never responds
  kErrors,          // status 500
  kTurnsAway,       // status 503, not run
  kResetsRequests,  // resets the connection under each request
  kGone,            // no process: connections are reset, new ones refused
};

class HttpTarget : private HttpConnectionHandler {
 public:
  // Listens on a free port of 127.0.0.1. `record` must outlive it.
  HttpTarget(event_base* base, std::string name, Record* record);
  ~HttpTarget();
  HttpTarget(const HttpTarget&) = delete;
  HttpTarget& operator=(const HttpTarget&) = delete;

  const std::string& name() const { return name_; }
  int port() const { return port_; }
  void SetFault(TargetFault fault);
  // Time from a request to its response, us.
  void set_service_time(Time service_time) { service_time_ = service_time; }
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
  Record* record_;
  int port_ = 0;
  TargetFault fault_ = TargetFault::kNone;
  Time service_time_ = 3'000;
  std::uint64_t next_connection_ = 1;
  std::unique_ptr<loop::Listener> listener_;  // null while the process is gone
  std::map<std::uint64_t, Served> connections_;
  std::unique_ptr<HttpConnection> closed_;  // freed in the next turn: it may be on the stack
  loop::EventHandle free_closed_;
};

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_HTTP_TARGET_H_

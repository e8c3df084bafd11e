// The platform's front: takes clients' requests by HTTP and answers each once.
#ifndef WALNUTSPUR_NET_HTTP_FRONT_H_
#define WALNUTSPUR_NET_HTTP_FRONT_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/port.h"
#include "net/config.h"
#include "net/loop.h"

struct bufferevent;
struct evconnlistener;

namespace walnutspur::net {

// Numbers the requests of all fronts.
struct Serials {
  core::Serial next = 1;
};

class HttpFront : public core::Front {
 public:
  // Listens at the config's address; throws std::runtime_error if it cannot.
  HttpFront(event_base* base, const Config& config, Serials* serials, core::Post post);
  ~HttpFront() override;

  void Finish(const core::Answer& answer) override;
  std::size_t held() const override { return held_.size(); }
  void Drain() override;
  std::size_t connections() const override { return clients_.size(); }

  void set_ready() { ready_ = true; }

  // Called with each connection's stream once it is accepted.
  std::function<void(bufferevent*)> on_accept;

  int port() const { return port_; }

 private:
  struct Client {
    core::Serial serial = 0;  // the request that waits; 0: none
    Time since = 0;           // its last answer
    Watcher left;             // the client closes while its request waits
  };
  struct Held {
    evhttp_request* request = nullptr;  // libevent's, until it is answered or its connection ends
    evhttp_connection* connection = nullptr;
    Watcher deadline;
  };

  static HttpFront* FrontOf(evconnlistener* listener, HttpFront* change = nullptr);
  Client& ClientOf(evhttp_connection* connection);
  bool Full() const;
  std::vector<evhttp_connection*> Idle() const;
  void OnClosed(evhttp_connection* connection);
  void OnRequest(evhttp_request* request);
  void OnAcceptError();
  void Reply(evhttp_request* request, int code, const std::string& body);

  event_base* base_;
  const Config& config_;
  Serials* serials_;
  core::Post post_;
  bool ready_ = false, draining_ = false;
  int port_ = 0;
  int most_descriptors_;
  bool paused_ = false;
  Watcher resume_;
  std::unordered_map<evhttp_connection*, Client> clients_;
  std::unordered_map<core::Serial, Held> held_;
  evconnlistener* listener_ = nullptr;  // owned by http_
  std::unique_ptr<evhttp, Freed<evhttp_free>> http_;
};

}  // namespace walnutspur::net

#endif  // WALNUTSPUR_NET_HTTP_FRONT_H_

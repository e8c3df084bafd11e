// The platform's front: takes clients' requests by HTTP and answers each once.
#ifndef WALNUTSPUR_HTTP_FRONT_END_H_
#define WALNUTSPUR_HTTP_FRONT_END_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/port.h"
#include "http/config.h"
#include "http/messages.h"
#include "http/message_reader.h"
#include "limits/shutdown_deadline_estimate.h"
#include "loop/loop.h"

namespace walnutspur::http {

class Front : public core::Front {
 public:
  // Listens at the config's address; throws std::runtime_error if it cannot.
  Front(event_base* base, const Config& config, core::Serials* serials, core::Post post);
  ~Front() override;

  void Finish(const core::Answer& answer) override;
  std::size_t held() const override { return held_.size(); }
  bool Waits(core::Serial serial) override;
  void EndBy(Time end) override;
  void Close(Time left) override;
  std::size_t connections() const override { return clients_.size(); }

  void set_ready() { ready_ = true; }

  // Called with each connection's stream once it is accepted.
  std::function<void(bufferevent*)> on_accept;

  int port() const { return port_; }

 private:
  struct Client {
    std::uint64_t number = 0;
    Front* owner = nullptr;
    Reader reader{Reader::Kind::kRequest};
    core::Serial serial = 0;   // the request that waits; 0: none
    Time since = 0;            // its last answer, or when it connected
    std::uint64_t asked = 0;   // whole requests that it has sent
    bool told = false;         // it has been told to go on with its body
    bool last = false;         // the answer to this request is the last on the connection
    bool closing = false;      // it has been told of the end: what still comes is dropped
    std::size_t dropped = 0;   // bytes of what belongs to no request
    loop::Watcher unfinished;  // a request that does not become whole
    loop::Watcher idle;        // no request
    loop::Watcher unread;      // an answer that the client does not read
    loop::Watcher pause;       // after a request that was turned away
    loop::Watcher linger;      // after the last answer
    std::unique_ptr<bufferevent, loop::Freed<bufferevent_free>> stream;
  };
  struct Held {
    std::uint64_t client = 0;
    Time came = 0, until = 0;
    loop::Watcher deadline;
  };

  void OnAccept(evutil_socket_t fd);
  void StopAccepting();
  bool MakeRoom();
  void Pause();
  void OnRead(Client& client);
  void OnWritten(Client& client);
  bool Read(Client& client);
  bool Flooded(Client& client);
  void OnRequest(Client& client);
  bool TakeDigests(Client& client, Request* payload);
  void TurnAway(Client& client, int status, const std::string& why);
  void Reply(Client& client, int status, const std::string& body, const std::string& headers = "");
  bool Fits(std::size_t size) const;
  void End(Client& client);
  bool Idle(const Client& client) const;
  bool Unread(const Client& client) const;  // something of it waits in the kernel

  event_base* base_;
  const Config& config_;
  core::Serials* serials_;
  core::Post post_;
  bool ready_ = false, draining_ = false;
  Time end_ = 0;  // 0: none is in sight
  limits::LastAnswers last_answers_;
  int port_ = 0;
  std::size_t most_;
  std::uint64_t next_ = 1;
  loop::Watcher resume_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::unordered_map<core::Serial, Held> held_;
  std::unique_ptr<evconnlistener, loop::Freed<evconnlistener_free>> listener_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_FRONT_END_H_

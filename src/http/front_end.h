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
#include "http/message_reader.h"
#include "http/messages.h"
#include "limits/shutdown_deadline_estimate.h"
#include "loop/loop.h"

namespace walnutspur::http {

class FrontEnd : public core::FrontEnd {
 public:
  // Listens at the config's address; throws std::runtime_error if it cannot.
  FrontEnd(event_base* base, const Config& config, core::RequestNumbers* serials, core::SubmitInput post);
  ~FrontEnd() override;

  void Respond(const core::Response& answer) override;
  std::size_t pending_requests() const override { return held_.size(); }
  bool IsClientConnected(core::RequestNumber serial) override;
  void SetShutdownDeadline(Time end) override;
  void BeginGracefulShutdown(Time left) override;
  std::size_t connections() const override { return clients_.size(); }

  void set_ready() { ready_ = true; }

  // Called with each connection's stream once it is accepted.
  std::function<void(bufferevent*)> on_accept;

  int port() const { return port_; }

 private:
  struct Client {
    std::uint64_t number = 0;
    FrontEnd* owner = nullptr;
    MessageReader reader{MessageReader::Kind::kRequest};
    core::RequestNumber serial = 0;  // the request that waits; 0: none
    Time since = 0;                  // its last answer, or when it connected
    std::uint64_t asked = 0;         // whole requests that it has sent
    bool told = false;               // it has been told to go on with its body
    bool last = false;               // the answer to this request is the last on the connection
    bool closing = false;            // it has been told of the end: what still comes is dropped
    std::size_t dropped = 0;         // bytes of what belongs to no request
    loop::EventHandle unfinished;    // a request that does not become whole
    loop::EventHandle idle;          // no request
    loop::EventHandle unread;        // an answer that the client does not read
    loop::EventHandle pause;         // after a request that was turned away
    loop::EventHandle linger;        // after the last answer
    std::unique_ptr<bufferevent, loop::Deleter<bufferevent_free>> stream;
  };
  struct Held {
    std::uint64_t client = 0;
    Time came = 0, until = 0;
    loop::EventHandle deadline;
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
  core::RequestNumbers* serials_;
  core::SubmitInput post_;
  bool ready_ = false, draining_ = false;
  Time end_ = 0;  // 0: none is in sight
  limits::ShutdownDeadlineEstimate last_answers_;
  int port_ = 0;
  std::size_t most_;
  std::uint64_t next_ = 1;
  loop::EventHandle resume_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::unordered_map<core::RequestNumber, Held> held_;
  std::unique_ptr<evconnlistener, loop::Deleter<evconnlistener_free>> listener_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_FRONT_END_H_

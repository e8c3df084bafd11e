// The NBD front: takes clients' commands and answers each once, through the same engine as the HTTP front.
#ifndef WALNUTSPUR_NBD_FRONT_END_H_
#define WALNUTSPUR_NBD_FRONT_END_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "core/port.h"
#include "limits/shutdown_deadline_estimate.h"
#include "loop/loop.h"
#include "nbd/codec.h"
#include "nbd/config.h"

namespace walnutspur::nbd {

using StreamPtr = std::unique_ptr<bufferevent, loop::Deleter<bufferevent_free>>;

class FrontEnd : public core::FrontEnd {
 public:
  // `most` bounds the clients. Throws std::runtime_error if it cannot listen.
  FrontEnd(event_base* base, const Config& config, const Settings& settings, std::size_t most,
           core::RequestNumbers* serials, core::SubmitInput post);
  ~FrontEnd() override;

  void Respond(const core::Response& answer) override;
  std::size_t pending_requests() const override { return held_.size(); }
  bool IsClientConnected(core::RequestNumber serial) override;
  void SetShutdownDeadline(Time end) override;
  void BeginGracefulShutdown(Time left) override;
  std::size_t connections() const override { return clients_.size(); }
  int port() const { return port_; }

  // Called with each connection's stream once it is accepted.
  std::function<void(bufferevent*)> on_accept;

 private:
  struct Client {
    Client(const std::vector<Export>& exports) : session(exports) {}
    FrontEnd* owner = nullptr;
    std::uint64_t number = 0;
    ServerSession session;
    std::map<std::uint64_t, core::RequestNumber> in_flight;  // by the client's cookie
    bool asked = false;                                      // it has sent a command
    Time since = 0;                                          // when it connected
    loop::EventHandle handshake;
    bool waiting = false;          // for the rest of a command
    bool closing = false;          // shut for writing: what still comes is dropped
    loop::EventHandle unfinished;  // a command that does not become whole
    StreamPtr stream;
  };
  struct Held {
    std::uint64_t client = 0;
    std::uint64_t cookie = 0;
    Time came = 0, until = 0;
    loop::EventHandle deadline;
  };

  void OnAccept(evutil_socket_t fd);
  void Pause();
  bool MakeRoom();
  void OnRead(Client& client);
  void Take(Client& client, Request request);
  void Write(Client& client, const std::string& bytes);
  void EndIfIdle(Client& client);
  void End(Client& client);

  event_base* base_;
  const Config& config_;
  const Settings& settings_;
  std::size_t most_;
  core::RequestNumbers* serials_;
  core::SubmitInput post_;
  bool draining_ = false;
  Time end_ = 0;  // 0: none is in sight
  limits::ShutdownDeadlineEstimate last_answers_;
  int port_ = 0;
  std::uint64_t next_client_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::unordered_map<core::RequestNumber, Held> held_;
  loop::EventHandle resume_;
  std::unique_ptr<evconnlistener, loop::Deleter<evconnlistener_free>> listener_;
};

// The one table from the engine's verdicts to NBD errors; docs/architecture.md shows it.
Error ErrorOf(core::ResponseStatus verdict);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_FRONT_END_H_

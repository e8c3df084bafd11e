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

using StreamRef = std::unique_ptr<bufferevent, loop::Freed<bufferevent_free>>;

class Front : public core::Front {
 public:
  // `most` bounds the clients. Throws std::runtime_error if it cannot listen.
  Front(event_base* base, const Config& config, const Settings& settings, std::size_t most,
        core::Serials* serials, core::Post post);
  ~Front() override;

  void Finish(const core::Answer& answer) override;
  std::size_t held() const override { return held_.size(); }
  bool Waits(core::Serial serial) override;
  void EndBy(Time end) override;
  void Close(Time left) override;
  std::size_t connections() const override { return clients_.size(); }
  int port() const { return port_; }

  // Called with each connection's stream once it is accepted.
  std::function<void(bufferevent*)> on_accept;

 private:
  struct Client {
    Client(const std::vector<Export>& exports) : session(exports) {}
    Front* owner = nullptr;
    std::uint64_t number = 0;
    ServerSession session;
    std::map<std::uint64_t, core::Serial> in_flight;  // by the client's cookie
    bool asked = false;                               // it has sent a command
    Time since = 0;                                   // when it connected
    loop::Watcher handshake;
    bool waiting = false;      // for the rest of a command
    bool closing = false;      // shut for writing: what still comes is dropped
    loop::Watcher unfinished;  // a command that does not become whole
    StreamRef stream;
  };
  struct Held {
    std::uint64_t client = 0;
    std::uint64_t cookie = 0;
    Time came = 0, until = 0;
    loop::Watcher deadline;
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
  core::Serials* serials_;
  core::Post post_;
  bool draining_ = false;
  Time end_ = 0;  // 0: none is in sight
  limits::LastAnswers last_answers_;
  int port_ = 0;
  std::uint64_t next_client_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::unordered_map<core::Serial, Held> held_;
  loop::Watcher resume_;
  std::unique_ptr<evconnlistener, loop::Freed<evconnlistener_free>> listener_;
};

// The one table from the engine's verdicts to NBD errors; docs/architecture.md shows it.
Error ErrorOf(core::Verdict verdict);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_FRONT_END_H_

// Carries out attempts by HTTP: a pool of connections to targets, one attempt at a time on each.
#ifndef WALNUTSPUR_HTTP_TARGET_POOL_H_
#define WALNUTSPUR_HTTP_TARGET_POOL_H_

#include <event2/bufferevent.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/port.h"
#include "http/config.h"
#include "http/message_reader.h"
#include "http/messages.h"
#include "loop/loop.h"

namespace walnutspur::http {

class TargetPool : public core::Connector {
 public:
  TargetPool(event_base* base, const Config& config, core::SubmitInput post);
  ~TargetPool() override;

  // Where a target listens; it may move.
  void SetAddress(const TargetId& target, const std::string& address);
  // Takes the address of a target that is gone out of memory.
  void Remove(const TargetId& target);
  // Forgets all but those that a complete list names.
  void RetainOnly(const std::set<TargetId>& targets);

  void Start(const core::StartAttempt& attempt) override;
  void Cancel(core::RequestNumber serial, int trial) override;
  void Drain(const TargetId& target) override;
  void CheckHealth(const TargetId& target);

  // Asked before an attempt goes into the stream of a connection that has come up: its client may have left
  // meanwhile.
  std::function<bool(core::RequestNumber)> is_client_connected = [](core::RequestNumber) { return true; };
  // Called with each read whose answer came with a digest: whether its content fits.
  std::function<void(const TargetId& target, const std::string& uri, bool good, const std::string& body)>
      on_digest_checked;
  std::size_t connections() const { return connections_.size(); }
  std::size_t idle_connections(const TargetId& target) const {  // connections that an attempt can take
    const auto at = idle_.find(target);
    return at == idle_.end() ? 0 : at->second.size();
  }
  std::map<TargetId, std::uint32_t> connections_by_target() const;
  std::size_t tracked_targets() const { return addresses_.size() + idle_.size(); }

 private:
  using Key = std::pair<core::RequestNumber, int>;  // an attempt; serial 0: a probe

  // kDialing: coming up for its attempt, of which nothing has gone into the stream. kSpare: coming up though
  // its attempt was given up. kSettling: up, and its attempt waits until nothing more can come of the last
  // one. kBusy: the attempt is in the stream or out. kIdle: up, without an attempt.
  enum class State { kDialing, kSpare, kSettling, kBusy, kIdle };

  struct Connection {
    TargetPool* owner = nullptr;
    std::uint64_t number = 0;
    TargetId target;
    State state = State::kDialing;
    std::optional<Key> attempt;                  // while dialing or busy
    std::string text;                            // of the attempt, while dialing or settling
    Time until = 0;                              // when the attempt is given up
    Time begin_by = 0;                           // when the attempt must be in the stream; 0: no such bound
    Time answered = 0;                           // its last attempt
    bool reads = false;                          // the attempt is a GET
    std::string uri;                             // of a GET, where digests are on
    std::optional<integrity::Algorithm> wanted;  // the digest that its client wants
    Time sent = 0;
    MessageReader answer{MessageReader::Kind::kResponse};
    loop::EventHandle connect, settled, limit, idle;
    std::unique_ptr<bufferevent, loop::Deleter<bufferevent_free>> stream;
  };

  Connection* Open(const TargetId& target);
  void OnUp(Connection& connection);
  void Begin(Connection& connection);
  void Move(Connection& from);
  void Rest(Connection& connection);
  void LetGo(Connection& connection, Outcome outcome);
  Connection* TakeIdle(const TargetId& target);
  bool MakeRoom();
  void Launch(const Key& key, const TargetId& target, Time limit, Time begin_by, const Request* request);
  void NeverSent(const Key& key, const TargetId& target);
  bool Fits() const;
  bool Written(const Connection& connection) const;
  void OnRead(Connection& connection);
  void OnAnswer(Connection& connection);
  void Damaged(Connection& connection);
  void Break(Connection& connection, Outcome outcome);
  void Report(Connection& connection, core::AttemptResult ended);
  void Discard(Connection& connection);
  void CloseIdle(const TargetId& target);

  event_base* base_;
  const Config& config_;
  core::SubmitInput post_;
  std::size_t most_, most_bytes_;
  std::uint64_t next_ = 1;
  std::uint64_t probes_ = 0;
  std::map<TargetId, std::string> addresses_;
  std::map<TargetId, std::vector<Connection*>> idle_;  // the one used last at the end; none is empty
  std::map<TargetId, Connection*> spares_;             // at most one of a target
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::map<Key, Connection*> attempts_;
  std::vector<std::unique_ptr<Connection>> discarded_;  // freed outside of their own callbacks
  loop::EventHandle sweep_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_TARGET_POOL_H_

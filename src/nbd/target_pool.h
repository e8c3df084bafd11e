// Carries out attempts by NBD: connections to disk boxes, several commands in flight on each.
#ifndef WALNUTSPUR_NBD_TARGET_POOL_H_
#define WALNUTSPUR_NBD_TARGET_POOL_H_

#include <event2/bufferevent.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/port.h"
#include "loop/loop.h"
#include "nbd/codec.h"
#include "nbd/config.h"
#include "nbd/front_end.h"
#include "nbd/payload.h"

namespace walnutspur::nbd {

class TargetPool : public core::Connector {
 public:
  // `most` bounds the connections.
  TargetPool(event_base* base, const Config& config, std::size_t most, core::SubmitInput post);

  void Start(const core::StartAttempt& attempt) override;
  void Cancel(core::RequestNumber serial, int trial) override;
  void Drain(const TargetId& target) override;

  std::size_t connections() const { return connections_.size(); }
  // What the box said of an export, as far as a connection to it is up; else nothing.
  std::optional<std::uint16_t> flags(const TargetId& target, const std::string& remote) const;

 private:
  using Key = std::pair<core::RequestNumber, int>;
  struct Place {  // an export at a box, by one of its addresses
    TargetId box;
    std::string remote;
    int path = 0;
    bool operator==(const Place&) const = default;
  };

  struct Connection {
    explicit Connection(std::string remote) : session(std::move(remote)) {}
    TargetPool* owner = nullptr;
    std::uint64_t number = 0;
    Place place;
    ClientSession session;
    std::map<std::uint64_t, Key> in_flight;                       // by cookie; what is given up leaves it
    std::vector<Key> waiting;                                     // for the handshake
    std::vector<std::pair<std::uint64_t, std::uint64_t>> unsent;  // cookie, end in the bytes written so far
    std::uint64_t queued = 0;  // bytes handed to the stream since the start
    bool retired = false;      // takes no new command
    loop::EventHandle connect, idle;
    StreamPtr stream;
  };
  struct Out {
    core::StartAttempt attempt;
    Connection* connection = nullptr;
    std::uint64_t cookie = 0;  // 0: waits for the handshake
    Time sent = 0;
    loop::EventHandle limit;
  };

  Connection* Find(const Place& place);
  Connection* Open(const Place& place);
  void Send(Connection& connection, const Key& key);
  void OnRead(Connection& connection);
  void OnReply(Connection& connection, Reply reply);
  bool Written(const Connection& connection, std::uint64_t cookie) const;
  void GiveUp(const Key& key, Outcome outcome);
  void Report(const Key& key, Outcome outcome, core::PayloadRef payload = nullptr);
  void Break(Connection& connection);
  void Rest(Connection& connection);

  event_base* base_;
  const Config& config_;
  std::size_t most_;
  core::SubmitInput post_;
  std::uint64_t next_connection_ = 1, next_cookie_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::map<Key, Out> out_;
};

// The outcome that a box's whole reply stands for.
Outcome OutcomeOf(Error error, std::uint16_t command);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_TARGET_POOL_H_

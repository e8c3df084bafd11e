// A stand-in for the platform's discovery: the whole list, and watches on its changes.
//
// Runs on a thread of its own from construction to destruction.
#ifndef WALNUTSPUR_LAB_DISCOVERY_H_
#define WALNUTSPUR_LAB_DISCOVERY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "loop/loop.h"

struct bufferevent;
struct evconnlistener;

namespace walnutspur::lab {

struct Member {
  std::string id, host_port, phase = "SERVING";
  int cell = 0;
  std::int64_t up_since_ms = 0;
};

class Discovery {
 public:
  Discovery();
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  int port() const { return port_; }
  // Tells every watch. Members are kept by id; DELETED ones are told and then forgotten.
  void Set(const Member& member);

 private:
  struct Connection;
  void OnAccept(int fd);
  void OnRead(Connection& connection);
  void Tell(Connection& connection, const std::string& line);
  std::string List(bool complete, const std::map<std::string, Member>& members) const;

  std::mutex mutex_;
  int revision_ = 1;
  std::map<std::string, Member> members_, news_;
  int port_ = 0;
  loop::EventBasePtr base_;
  loop::EventHandle stop_, changed_, beat_;
  std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::thread thread_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_DISCOVERY_H_

// Operators' way into a running process: a Unix socket in the configured folder. A client sends one line of
// words, reads the answer until the end, and that is all; nothing of the decisions can be changed by it.
//
// Runs on the loop's thread. The socket is for the process's own user alone (0600), and is removed at the
// end; one that a dead process left is replaced, one that somebody answers on is left alone.
#ifndef WALNUTSPUR_APP_CONTROL_H_
#define WALNUTSPUR_APP_CONTROL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loop/loop.h"

struct bufferevent;
struct evconnlistener;

namespace walnutspur::app {

class Control {
 public:
  using Words = std::vector<std::string>;
  // Throws std::runtime_error with one line if it cannot listen there.
  Control(event_base* base, const std::string& path, std::function<std::string(const Words&)> answer);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

 private:
  struct Client;
  void OnAccept(int fd);
  void OnRead(Client& client);

  event_base* base_;
  std::string path_;
  std::function<std::string(const Words&)> answer_;
  std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::uint64_t next_ = 1;
};

// The answer of the process that listens there; waits `ms` at most for each part of it. Throws
// std::runtime_error with one line if nobody answers.
std::string AskControl(const std::string& path, const std::string& line, int ms = 2000);
inline std::string ControlPath(const std::string& folder) { return folder + "/control.sock"; }

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_CONTROL_H_

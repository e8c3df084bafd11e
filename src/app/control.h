// The control socket: the operators' way into a running process, a Unix socket in the configured folder.
//
// A client sends one line of words and reads the response until the end of the connection. The socket can be
// opened by the user of the process only (0600) and is removed at the end; one that a dead process left is
// replaced, one on which a process still responds is left alone. Owned by the Initiator; runs on the
// event-loop thread.
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

// The server's side of the control socket.
class Control {
 public:
  using Words = std::vector<std::string>;
  // Returns the response to a command, which is given by its words.
  using Execute = std::function<std::string(const Words&)>;

  // Listens at `path`. Throws ControlError if it cannot.
  Control(event_base* base, const std::string& path, Execute execute);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

 private:
  struct Client;
  void Listen();
  void OnAccept(int fd);
  void OnRead(Client& client);
  std::string Respond(const std::string& input) const;

  event_base* base_;
  std::string path_;
  Execute execute_;
  std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::uint64_t next_client_ = 1;
};

// How long a client waits for each part of a response, ms.
constexpr int kControlTimeoutMs = 2000;

// Sends a command, one line without its end, to the process that listens at `path`, and returns the response.
// Blocks. Throws ControlError if there is no response.
std::string SendControlCommand(const std::string& path, const std::string& line,
                               int timeout_ms = kControlTimeoutMs);

// The path of the control socket in a folder.
inline std::string ControlPath(const std::string& folder) { return folder + "/control.sock"; }

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_CONTROL_H_

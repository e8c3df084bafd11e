// The control socket: a Unix socket in the configured folder, through which operators send commands to a
// running process.
//
// A client sends a command, one line of words, and reads the response until the connection is closed. Only
// the user of the process can open the socket (mode 0600). The process removes it when it exits, replaces the
// socket of a process that no longer runs, and leaves the socket of a running process as it is. Owned by the
// Initiator; runs on the event-loop thread.
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

// Class Control listens on the control socket and responds to commands.
class Control {
 public:
  using Words = std::vector<std::string>;
  // Executes a command, given as its words, and returns the response.
  using Execute = std::function<std::string(const Words&)>;

  // Listens at `path`. Throws ControlError on failure.
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

// Maximum time that a client waits for each part of a response, ms.
constexpr int kControlTimeoutMs = 2000;

// Sends a command, one line without a line end, to the process that listens at `path`, and returns the
// response. Blocks. Throws ControlError if there is no response.
std::string SendControlCommand(const std::string& path, const std::string& line,
                               int timeout_ms = kControlTimeoutMs);

// Returns the path of the control socket in a folder.
inline std::string ControlPath(const std::string& folder) { return folder + "/control.sock"; }

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_CONTROL_H_

// Connects a process with the one that it replaces, and with the one that replaces it, over a Unix socket.
//
// The end of a connection shows that the other process has ended, however it did. Owned by app::Handover;
// runs on the event-loop thread, except that Join blocks the thread that constructs the program.
#ifndef WALNUTSPUR_UPGRADE_PROCESS_LINK_H_
#define WALNUTSPUR_UPGRADE_PROCESS_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "loop/listener.h"
#include "loop/loop.h"
#include "loop/stream.h"
#include "upgrade/handover_message.h"

namespace walnutspur::upgrade {

// The socket cannot be opened.
class LinkError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the path of the socket of the processes that serve `host`:`port`.
std::string SocketPath(const std::string& folder, const std::string& host, int port);

class ProcessLink {
 public:
  // Called on the event-loop thread; none may destroy the link.
  struct Callbacks {
    std::function<ProcessState()> state;  // returns the state for a new process
    // A linked process has sent a message. `from_successor`: it joined this process, and not the reverse.
    std::function<void(const HandoverMessage& message, bool from_successor)> on_message;
    // The number of linked processes has changed.
    std::function<void()> on_change;
  };

  ProcessLink(event_base* base, std::string path, Callbacks callbacks);
  ~ProcessLink();
  ProcessLink(const ProcessLink&) = delete;
  ProcessLink& operator=(const ProcessLink&) = delete;

  // Connects to the running process and waits briefly for its state. Returns nullopt if no process listens or
  // it sends none in time; a process that listens but is silent is linked all the same.
  std::optional<ProcessState> Join();
  // Takes over the socket's path, for the next process. Throws LinkError.
  void Listen();
  // Sends a message to all linked processes.
  void Send(const HandoverMessage& message);

  // Returns the number of other processes that are linked, and of those that have joined this one.
  std::size_t processes() const { return peers_.size(); }
  std::size_t successors() const;

 private:
  struct Peer;

  void OnAccept(evutil_socket_t fd);
  // Links a connected socket.
  void AddPeer(evutil_socket_t fd, bool is_successor);
  void OnReadable(Peer& peer);
  void OnMessage(std::uint64_t number, const HandoverMessage& message);
  void Remove(std::uint64_t number);

  event_base* base_;
  std::string path_;
  Callbacks callbacks_;
  std::uint64_t next_peer_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Peer>> peers_;
  bool owns_path_ = false;
  std::unique_ptr<loop::Listener> listener_;
};

}  // namespace walnutspur::upgrade

#endif  // WALNUTSPUR_UPGRADE_PROCESS_LINK_H_

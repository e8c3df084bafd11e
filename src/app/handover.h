// Replaces a running process by this one, and this one by the next: joins the running process, passes on what
// changes, and hands clients over.
//
// Owned by the Initiator; runs on the event-loop thread. Design: docs/design/upgrade.md.
#ifndef WALNUTSPUR_APP_HANDOVER_H_
#define WALNUTSPUR_APP_HANDOVER_H_

#include <functional>
#include <optional>
#include <string>

#include "loop/loop.h"
#include "upgrade/process_link.h"

namespace walnutspur::app {

class Handover {
 public:
  // None is called before Listen.
  struct Hooks {
    std::function<upgrade::ProcessState()> state;  // returns what the next process starts from
    std::function<void(const TargetId& target, bool cordoned)> on_cordon;  // the other process was called
    std::function<void()> on_process_count;
    std::function<void()> hand_over_clients;  // the next process serves clients
    std::function<void()> take_clients_back;  // it has ended without replacing this one
  };

  // `socket_path` is that of the processes that serve the same address.
  Handover(event_base* base, const std::string& socket_path, Hooks hooks);

  // Joins the running process, if there is one, and returns the state that it passes on. Blocks briefly.
  std::optional<upgrade::ProcessState> Join() { return link_.Join(); }
  // Waits for the next process, also after one has ended. A failure is logged: then none can replace this
  // one.
  void Listen();
  // Notifies the process that was joined that this one serves clients; only the first call has an effect.
  void AnnounceReady();
  // Passes on a cordon, or its end, that an operator has requested of this process.
  void SendCordon(const TargetId& target, bool cordoned);

  // Returns the number of processes, with this one.
  int processes() const { return 1 + static_cast<int>(link_.processes()); }

 private:
  void OnMessage(const upgrade::HandoverMessage& message, bool from_successor);
  void OnChange();
  // Serves alone again after the next process has ended, which may have taken over the socket's path.
  void OnSuccessorEnded();

  Hooks hooks_;
  bool is_listening_ = false;
  bool is_announced_ = false;
  bool has_handed_over_ = false;
  bool had_successor_ = false;
  upgrade::ProcessLink link_;
};

// Returns the folder that processes of this machine share: $TMPDIR, or nullopt if it is not set.
std::optional<std::string> SharedFolder();

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_HANDOVER_H_

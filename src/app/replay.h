// Replays recorded traffic: sends the client side of each recorded stream to the front end of its protocol.
//
// Owned by the Initiator; runs on the event-loop thread.
#ifndef WALNUTSPUR_APP_REPLAY_H_
#define WALNUTSPUR_APP_REPLAY_H_

#include <functional>
#include <memory>
#include <string>

#include "http/config.h"
#include "http/front_end.h"
#include "loop/loop.h"
#include "nbd/config.h"
#include "nbd/front_end.h"
#include "pcap/traffic.h"

namespace walnutspur::app {

// The listeners that a replay connects to; owned by the Initiator.
struct ReplayTargets {
  const http::Config* http_config = nullptr;
  const http::FrontEnd* http = nullptr;
  const nbd::Config* nbd_config = nullptr;
  const nbd::FrontEnd* nbd = nullptr;  // null: NBD streams are not replayed
};

// Replays one pcap file, starting with its construction.
class Replay {
 public:
  // Starts the replay. At its end, prints a summary and calls `on_finished`. Throws std::exception if the
  // file at `path` cannot be read.
  Replay(event_base* base, const std::string& path, const ReplayTargets& targets,
         std::function<void()> on_finished);

  const pcap::Player& player() const { return *player_; }

 private:
  std::function<void()> on_finished_;
  std::unique_ptr<pcap::Player> player_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_REPLAY_H_

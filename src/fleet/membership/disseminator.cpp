#include "fleet/membership/disseminator.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::fleet {
namespace {

// Number of times that each member transmits an update, as a multiple of log2 of the number of members.
constexpr double kRetransmitFactor = 3;

}  // namespace

void Disseminator::Broadcast(const std::string& name) {
  const double members = static_cast<double>(state_.table.live_count()) + 1;
  state_.broadcasts.Enqueue(name,
                            std::max(1, static_cast<int>(std::ceil(kRetransmitFactor * std::log2(members)))));
  if (!gossip_scheduled_) {
    ScheduleGossip();
  }
}

void Disseminator::ScheduleGossip() {
  gossip_scheduled_ = true;
  state_.timers.Start(state_.options.period / 2, [this](Time) { Gossip(); });
}

void Disseminator::Gossip() {
  gossip_scheduled_ = false;
  if (state_.broadcasts.empty() || state_.left) {
    return;
  }
  for (const std::string& name : state_.PickRandom(kGossipFanout)) {
    if (state_.broadcasts.empty()) {
      break;
    }
    sender_.Send(state_.table.Get(name).address, Message{});
  }
  // Without other members there is no receiver; a member that joins later receives the table by anti-entropy.
  if (state_.table.live_count() <= 1) {
    state_.broadcasts.Clear();
  }
  if (!state_.broadcasts.empty()) {
    ScheduleGossip();
  }
}

}  // namespace walnutspur::fleet

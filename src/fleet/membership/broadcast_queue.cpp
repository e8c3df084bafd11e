#include "fleet/membership/broadcast_queue.h"

namespace walnutspur::fleet {

void BroadcastQueue::FillMessage(const std::function<bool(const std::string& name)>& append) {
  for (std::size_t left = transmissions_.size(); left > 0 && !transmissions_.empty(); --left) {
    auto at = transmissions_.upper_bound(last_transmitted_);
    if (at == transmissions_.end()) {
      at = transmissions_.begin();
    }
    if (!append(at->first)) {
      return;
    }
    last_transmitted_ = at->first;
    --at->second;
    if (at->second <= 0) {
      transmissions_.erase(at);
    }
  }
}

}  // namespace walnutspur::fleet

#include "lab/fakes/discovery_thread.h"

#include <utility>

namespace walnutspur::lab {
namespace {

// us: half of the platform's maximum of 2 s, so that no watch times out on a busy machine.
constexpr Time kHeartbeatInterval = 1'000'000;

}  // namespace

DiscoveryThread::DiscoveryThread()
    : changes_added_(loop_.base(), -1, EV_PERSIST, [this] { ApplyChanges(); }),
      service_(loop_.base(), {.heartbeat_interval = kHeartbeatInterval, .response_delay = 0}) {
  loop_.Start();
}

DiscoveryThread::~DiscoveryThread() { loop_.Stop(); }

// Activates the event before it returns, so that the loop applies the change before it reads a later call.
void DiscoveryThread::Set(const ListedEndpoint& endpoint) {
  {
    const std::lock_guard lock(mutex_);
    changes_.push_back(endpoint);
  }
  changes_added_.Activate();
}

void DiscoveryThread::ApplyChanges() {
  std::vector<ListedEndpoint> changes;
  {
    const std::lock_guard lock(mutex_);
    changes = std::exchange(changes_, {});
  }
  for (const ListedEndpoint& endpoint : changes) {
    service_.Set(endpoint);
  }
}

}  // namespace walnutspur::lab

#include "lab/standins/discovery_thread.h"

#include <utility>

namespace walnutspur::lab {
namespace {

// us: half of what the platform promises, so that a busy machine lets no watch time out.
constexpr Time kHeartbeatInterval = 1'000'000;

}  // namespace

DiscoveryThread::DiscoveryThread()
    : changes_added_(loop_.base(), -1, EV_PERSIST, [this] { ApplyChanges(); }),
      service_(loop_.base(), {.heartbeat_interval = kHeartbeatInterval, .response_delay = 0}) {
  loop_.Start();
}

DiscoveryThread::~DiscoveryThread() { loop_.Stop(); }

// The event is active before this returns, so the loop runs it before it reads a call that comes later.
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

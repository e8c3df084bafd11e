// Runs the fake discovery service on a thread of its own, for tests and test environments without an event
// loop.
//
// Serves one client port from construction to destruction. Set may be called from any thread.
#ifndef WALNUTSPUR_LAB_FAKES_DISCOVERY_THREAD_H_
#define WALNUTSPUR_LAB_FAKES_DISCOVERY_THREAD_H_

#include <mutex>
#include <vector>

#include "lab/fakes/discovery_service.h"
#include "lab/fakes/endpoint_list.h"
#include "lab/fakes/event_loop_thread.h"
#include "loop/loop.h"

namespace walnutspur::lab {

class DiscoveryThread {
 public:
  // Listens on a free port of 127.0.0.1. Throws loop::ListenError, or EventLoopError.
  DiscoveryThread();
  ~DiscoveryThread();
  DiscoveryThread(const DiscoveryThread&) = delete;
  DiscoveryThread& operator=(const DiscoveryThread&) = delete;

  int port() const { return service_.port(); }
  // Adds or replaces the endpoint with this id. The change is part of the response to every call made
  // after this returns, and is written to the open watches.
  void Set(const ListedEndpoint& endpoint);

 private:
  void ApplyChanges();

  std::mutex mutex_;                     // guards changes_
  std::vector<ListedEndpoint> changes_;  // that are not yet passed to the service

  // Used by the loop's thread alone once it runs. The loop is destroyed last.
  EventLoopThread loop_;
  loop::EventHandle changes_added_;
  DiscoveryService service_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_DISCOVERY_THREAD_H_

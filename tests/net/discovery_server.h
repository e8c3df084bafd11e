// The discovery service that a scenario plays: it answers the initiator's watches with endpoint lists.
//
// Unlike lab::DiscoveryService it does nothing by itself: each answer is a step of the scenario, which may be
// no valid answer, and there are no heartbeats. It shares the format of the list and of chunks with it.
//
// Owner: the ScenarioRunner. Thread: the test's own; only port() is read by the initiator's thread.
#ifndef WALNUTSPUR_TESTS_NET_DISCOVERY_SERVER_H_
#define WALNUTSPUR_TESTS_NET_DISCOVERY_SERVER_H_

#include <atomic>
#include <string>
#include <vector>

#include "lab/fakes/endpoint_list.h"
#include "loopback_socket.h"

namespace walnutspur::test {

// Holds at most one open watch.
class DiscoveryServer {
 public:
  DiscoveryServer();

  // Waits up to `ms` milliseconds for a watch; returns its request line, or "nothing".
  std::string WaitForWatch(int ms);
  // Sends the next revision of the list on the open watch.
  void SendList(const std::vector<lab::ListedEndpoint>& endpoints, bool complete);
  // Rejects the open watch with status 503. The revision that it would have sent is skipped.
  void Reject();
  // Sends text on the open watch in chunks of `chunk_size` bytes.
  void Write(const std::string& text, std::size_t chunk_size);
  // Closes the open watch.
  void CloseWatch() { watch_.Close(); }
  // Listens on a new port. The old watch stays open and unanswered.
  void Move();

  // Where the initiator is to connect, as host and port.
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::atomic<int> port_ = 0;
  Socket listener_;
  Socket watch_;
  Socket old_watch_;
  bool response_started_ = false;  // on the open watch
  int revision_ = 41;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_DISCOVERY_SERVER_H_

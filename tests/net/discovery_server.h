// Implements the discovery service of a scenario, which sends endpoint lists on the initiator's watches.
//
// Unlike lab::DiscoveryService it sends nothing on its own: each response is a step of the scenario and may
// be invalid, and there are no heartbeats. Both share the format of lists and chunks.
//
// Owned by the ScenarioRunner; runs on the test's thread. The initiator's thread only calls Address().
#ifndef WALNUTSPUR_TESTS_NET_DISCOVERY_SERVER_H_
#define WALNUTSPUR_TESTS_NET_DISCOVERY_SERVER_H_

#include <atomic>
#include <string>
#include <vector>

#include "lab/fakes/endpoint_list.h"
#include "loopback_socket.h"

namespace walnutspur::test {

// Class DiscoveryServer holds at most one open watch.
class DiscoveryServer {
 public:
  DiscoveryServer();

  // Waits up to `ms` milliseconds for a watch. Returns its request line, or "nothing" if there is none.
  std::string WaitForWatch(int ms);
  // Sends the next revision of the list on the open watch.
  void SendList(const std::vector<lab::ListedEndpoint>& endpoints, bool complete);
  // Rejects the open watch with status 503. The next revision is skipped.
  void Reject();
  // Sends text on the open watch in chunks of `chunk_size` bytes.
  void Write(const std::string& text, std::size_t chunk_size);
  // Closes the open watch.
  void CloseWatch() { watch_.Close(); }
  // Listens on a new port. The old watch stays open without a response.
  void Move();

  // Returns the address that the initiator must connect to, "host:port".
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::atomic<int> port_ = 0;
  Socket listener_;
  Socket watch_;
  Socket old_watch_;
  bool response_started_ = false;  // whether the response to the open watch has started
  int revision_ = 41;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_DISCOVERY_SERVER_H_

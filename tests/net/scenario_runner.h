// Runs scenarios: an initiator on loopback with fake clients, storage servers and a fake discovery service,
// which act only as the scenario specifies. One step per line:
//
//   client c send read|write|flush [body]           client c expect served|refused|failed|closed|nothing MS
//   client c send bytes "..."                       client c expect status N | text T
//   client c close [reset]
//   target a expect read|write|flush|closed         target a expect nothing MS
//   target a send ok|error|busy|...                 target a send bytes "..."
//   target a close [reset|listener]
//   discovery expect watch [since=N]                discovery send [delta] a=SERVING b=DRAINING ... | 503
//   discovery close                                 discovery moves
//   wait MS                                         signal HUP|TERM
//   config good|bad
//
// The same steps run over HTTP and NBD. Clients whose name begins with b use target b, all others target a.
//
// Owned by the test. The initiator runs on a thread of the runner; everything else runs on the test's thread.
#ifndef WALNUTSPUR_TESTS_NET_SCENARIO_RUNNER_H_
#define WALNUTSPUR_TESTS_NET_SCENARIO_RUNNER_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "app/initiator.h"
#include "app/platform.h"
#include "discovery_server.h"
#include "http_message.h"
#include "scenario_client.h"
#include "scenario_config.h"
#include "scenario_parser.h"
#include "storage_server.h"
#include "support/temporary_file.h"

namespace walnutspur::test {

// Class ScenarioRunner runs an initiator with two active targets: a with shard 0, and b with shard 1.
class ScenarioRunner {
 public:
  explicit ScenarioRunner(core::Protocol protocol, const nlohmann::json& config = BasicConfig(),
                          app::Options options = {}, http::DigestOptions digests = {});
  ~ScenarioRunner() { Stop(); }

  // Runs the steps in order. If the expectation of a step fails, the test fails.
  void Play(const std::string& scenario);
  // Sends `text` on the open watch in chunks of `chunk_size` bytes.
  void WriteDiscovery(const std::string& text, std::size_t chunk_size) { discovery_.Write(text, chunk_size); }
  // Stops the initiator and joins its thread.
  void Stop();
  // Keeps the initiator's loop from running for `ms` milliseconds, from its next iteration on.
  void StallLoop(int ms);
  // Returns whether the initiator's loop exits on its own within `ms` milliseconds.
  bool WaitForExit(int ms);

  // Returns the weight served within the latency objective, plus a fraction of the weight served late,
  // divided by the total weight of the requests with a response.
  double score() const { return total_weight_ > 0 ? served_weight_ / total_weight_ : 0; }
  app::Initiator& initiator() { return *initiator_; }
  int http_port() const { return http_port_; }
  int nbd_port() const { return nbd_port_; }
  // Returns the last response that any client received.
  const HttpMessage& last_response() const { return last_response_; }
  // Returns the request line of the last watch.
  const std::string& last_watch_request() const { return last_watch_request_; }
  // Return a target's number of connections so far, its last request by protocol, and its listener.
  std::size_t target_connections(const std::string& name) const { return targets_.at(name)->connections(); }
  const nbd::Request& target_nbd_request(const std::string& name) const {
    return targets_.at(name)->nbd_request();
  }
  const HttpMessage& target_http_request(const std::string& name) const {
    return targets_.at(name)->http_request();
  }
  const Socket& target_listener(const std::string& name) const { return targets_.at(name)->listener(); }

 private:
  void StartTargets();
  // Returns the NBD front end's deploy file, with one export per target.
  std::string NbdDeployFile() const;
  void StartInitiator(const nlohmann::json& config, const app::Options& options, http::DigestOptions digests);

  void PlayStep(const ScenarioStep& step);
  void PlayClientStep(const ScenarioStep& step);
  void SendFromClient(const std::string& name, const ScenarioStep& step);
  void ExpectAtClient(ScenarioClient& client, const ScenarioStep& step);
  // Adds a response to a well-formed request to the score and checks that it arrived before the deadline.
  void RecordResponse(const ScenarioClient& client, ClientEvent event);
  void PlayTargetStep(const ScenarioStep& step);
  static void ExpectAtTarget(StorageServer& target, const ScenarioStep& step);
  void PlayDiscoveryStep(const ScenarioStep& step);
  void ExpectWatch(const ScenarioStep& step);
  void SendEndpoints(const ScenarioStep& step);
  ScenarioClient& ClientNamed(const std::string& name);

  core::Protocol protocol_;
  DiscoveryServer discovery_;
  nlohmann::json config_;                     // read by the initiator's thread on SIGHUP
  std::atomic<bool> invalid_config_ = false;  // whether a reload of the configuration fails
  std::map<std::string, std::unique_ptr<ScenarioClient>> clients_;
  std::map<std::string, std::unique_ptr<StorageServer>> targets_;
  std::uint32_t next_request_id_ = 1;
  double total_weight_ = 0;
  double served_weight_ = 0;
  HttpMessage last_response_;
  std::string last_watch_request_;
  std::unique_ptr<TemporaryFile> nbd_deploy_file_;  // null over HTTP
  int http_port_ = 0;
  int nbd_port_ = 0;
  std::unique_ptr<app::Initiator> initiator_;
  std::atomic<bool> has_exited_ = false;
  std::thread thread_;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_RUNNER_H_

// Plays scenarios: an initiator on loopback with stand-ins for clients, storage servers and discovery that
// act only as the scenario says. One step a line:
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
// The same steps play over HTTP and over NBD. Clients whose name begins with b use target b, all others
// target a.
//
// Owner: the test. Threads: the initiator runs on a thread of the runner's; all else is the test's thread.
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

// An initiator with two targets, a of shard 0 and b of shard 1, both active.
class ScenarioRunner {
 public:
  explicit ScenarioRunner(core::Protocol protocol, const nlohmann::json& config = BasicConfig(),
                          app::Options options = {}, http::DigestOptions digests = {});
  ~ScenarioRunner() { Stop(); }

  // Plays the steps in order; a step whose expectation fails ends the test.
  void Play(const std::string& scenario);
  // Sends text on the open watch in chunks of `chunk_size` bytes.
  void WriteDiscovery(const std::string& text, std::size_t chunk_size) { discovery_.Write(text, chunk_size); }
  // Stops the initiator and joins its thread.
  void Stop();
  // Whether the initiator's loop ends by itself within `ms` milliseconds.
  bool WaitForExit(int ms);

  // The weight that was served in time over the weight of all requests that clients have had a response to.
  double score() const { return total_weight_ > 0 ? served_weight_ / total_weight_ : 0; }
  app::Initiator& initiator() { return *initiator_; }
  int http_port() const { return http_port_; }
  int nbd_port() const { return nbd_port_; }
  // The last response to any client.
  const HttpMessage& last_response() const { return last_response_; }
  // The request line of the last watch.
  const std::string& last_watch_request() const { return last_watch_request_; }
  // A target's connections so far, its last request by protocol, and its listener.
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
  // The front end's deploy file: one export per target.
  std::string NbdDeployFile() const;
  void StartInitiator(const nlohmann::json& config, const app::Options& options, http::DigestOptions digests);

  void PlayStep(const ScenarioStep& step);
  void PlayClientStep(const ScenarioStep& step);
  void SendFromClient(const std::string& name, const ScenarioStep& step);
  void ExpectAtClient(ScenarioClient& client, const ScenarioStep& step);
  // Counts a response to a well-formed request and checks that it came in time.
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
  std::atomic<bool> invalid_config_ = false;  // whether a reload fails
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

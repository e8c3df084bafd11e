#include "scenario_runner.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <unistd.h>

#include <csignal>
#include <sstream>
#include <stdexcept>

#include "core/scheduler_thread.h"
#include "lab/fakes/loopback.h"
#include "scenario_limits.h"

namespace walnutspur::test {
namespace {

using nlohmann::json;

// The error that a reload throws while the scenario has set `config bad`.
class InvalidConfigError : public std::runtime_error {
 public:
  InvalidConfigError()
      : std::runtime_error("invalid configuration file: the scenario has set 'config bad'") {}
};

constexpr const char* kTargetNames[] = {"a", "b"};
constexpr std::uint64_t kExportBytes = 1048576;
constexpr std::uint32_t kMaxNbdRequestBytes = 65536;
constexpr int kWatchTimeoutMs = 6'000;  // maximum time until a failed watch is opened again
constexpr int kExitPollMs = 5;

// The weights of BasicConfig(), and its latency objective and deadline in microseconds.
constexpr double kReadWeight = 3;
constexpr double kWriteWeight = 2;
constexpr double kLateWeightFraction = 0.1;
constexpr Time kLatencyObjective = 400'000;
constexpr Time kDeadline = 1'200'000;
constexpr Time kResponseGrace = 58'000;

std::vector<nbd::Export> Exports() {
  std::vector<nbd::Export> exports;
  for (const char* name : kTargetNames) {
    exports.push_back(
        {name, kExportBytes, kMaxNbdRequestBytes, nbd::kHasFlags | nbd::kSendFlush | nbd::kSendFua});
  }
  return exports;
}

// Returns the endpoint state for a phase, which the scenario language spells as in the endpoint list.
EndpointState ParseState(const std::string& word) {
  if (word == "SERVING") {
    return EndpointState::kActive;
  }
  if (word == "DELETED") {
    return EndpointState::kTerminated;
  }
  REQUIRE(word == "DRAINING");
  return EndpointState::kDraining;
}

}  // namespace

ScenarioRunner::ScenarioRunner(core::Protocol protocol, const json& config, app::Options options,
                               http::DigestOptions digests)
    : protocol_(protocol), config_(config) {
  StartTargets();
  if (protocol_ == core::Protocol::kNbd) {
    nbd_deploy_file_ = std::make_unique<TemporaryFile>(NbdDeployFile());
    options.nbd = nbd_deploy_file_->path();
  }
  config_["discovery"] = discovery_.Address();
  StartInitiator(config_, options, digests);
  Play("discovery expect watch\n discovery send a=SERVING b=SERVING");
}

void ScenarioRunner::StartTargets() {
  int shard = 0;
  for (const char* name : kTargetNames) {
    if (protocol_ == core::Protocol::kNbd) {
      targets_[name] = std::make_unique<NbdStorageServer>(shard, Exports());
    } else {
      targets_[name] = std::make_unique<HttpStorageServer>(shard);
    }
    ++shard;
  }
}

std::string ScenarioRunner::NbdDeployFile() const {
  std::ostringstream text;
  text << "listen = \"127.0.0.1:0\"\nhandshake_s = 0.3\nidle_s = 1\n"
       << "[commands]\nread = \"read\"\nwrite = \"write\"\nflush = \"write\"\n";
  for (const auto& [name, target] : targets_) {
    text << "[[box]]\nid = \"" << name << "\"\naddress = \"127.0.0.1:" << target->port() << "\"\n"
         << "[[export]]\nname = \"" << name
         << "\"\nvolume = \"v\"\nplan = \"basic\"\nshard = " << target->shard() << "\nbox = \"" << name
         << "\"\nsize = " << kExportBytes << "\n";
  }
  return text.str();
}

void ScenarioRunner::StartInitiator(const json& config, const app::Options& options,
                                    http::DigestOptions digests) {
  http::Config parsed = app::ParseConfig(config);
  parsed.digests = digests;
  initiator_ = std::make_unique<app::Initiator>(std::move(parsed), options);
  initiator_->EnableReload([this] {
    if (invalid_config_) {
      throw InvalidConfigError();
    }
    json reloaded = config_;
    reloaded["discovery"] = discovery_.Address();
    return app::ParseConfig(reloaded);
  });
  http_port_ = initiator_->http_front_end().port();
  if (initiator_->nbd_front_end()) {
    nbd_port_ = initiator_->nbd_front_end()->port();
  }
  thread_ = std::thread([this] {
    initiator_->Run();
    has_exited_ = true;
  });
}

void ScenarioRunner::Stop() {
  initiator_->StopNow();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ScenarioRunner::StallLoop(int ms) {
  const timeval at_once{};
  event_base_once(
      initiator_->base(), -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* stall_ms) {
        poll(nullptr, 0, static_cast<int>(reinterpret_cast<std::intptr_t>(stall_ms)));
      },
      reinterpret_cast<void*>(static_cast<std::intptr_t>(ms)), &at_once);
}

bool ScenarioRunner::WaitForExit(int ms) {
  const Time until = core::Now() + FromMilliseconds(ms);
  while (!has_exited_ && core::Now() < until) {
    poll(nullptr, 0, kExitPollMs);
  }
  return has_exited_;
}

void ScenarioRunner::Play(const std::string& scenario) {
  for (const ScenarioStep& step : ParseScenario(scenario)) {
    INFO("step: ", step.line);
    PlayStep(step);
  }
}

void ScenarioRunner::PlayStep(const ScenarioStep& step) {
  const std::string& subject = step.words[0];
  if (subject == "wait") {
    poll(nullptr, 0, std::stoi(step.Word(1)));
  } else if (subject == "client") {
    PlayClientStep(step);
  } else if (subject == "target") {
    PlayTargetStep(step);
  } else if (subject == "discovery") {
    PlayDiscoveryStep(step);
  } else if (subject == "signal") {
    kill(getpid(), step.Word(1) == "HUP" ? SIGHUP : SIGTERM);
  } else if (subject == "config") {
    invalid_config_ = step.Word(1) == "bad";
  } else {
    FAIL("unknown scenario step");
  }
}

ScenarioClient& ScenarioRunner::ClientNamed(const std::string& name) {
  std::unique_ptr<ScenarioClient>& client = clients_[name];
  if (!client) {
    client = MakeScenarioClient(protocol_);
  }
  return *client;
}

void ScenarioRunner::PlayClientStep(const ScenarioStep& step) {
  const std::string& name = step.words.at(1);
  const std::string& verb = step.words.at(2);
  if (verb == "send") {
    SendFromClient(name, step);
  } else if (verb == "expect") {
    ExpectAtClient(ClientNamed(name), step);
  } else if (verb == "close") {
    ClientNamed(name).Close(step.HasWord(3));
  }
}

void ScenarioRunner::SendFromClient(const std::string& name, const ScenarioStep& step) {
  if (!ClientNamed(name).connected()) {
    clients_[name] = MakeScenarioClient(protocol_);
    clients_[name]->Connect(protocol_ == core::Protocol::kNbd ? nbd_port_ : http_port_);
  }
  ScenarioClient& client = ClientNamed(name);
  if (step.Word(3) == "bytes") {
    client.SendBytes(step.QuotedText());
    return;
  }
  ClientRequest request;
  request.request_class = step.Word(3);
  request.target = name.starts_with("b") ? "b" : "a";
  request.deadline = config_["settings"]["classes"][0]["deadline"].get<Time>();
  if (request.request_class == "write") {
    request.body = step.HasWord(4) ? step.Word(4) : "data";
  }
  request.id = next_request_id_++;
  client.SendRequest(request);
}

void ScenarioRunner::ExpectAtClient(ScenarioClient& client, const ScenarioStep& step) {
  const std::string expected = step.Word(3);
  if (expected == "text") {
    CHECK(last_response_.body == step.Word(4));
    return;
  }
  const int timeout_ms = expected == "nothing" ? std::stoi(step.Word(4)) : kScenarioTimeoutMs;
  const ClientEvent event = client.Receive(timeout_ms, &last_response_);
  if (expected == "status") {
    CHECK(last_response_.Status() == step.Word(4));
    return;
  }
  REQUIRE(NameOf(event) == expected);
  RecordResponse(client, event);
}

void ScenarioRunner::RecordResponse(const ScenarioClient& client, ClientEvent event) {
  if (client.request_class().empty() || event == ClientEvent::kClosed || event == ClientEvent::kNothing) {
    return;
  }
  const double weight = client.request_class() == "write" ? kWriteWeight : kReadWeight;
  const Time latency = core::Now() - client.sent_at();
  CHECK(latency < kDeadline + kResponseGrace);
  total_weight_ += weight;
  if (event == ClientEvent::kServed) {
    served_weight_ += latency <= kLatencyObjective ? weight : kLateWeightFraction * weight;
  }
}

void ScenarioRunner::PlayTargetStep(const ScenarioStep& step) {
  StorageServer& target = *targets_.at(step.words.at(1));
  const std::string& verb = step.words.at(2);
  if (verb == "expect") {
    ExpectAtTarget(target, step);
  } else if (verb == "send" && step.Word(3) == "bytes") {
    target.SendBytes(step.QuotedText());
  } else if (verb == "send") {
    target.Respond(step.words.at(3));
  } else if (verb == "close" && step.Word(3) == "listener") {
    target.CloseListener();
  } else if (verb == "close") {
    target.CloseConnection(step.Word(3) == "reset");
  }
}

void ScenarioRunner::ExpectAtTarget(StorageServer& target, const ScenarioStep& step) {
  const std::string& expected = step.words.at(3);
  if (expected == "nothing") {  // no request may arrive; connections may be closed
    const int timeout_ms = std::stoi(step.Word(4));
    ServerEvent event = target.WaitForEvent(timeout_ms);
    if (event == ServerEvent::kClosed) {
      event = target.WaitForEvent(timeout_ms);
    }
    CHECK(NameOf(event) == "nothing");
    return;
  }
  ServerEvent event = target.WaitForEvent(kScenarioTimeoutMs);
  while (event == ServerEvent::kClosed &&
         expected != "closed") {  // skip closed connections before the request
    event = target.WaitForEvent(kScenarioTimeoutMs);
  }
  REQUIRE(NameOf(event) == expected);
}

void ScenarioRunner::PlayDiscoveryStep(const ScenarioStep& step) {
  const std::string& verb = step.words.at(1);
  if (verb == "send") {
    SendEndpoints(step);
  } else if (verb == "close") {
    discovery_.CloseWatch();
  } else if (verb == "moves") {
    discovery_.Move();
  } else if (verb == "expect") {
    ExpectWatch(step);
  }
}

void ScenarioRunner::ExpectWatch(const ScenarioStep& step) {
  const std::string request = discovery_.WaitForWatch(kWatchTimeoutMs);
  if (request != "nothing") {
    last_watch_request_ = request;
  }
  REQUIRE(request.find("follow=1") != std::string::npos);
  if (step.HasWord(3)) {
    CHECK(request.find(step.Word(3)) != std::string::npos);
  }
}

void ScenarioRunner::SendEndpoints(const ScenarioStep& step) {
  constexpr std::size_t kFirstArgument = 2;
  bool complete = true;
  std::vector<lab::ListedEndpoint> endpoints;
  for (std::size_t i = kFirstArgument; i < step.words.size(); ++i) {
    const std::string& word = step.words[i];
    if (word == "503") {
      discovery_.Reject();
      return;
    }
    if (word == "delta") {
      complete = false;
      continue;
    }
    const std::string name = word.substr(0, word.find('='));
    const StorageServer& target = *targets_.at(name);
    endpoints.push_back({name, lab::FormatLoopbackAddress(target.port()),
                         ParseState(word.substr(name.size() + 1)), target.shard()});
  }
  discovery_.SendList(endpoints, complete);
}

}  // namespace walnutspur::test

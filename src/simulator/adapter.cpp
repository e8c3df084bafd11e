#include "simulator/adapter.h"

#include <cstdint>
#include <string_view>
#include <utility>

#include "simulator/json_fields.h"
#include "simulator/messages.h"
#include "simulator/settings.h"

namespace walnutspur::simulator {

using nlohmann::json;

bool Adapter::HandleLine(const std::string& line, std::string* reply) {
  const json message = json::parse(line);
  if (!message.is_object()) {
    throw ProtocolError("line is not a JSON object");
  }
  const auto operation = RequiredField<std::string>(message, "op");
  if (operation == "round") {
    StartBatch(message);
    return false;
  }
  if (!in_batch_) {
    throw ProtocolError("op '" + operation + "' is only allowed inside a batch");
  }
  if (operation == "eofBatch") {
    EndBatch(reply);
    return true;
  }
  if (operation == "census") {
    StoreEndpointList(message);
    return false;
  }
  const int instance = RequiredField<int>(message, "initiatorId");
  const Handler handler = FindHandler(operation);
  (this->*handler)(instance, message);
  return false;
}

Adapter::Handler Adapter::FindHandler(const std::string& operation) {
  static const std::map<std::string_view, Handler> handlers = {
      {"enlist", &Adapter::StartInstance},        {"kill", &Adapter::KillInstance},
      {"membership", &Adapter::UpdateEndpoints},  {"arrival", &Adapter::ReceiveRequest},
      {"done", &Adapter::FinishAttempt},          {"bell", &Adapter::FireTimer},
      {"probeDone", &Adapter::FinishHealthCheck}, {"abandoned", &Adapter::DisconnectClient},
      {"streaming", &Adapter::StartResponse},     {"peer", &Adapter::IgnorePeer},
  };
  const auto handler = handlers.find(operation);
  if (handler == handlers.end()) {
    throw ProtocolError("unknown op '" + operation + "'");
  }
  return handler->second;
}

void Adapter::StartBatch(const json& message) {
  if (in_batch_) {
    throw ProtocolError("op 'round' is not allowed inside a batch");
  }
  now_ = RequiredField<Time>(message, "now");
  in_batch_ = true;
  reply_.clear();
}

void Adapter::EndBatch(std::string* reply) {
  in_batch_ = false;
  reply_ += "{\"op\":\"eor\"}\n";
  reply->swap(reply_);
}

void Adapter::StoreEndpointList(const json& message) {
  std::vector<Endpoint> endpoints;
  for (const json& item : RequiredField<json>(message, "items")) {
    endpoints.push_back(ParseEndpoint(item));
  }
  endpoint_lists_[RequiredField<int>(message, "list")] = std::move(endpoints);
}

void Adapter::StartInstance(int instance, const json& message) {
  Scheduler scheduler(ParseSettings(RequiredField<json>(message, "settings")),
                      RequiredField<std::uint64_t>(message, "prng"));
  instances_.insert_or_assign(instance, std::move(scheduler));
  HandleEvent(instance, Started{});
}

void Adapter::KillInstance(int instance, const json& /*message*/) { instances_.erase(instance); }

void Adapter::UpdateEndpoints(int instance, const json& message) {
  EndpointUpdate update;
  update.kind = ParseEndpointUpdateKind(RequiredField<std::string>(message, "mode"));
  if (update.kind != EndpointUpdateKind::kFailed) {
    const int number = RequiredField<int>(message, "list");
    const auto list = endpoint_lists_.find(number);
    if (list == endpoint_lists_.end()) {
      throw ProtocolError("no endpoint list with number " + std::to_string(number));
    }
    update.endpoints = list->second;
  }
  HandleEvent(instance, update);
}

void Adapter::ReceiveRequest(int instance, const json& message) {
  HandleEvent(instance, ParseRequestArrived(message));
}

void Adapter::FinishAttempt(int instance, const json& message) {
  HandleEvent(instance, ParseAttemptFinished(message));
}

void Adapter::FireTimer(int instance, const json& message) {
  HandleEvent(instance, TimerFired{RequiredField<std::int64_t>(message, "mark")});
}

void Adapter::FinishHealthCheck(int instance, const json& message) {
  HandleEvent(instance, ParseHealthCheckFinished(message));
}

void Adapter::DisconnectClient(int instance, const json& message) {
  HandleEvent(instance, ClientDisconnected{RequiredField<std::string>(message, "tid")});
}

void Adapter::StartResponse(int instance, const json& message) {
  HandleEvent(instance, ResponseStarted{RequiredField<std::string>(message, "tid")});
}

// Ignores messages from other instances: instances exchange none over this protocol.
void Adapter::IgnorePeer(int /*instance*/, const json& /*message*/) {}

void Adapter::HandleEvent(int instance, const Event& event) {
  const auto scheduler = instances_.find(instance);
  if (scheduler == instances_.end()) {
    return;  // the instance was killed: the simulator may still send messages to it
  }
  for (const Action& action : scheduler->second.Handle(event, now_)) {
    reply_ += ToJson(instance, action).dump();
    reply_ += '\n';
  }
}

}  // namespace walnutspur::simulator

#include "upgrade/handover_message.h"

namespace walnutspur::upgrade {
namespace {

using nlohmann::json;

// Values of the key "kind".
constexpr const char* kJoin = "join";
constexpr const char* kState = "state";
constexpr const char* kReady = "ready";
constexpr const char* kCordon = "cordon";

json ToJson(const JoinRequest&) { return {{"kind", kJoin}}; }

json ToJson(const ProcessState& state) {
  return {{"kind", kState},
          {"discovery", state.discovery},
          {"endpoint_list", state.endpoint_list},
          {"cordoned", state.cordoned}};
}

json ToJson(const ReadyNotice&) { return {{"kind", kReady}}; }

json ToJson(const CordonNotice& notice) {
  return {{"kind", kCordon}, {"target", notice.target}, {"cordoned", notice.cordoned}};
}

ProcessState ReadState(const json& document) {
  ProcessState state;
  state.discovery = document.value("discovery", "");
  state.endpoint_list = document.value("endpoint_list", json());
  state.cordoned = document.value("cordoned", state.cordoned);
  return state;
}

std::optional<HandoverMessage> ReadMessage(const json& document) {
  const auto kind = document.value("kind", std::string());
  if (kind == kJoin) {
    return JoinRequest{};
  }
  if (kind == kState) {
    return ReadState(document);
  }
  if (kind == kReady) {
    return ReadyNotice{};
  }
  if (kind == kCordon) {
    return CordonNotice{document.at("target").get<TargetId>(), document.at("cordoned").get<bool>()};
  }
  return std::nullopt;
}

}  // namespace

std::string FormatMessage(const HandoverMessage& message) {
  const json document = std::visit([](const auto& typed) { return ToJson(typed); }, message);
  return document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::optional<HandoverMessage> ParseMessage(std::string_view line) {
  try {
    return ReadMessage(json::parse(line));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace walnutspur::upgrade

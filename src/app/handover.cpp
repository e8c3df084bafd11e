#include "app/handover.h"

#include <cstdlib>
#include <utility>
#include <variant>

#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::app {

Handover::Handover(event_base* base, const std::string& socket_path, Hooks hooks)
    : hooks_(std::move(hooks)),
      link_(base, socket_path,
            {[this] { return hooks_.state(); },
             [this](const upgrade::HandoverMessage& message, bool from_successor) {
               OnMessage(message, from_successor);
             },
             [this] { OnChange(); }}) {}

void Handover::Listen() {
  is_listening_ = true;
  try {
    link_.Listen();
  } catch (const upgrade::LinkError& error) {
    log::Event(log::Level::kError, log::kHandoverFailed, {{"error", error.what()}});
  }
}

void Handover::AnnounceReady() {
  if (is_listening_ && !std::exchange(is_announced_, true)) {
    link_.Send(upgrade::ReadyNotice{});
  }
}

void Handover::SendCordon(const TargetId& target, bool cordoned) {
  link_.Send(upgrade::CordonNotice{target, cordoned});
}

void Handover::OnMessage(const upgrade::HandoverMessage& message, bool from_successor) {
  if (const auto* cordon = std::get_if<upgrade::CordonNotice>(&message)) {
    hooks_.on_cordon(cordon->target, cordon->cordoned);
  } else if (std::holds_alternative<upgrade::ReadyNotice>(message) && from_successor &&
             !std::exchange(has_handed_over_, true)) {
    log::Event(log::Level::kInfo, log::kClientsHandedOver, {});
    hooks_.hand_over_clients();
  }
}

void Handover::OnChange() {
  if (!is_listening_) {
    return;
  }
  log::Event(log::Level::kInfo, log::kProcessCountChanged, {{"processes", std::to_string(processes())}});
  hooks_.on_process_count();
  const bool has_successor = link_.successors() > 0;
  if (std::exchange(had_successor_, has_successor) && !has_successor) {
    OnSuccessorEnded();
  }
}

void Handover::OnSuccessorEnded() {
  Listen();
  if (!std::exchange(has_handed_over_, false)) {
    return;
  }
  try {
    hooks_.take_clients_back();
  } catch (const loop::ListenError& error) {
    log::Event(log::Level::kError, log::kHandoverFailed, {{"error", error.what()}});
  }
}

std::optional<std::string> SharedFolder() {
  const char* folder = std::getenv("TMPDIR");
  return folder != nullptr && *folder != '\0' ? std::optional<std::string>(folder) : std::nullopt;
}

}  // namespace walnutspur::app

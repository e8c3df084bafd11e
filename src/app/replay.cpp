#include "app/replay.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <utility>
#include <vector>

#include "app/time_limits.h"
#include "loop/address.h"

namespace walnutspur::app {
namespace {

// Returns the address that a stream is sent to; port 0 if no front end has its protocol.
loop::Address AddressOf(const ReplayTargets& targets, const pcap::Stream& stream) {
  if (!pcap::LooksLikeNbd(stream.to_server.bytes())) {
    return {targets.http_config->listen.host, static_cast<std::uint16_t>(targets.http->port())};
  }
  if (targets.nbd == nullptr) {
    return {};
  }
  return {loop::ParseAddress(targets.nbd_config->listen).host,
          static_cast<std::uint16_t>(targets.nbd->port())};
}

void PrintSummary(const pcap::Player& player) {
  std::size_t sent = 0;
  std::size_t received = 0;
  for (const auto& result : player.results()) {
    sent += result.sent.size();
    received += result.received.size();
  }
  std::printf("walnutspur: replayed %zu streams, %zu bytes, answered with %zu\n", player.results().size(),
              sent, received);
}

}  // namespace

Replay::Replay(event_base* base, const std::string& path, const ReplayTargets& targets,
               std::function<void()> on_finished)
    : on_finished_(std::move(on_finished)) {
  const std::vector<pcap::Stream> streams = pcap::ReadStreams(path);
  const auto address_of = [targets](const pcap::Stream& stream) { return AddressOf(targets, stream); };
  const Time silence =
      std::max(kMaxPlatformDeadline, targets.http_config->max_deadline) + kEndAfterMaxDeadline;
  player_ = std::make_unique<pcap::Player>(base, streams, address_of, silence, [this] {
    PrintSummary(*player_);
    on_finished_();
  });
}

}  // namespace walnutspur::app

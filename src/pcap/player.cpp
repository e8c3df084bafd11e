#include <string_view>
#include <utility>

#include "pcap/traffic.h"

namespace walnutspur::pcap {
namespace {

// Maximum number of streams that are replayed concurrently.
constexpr std::size_t kMaxOpenStreams = 64;

}  // namespace

// An NBD client first sends its 4 bytes of flags, of which the first three are zero, and then an option.
bool LooksLikeNbd(const std::string& bytes) {
  constexpr std::size_t kFlagsSize = 4;
  constexpr std::string_view kZeroFlags("\0\0\0", 3);
  constexpr std::string_view kOptionMagic = "IHAVEOPT";
  return bytes.size() >= kFlagsSize + kOptionMagic.size() &&
         bytes.compare(0, kZeroFlags.size(), kZeroFlags) == 0 &&
         bytes.compare(kFlagsSize, kOptionMagic.size(), kOptionMagic) == 0;
}

Player::Player(event_base* base, const std::vector<Stream>& streams, const AddressOf& address_of,
               Time idle_timeout, std::function<void()> on_done)
    : base_(base),
      idle_timeout_(idle_timeout),
      start_timer_(loop::MakeTimer(base, [this] { StartNext(); })),
      on_done_(std::move(on_done)) {
  for (const Stream& stream : streams) {
    Result& result = results_.emplace_back();
    const loop::Address address = address_of(stream);
    if (address.port == 0 || stream.to_server.bytes().empty()) {
      continue;
    }
    result.sent = stream.to_server.bytes();
    result.has_gap = stream.to_server.has_gap();
    auto replay = std::make_unique<Replay>();
    replay->owner = this;
    replay->number = results_.size() - 1;
    replay->address = address;
    replays_.push_back(std::move(replay));
  }
  start_timer_.Start(0);
}

// Starts streams in the order of the file until the limit of concurrent streams is reached.
void Player::StartNext() {
  std::erase_if(replays_, [](const auto& replay) { return replay->ended; });
  while (open_ < kMaxOpenStreams && next_ < replays_.size()) {
    ++open_;
    Start(*replays_[next_++]);
  }
  if (open_ == 0) {
    on_done_();
  }
}

void Player::Start(Replay& replay) {
  Replay* self = &replay;
  replay.idle_timer = loop::MakeTimer(base_, [self] { self->owner->End(*self); });
  replay.stream = loop::MakeClientStream(base_);
  bufferevent* stream = replay.stream.get();
  loop::SetCallbacks(stream, self);
  bufferevent_enable(stream, EV_READ | EV_WRITE);
  loop::Write(stream, results_[replay.number].sent);
  const sockaddr_in address = loop::ToSocket(replay.address);
  replay.idle_timer.Start(idle_timeout_);
  if (!loop::Connect(stream, address)) {
    replay.idle_timer.Start(0);
  }
}

// The replay is erased in a later iteration of the event loop, since one of its callbacks may be running.
void Player::End(Replay& replay) {
  if (std::exchange(replay.ended, true)) {
    return;
  }
  replay.stream.reset();
  replay.idle_timer.Stop();
  --open_;
  --next_;
  start_timer_.Start(0);
}

void Player::Replay::OnReadable() {
  owner->results_[number].received += loop::TakeInput(stream.get());
  idle_timer.Start(owner->idle_timeout_);
}

void Player::Replay::OnEvent(loop::EventMask what) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    owner->End(*this);
  }
}

}  // namespace walnutspur::pcap

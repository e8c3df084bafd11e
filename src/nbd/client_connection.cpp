#include "nbd/client_connection.h"

#include <event2/buffer.h>
#include <sys/socket.h>

#include <array>
#include <cstring>
#include <utility>
#include <vector>

#include "core/scheduler_thread.h"
#include "loop/peer.h"
#include "nbd/messages.h"

namespace walnutspur::nbd {
namespace {

// Input of a client that exceeds either limit is not read, which bounds the memory that the client can occupy
// in the initiator.
constexpr std::size_t kMaxCommandsInFlight = 32;
constexpr std::size_t kMaxUnwrittenBytes = 64 << 10;

// Number of input bytes that are processed at a time. Fewer in the handshake, where the replies to a few
// bytes list all exports.
constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kHandshakeReadBytes = 256;

// Time after which a command that waits for memory is tried again, us.
constexpr Time kMemoryRetryInterval = 5'000;

// Limit of the time from the first to the last byte of a command, us.
constexpr Time kCommandTimeout = 2'500'000;

// Time in which the loop reads what has arrived before a timeout, us.
constexpr Time kUnreadInputTime = 100'000;

// Enables TCP keep-alive, since clients on unreliable links may disappear without closing their connections.
void EnableKeepAlive(evutil_socket_t fd) {
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
}

}  // namespace

ClientConnection::ClientConnection(std::uint64_t number, const Config& config, ClientConnectionOwner* owner)
    : number_(number), config_(config), owner_(owner), session_(config.exports), connected_at_(core::Now()) {}

bool ClientConnection::Adopt(event_base* base, evutil_socket_t fd) {
  stream_ = loop::AdoptSocket(base, fd);
  if (!stream_) {
    return false;
  }
  loop::DisableNagle(fd);
  EnableKeepAlive(fd);
  handshake_timer_ =
      loop::MakeTimer(base, [this] { OnTimeout(EndReason::kHandshakeTimeout, &handshake_timer_); });
  handshake_timer_.Start(config_.handshake_timeout);
  memory_timer_ = loop::MakeTimer(base, [this] { ResumeReading(); });
  command_timer_ = loop::MakeTimer(base, [this] { OnTimeout(EndReason::kCommandTimeout, &command_timer_); });
  loop::SetCallbacks(stream_.get(), this);
  return true;
}

void ClientConnection::Begin() {
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  Write(Greeting());
}

// If bytes wait unread, the loop may be late and the client not: it is given time to read them, once.
void ClientConnection::OnTimeout(EndReason reason, loop::EventHandle* timer) {
  if (loop::HasUnreadBytes(fd()) && !std::exchange(timeout_extended_, true)) {
    timer->Start(kUnreadInputTime);
    return;
  }
  owner_->OnEnd(*this, reason, "");
}

void ClientConnection::SetMemory(core::MemoryReservation command, core::MemoryReservation replies) {
  command_memory_ = std::move(command);
  reply_memory_ = std::move(replies);
}

// Passes the bytes to the kernel at once: a client that has gone resets its connection before another command
// of it is read.
void ClientConnection::Write(const std::string& bytes) {
  if (!bytes.empty()) {
    loop::Write(stream_.get(), bytes);
    loop::FlushOutput(stream_.get());
  }
  reply_memory_.Resize(loop::UnwrittenBytes(stream_.get()), limits::MemoryPriority::kHeldAlready);
}

void ClientConnection::OnEvent(loop::EventMask what) {
  const int error = EVUTIL_SOCKET_ERROR();
  if (what & BEV_EVENT_ERROR) {
    owner_->OnEnd(*this, EndReason::kConnectionFailed, evutil_socket_error_to_string(error));
  } else if (what & BEV_EVENT_EOF) {
    owner_->OnEnd(*this, EndReason::kClientClosed, "");
  }
}

// Ranks a connection on which a command has been received as in use, so that it is never evicted: the client
// has a device mounted on it.
frontend::EvictionRank ClientConnection::eviction_rank() const {
  if (has_sent_command_) {
    return frontend::EvictionRank::kInUse;
  }
  return session_.chosen() == nullptr ? frontend::EvictionRank::kHandshake
                                      : frontend::EvictionRank::kNoRequestYet;
}

bool ClientConnection::HasCapacity() const {
  return in_flight_.size() < kMaxCommandsInFlight &&
         loop::UnwrittenBytes(stream_.get()) <= kMaxUnwrittenBytes;
}

// Also stops the command timer: while reading is paused, it is the initiator that delays the remaining bytes
// of the command.
void ClientConnection::PauseReading() {
  bufferevent_disable(stream_.get(), EV_READ);
  command_timer_.Stop();
  command_timer_runs_ = false;
}

void ClientConnection::ResumeReading() {
  bufferevent_enable(stream_.get(), EV_READ);
  ProcessInput();
}

void ClientConnection::ProcessInput() {
  if (write_closed_) {
    loop::DrainInput(stream_.get(), loop::BufferedInputBytes(stream_.get()));
    return;
  }
  while (!session_.ended() && loop::BufferedInputBytes(stream_.get()) > 0) {
    if (!HasCapacity()) {
      PauseReading();
      return;
    }
    if (!command_memory_.Resize(session_.expected_data_bytes())) {
      PauseReading();
      memory_timer_.Start(kMemoryRetryInterval);
      return;
    }
    std::array<char, kReadBytes> bytes;
    const std::size_t read_bytes = session_.chosen() == nullptr ? kHandshakeReadBytes : bytes.size();
    const int size = evbuffer_remove(bufferevent_get_input(stream_.get()), bytes.data(), read_bytes);
    if (size <= 0) {
      break;
    }
    FeedSession({bytes.data(), static_cast<std::size_t>(size)});
  }
  CloseIfIdle();
}

void ClientConnection::FeedSession(std::string_view bytes) {
  std::string out;
  std::vector<Request> requests;
  session_.Feed(bytes, &out, &requests);
  Write(out);
  if (session_.chosen() != nullptr) {
    handshake_timer_.Stop();
  }
  for (Request& request : requests) {
    has_sent_command_ = true;
    owner_->OnCommand(*this, std::move(request));
  }
  UpdateCommandTimer(!requests.empty());
}

// Starts the command timer while a command is incomplete: without a timeout, a client that stops in the
// middle of a command would hold its connection indefinitely.
void ClientConnection::UpdateCommandTimer(bool command_completed) {
  const bool runs = session_.has_partial_command();
  if (!runs) {
    command_timer_.Stop();
  } else if (!command_timer_runs_ || command_completed) {
    timeout_extended_ = false;
    command_timer_.Start(kCommandTimeout);
  }
  command_timer_runs_ = runs;
}

void ClientConnection::CloseIfIdle() {
  const bool written = loop::UnwrittenBytes(stream_.get()) == 0;
  if (session_.ended()) {
    if (written) {
      const bool is_regular = session_.error().empty();
      owner_->OnEnd(*this, is_regular ? EndReason::kClientClosed : EndReason::kProtocolError,
                    session_.error());
    } else {
      handshake_timer_.Start(config_.handshake_timeout);  // the client may not read its last replies
    }
    return;
  }
  if (!owner_->draining() || write_closed_ || !in_flight_.empty() || session_.has_partial_command() ||
      !written) {
    return;
  }
  write_closed_ = true;
  handshake_timer_.Stop();
  loop::ShutdownWrites(stream_.get());
}

}  // namespace walnutspur::nbd

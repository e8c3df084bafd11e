#include "nbd/target_connection.h"

#include <event2/buffer.h>

#include <algorithm>
#include <utility>

#include "integrity/slice.h"

namespace walnutspur::nbd {
namespace {

// Maximum number of concurrent attempts on one connection; further attempts open another connection.
constexpr std::size_t kMaxAttempts = 16;

// An idle connection is closed after this fraction of the target's idle timeout, so that the initiator
// closes it before the target does.
constexpr double kIdleTimeoutFraction = 0.8;

// Minimum size of a slice that is shared with the stream, in bytes; smaller slices are cheaper to copy.
constexpr std::size_t kMinSharedBytes = 2048;

// Appends a slice; a large slice is appended by reference, without a copy of its bytes.
void AppendSlice(evbuffer* output, const integrity::Slice& slice) {
  if (slice.bytes.size() < kMinSharedBytes) {
    evbuffer_add(output, slice.bytes.data(), slice.bytes.size());
    return;
  }
  using Owner = std::shared_ptr<const void>;
  auto owner = std::make_unique<Owner>(slice.owner);
  const auto release = [](const void*, std::size_t, void* arg) {
    const std::unique_ptr<Owner> released(static_cast<Owner*>(arg));
  };
  if (evbuffer_add_reference(output, slice.bytes.data(), slice.bytes.size(), release, owner.get()) == 0) {
    static_cast<void>(owner.release());  // now owned by the buffer
  }
}

}  // namespace

TargetConnection::TargetConnection(std::uint64_t number, TargetExport target_export, const Config& config,
                                   TargetConnectionOwner* owner)
    : number_(number),
      export_(std::move(target_export)),
      config_(config),
      owner_(owner),
      session_(export_.remote) {}

bool TargetConnection::Open(event_base* base) {
  stream_ = loop::MakeClientStream(base);
  if (!stream_) {
    return false;
  }
  connect_timer_ = loop::MakeTimer(base, [this] { owner_->OnEnd(*this); });
  idle_timer_ = loop::MakeTimer(base, [this] { owner_->OnEnd(*this); });
  loop::SetCallbacks(stream_.get(), this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  return true;
}

// The connect timeout is shorter than the drain grace period, so that an attempt that waits for the
// connection cannot reach a target whose grace period has expired.
bool TargetConnection::Connect(const sockaddr_in& address) {
  connect_timer_.Start(config_.connect_timeout);
  return loop::Connect(stream_.get(), address);
}

Request TargetConnection::MakeRequest(const Request& command, std::uint64_t cookie) const {
  Request request;  // without the data, which Send appends without a copy
  request.flags = command.flags;
  request.type = command.type;
  request.offset = command.offset;
  request.length = command.length;
  request.cookie = cookie;
  // Unless the target offers kCanMultiConn, a flush covers only the writes on the same connection, and a
  // write and the flush after it may use different connections. In this case FUA makes each write durable by
  // itself, if the target supports FUA.
  if (request.type == kWrite && (session_.flags() & (kSendFua | kCanMultiConn)) == kSendFua) {
    request.flags |= kFua;
  }
  return request;
}

void TargetConnection::Send(const loop::AttemptKey& key, std::uint64_t cookie,
                            const std::shared_ptr<const CommandPayload>& command) {
  in_flight_[cookie] = key;
  std::string header;
  session_.Send(MakeRequest(command->request, cookie), &header);
  evbuffer* output = bufferevent_get_output(stream_.get());
  const std::size_t before = evbuffer_get_length(output);
  evbuffer_add(output, header.data(), header.size());
  AppendSlice(output, {command, command->request.data});
  for (const integrity::Slice& slice : command->tail) {
    AppendSlice(output, slice);
  }
  const std::uint64_t begin = bytes_queued_;
  bytes_queued_ += evbuffer_get_length(output) - before;
  unwritten_.push_back({cookie, begin, bytes_queued_});
}

bool TargetConnection::Abandon(const loop::AttemptKey& key, std::uint64_t cookie) {
  std::erase(waiting_, key);
  in_flight_.erase(cookie);
  if (cookie == 0) {
    return true;
  }
  retired_ = true;
  if (IsWritten(cookie)) {
    return true;
  }
  const auto command = FindUnwritten(cookie);
  if (command->begin < bytes_written()) {
    return false;
  }
  RemoveCommand(command);
  return true;
}

void TargetConnection::RemoveCommand(UnwrittenCommands::const_iterator command) {
  const std::uint64_t size = command->end - command->begin;
  loop::RemoveOutput(stream_.get(), command->begin - bytes_written(), size);
  bytes_queued_ -= size;
  const auto next = unwritten_.erase(command);
  std::for_each(next, unwritten_.end(), [size](UnwrittenCommand& later) {
    later.begin -= size;
    later.end -= size;
  });
}

TargetConnection::UnwrittenCommands::const_iterator TargetConnection::FindUnwritten(
    std::uint64_t cookie) const {
  return std::find_if(unwritten_.begin(), unwritten_.end(),
                      [cookie](const UnwrittenCommand& command) { return command.cookie == cookie; });
}

void TargetConnection::StartIdleTimer() {
  if (load() > 0) {
    return;
  }
  if (retired_) {
    idle_timer_.Start(0);
  } else if (session_.ready()) {
    idle_timer_.Start(static_cast<Time>(kIdleTimeoutFraction * static_cast<double>(config_.idle_timeout)));
  }
}

bool TargetConnection::AcceptsAttempts() const { return !retired_ && load() < kMaxAttempts; }

bool TargetConnection::IsWritten(std::uint64_t cookie) const {
  if (cookie == 0) {
    return false;
  }
  const auto at = FindUnwritten(cookie);
  return at == unwritten_.end() || at->end <= bytes_written();
}

bool TargetConnection::HasUnwrittenAttempts() const {
  return !waiting_.empty() || std::any_of(in_flight_.begin(), in_flight_.end(),
                                          [&](const auto& sent) { return !IsWritten(sent.first); });
}

void TargetConnection::OnReadable() {
  const bool was_ready = session_.ready();
  std::string out;
  std::vector<Reply> replies;
  session_.Feed(loop::TakeInput(stream_.get()), &out, &replies);
  WriteHandshake(out);
  for (Reply& reply : replies) {
    OnReply(std::move(reply));
  }
  if (session_.ended() || session_.has_unsolicited_bytes()) {
    owner_->OnEnd(*this);
    return;
  }
  if (!was_ready && session_.ready()) {
    connect_timer_.Stop();
    SendWaiting();
  }
  StartIdleTimer();
}

void TargetConnection::WriteHandshake(const std::string& bytes) {
  if (!bytes.empty()) {
    bytes_queued_ += bytes.size();
    loop::Write(stream_.get(), bytes);
  }
}

void TargetConnection::OnReply(Reply reply) {
  std::erase_if(unwritten_, [&](const UnwrittenCommand& command) { return command.cookie == reply.cookie; });
  const auto at = in_flight_.find(reply.cookie);
  if (at == in_flight_.end()) {
    return;  // abandoned
  }
  const loop::AttemptKey key = at->second;
  in_flight_.erase(at);
  owner_->OnReply(key, std::move(reply));
}

void TargetConnection::SendWaiting() {
  for (const loop::AttemptKey& key : std::exchange(waiting_, {})) {
    owner_->OnReady(*this, key);
  }
}

void TargetConnection::OnEvent(loop::EventMask what) {
  if (what & BEV_EVENT_CONNECTED) {
    loop::DisableNagle(bufferevent_getfd(stream_.get()));
  }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    owner_->OnEnd(*this);
  }
}

}  // namespace walnutspur::nbd

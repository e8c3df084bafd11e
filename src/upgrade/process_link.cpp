#include "upgrade/process_link.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace walnutspur::upgrade {
namespace {

// Time that a running process has to send its state, us. A process that hangs must not keep its successor
// from starting.
constexpr Time kStateTimeout = 500'000;

// Maximum size of a message. A complete endpoint list of some thousand targets fits.
constexpr std::size_t kMaxMessageBytes = 4 << 20;

constexpr int kBacklog = 4;

// The umask that gives only the owner access to the socket.
constexpr mode_t kOwnerOnlyUmask = 0177;

constexpr Time kMicrosPerMilli = 1'000;
constexpr std::size_t kReadBytes = 16 << 10;

// Returns the address of the path, or nullopt if the path is too long for one.
std::optional<sockaddr_un> AddressOf(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) {
    return std::nullopt;
  }
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

// Returns whether the process at the other end runs as the same user.
bool IsSameUser(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

// Returns a connected descriptor, or -1.
int Connect(const std::string& path) {
  const std::optional<sockaddr_un> address = AddressOf(path);
  if (!address) {
    return -1;
  }
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  if (connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0 && IsSameUser(fd)) {
    return fd;
  }
  close(fd);
  return -1;
}

// Waits for the first line until `ends_at` (us). Returns it without its LF, or an empty string. Bytes behind
// it stay in the socket's buffer.
std::string ReceiveLine(int fd, Time ends_at) {
  std::string line;
  std::array<char, kReadBytes> buffer{};
  while (line.size() < kMaxMessageBytes) {
    pollfd polled{fd, POLLIN, 0};
    const Time left = ends_at - core::Now();
    if (left <= 0 || poll(&polled, 1, static_cast<int>(left / kMicrosPerMilli) + 1) <= 0) {
      return {};
    }
    const ssize_t peeked = recv(fd, buffer.data(), buffer.size(), MSG_PEEK);
    if (peeked <= 0) {
      return {};
    }
    const std::string_view bytes(buffer.data(), static_cast<std::size_t>(peeked));
    const std::size_t end = bytes.find('\n');
    const std::size_t taken = end == std::string_view::npos ? bytes.size() : end + 1;
    line.append(bytes.substr(0, taken));
    if (recv(fd, buffer.data(), taken, 0) != static_cast<ssize_t>(taken)) {
      return {};
    }
    if (end != std::string_view::npos) {
      line.pop_back();
      return line;
    }
  }
  return {};
}

}  // namespace

struct ProcessLink::Peer {
  void OnReadable() { owner->OnReadable(*this); }
  void OnEvent(loop::EventMask events) const {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      owner->Remove(number);
    }
  }

  ProcessLink* owner = nullptr;
  std::uint64_t number = 0;
  bool is_successor = false;
  std::string input;  // of the incomplete message
  loop::StreamPtr stream;
};

std::string SocketPath(const std::string& folder, const std::string& host, int port) {
  return folder + "/walnutspur-" + host + "-" + std::to_string(port) + ".sock";
}

ProcessLink::ProcessLink(event_base* base, std::string path, Callbacks callbacks)
    : base_(base), path_(std::move(path)), callbacks_(std::move(callbacks)) {}

// The path is left to the next process, if one has taken it over.
ProcessLink::~ProcessLink() {
  if (owns_path_ && peers_.empty()) {
    unlink(path_.c_str());
  }
}

std::optional<ProcessState> ProcessLink::Join() {
  const int fd = Connect(path_);
  if (fd < 0) {
    return std::nullopt;
  }
  const std::string request = FormatMessage(JoinRequest{});
  if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size())) {
    close(fd);
    return std::nullopt;
  }
  const auto message = ParseMessage(ReceiveLine(fd, core::Now() + kStateTimeout));
  AddPeer(fd, false);
  const auto* state = message ? std::get_if<ProcessState>(&*message) : nullptr;
  return state != nullptr ? std::optional(*state) : std::nullopt;
}

// Binds another name and renames it, so that the path always leads to a process that listens.
void ProcessLink::Listen() {
  const std::string temporary = path_ + "." + std::to_string(getpid());
  const std::optional<sockaddr_un> address = AddressOf(temporary);
  if (!address) {
    throw LinkError("path " + temporary + " is too long for a socket");
  }
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    throw LinkError(std::string("cannot create a socket: ") + std::strerror(errno));
  }
  unlink(temporary.c_str());
  const mode_t previous_mask = umask(kOwnerOnlyUmask);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0;
  umask(previous_mask);
  if (!bound) {
    const std::string reason = std::strerror(errno);
    close(fd);
    throw LinkError("cannot bind " + temporary + ": " + reason);
  }
  loop::ListenerCallbacks callbacks;
  callbacks.on_accept = [this](evutil_socket_t accepted) { OnAccept(accepted); };
  try {
    listener_ = std::make_unique<loop::Listener>(base_, fd, temporary, kBacklog, std::move(callbacks));
  } catch (const loop::ListenError& error) {
    close(fd);
    throw LinkError(error.what());
  }
  if (std::rename(temporary.c_str(), path_.c_str()) != 0) {
    const std::string reason = std::strerror(errno);
    unlink(temporary.c_str());
    throw LinkError("cannot rename " + temporary + " to " + path_ + ": " + reason);
  }
  owns_path_ = true;
}

void ProcessLink::OnAccept(evutil_socket_t fd) {
  if (!IsSameUser(fd)) {
    close(fd);
    return;
  }
  AddPeer(fd, true);
}

void ProcessLink::AddPeer(evutil_socket_t fd, bool is_successor) {
  const std::uint64_t number = next_peer_++;
  loop::StreamPtr stream = loop::AdoptSocket(base_, fd);
  if (!stream) {
    return;
  }
  std::unique_ptr<Peer>& peer = peers_[number];
  peer = std::make_unique<Peer>();
  peer->owner = this;
  peer->number = number;
  peer->is_successor = is_successor;
  peer->stream = std::move(stream);
  loop::SetCallbacks(peer->stream.get(), peer.get());
  bufferevent_enable(peer->stream.get(), EV_READ | EV_WRITE);
  callbacks_.on_change();
}

void ProcessLink::OnReadable(Peer& peer) {
  const std::uint64_t number = peer.number;
  peer.input += loop::TakeInput(peer.stream.get());
  std::vector<HandoverMessage> messages;
  for (std::size_t end = peer.input.find('\n'); end != std::string::npos; end = peer.input.find('\n')) {
    const std::string_view received = peer.input;
    if (const auto message = ParseMessage(received.substr(0, end))) {
      messages.push_back(*message);
    }
    peer.input.erase(0, end + 1);
  }
  if (peer.input.size() > kMaxMessageBytes) {
    Remove(number);
    return;
  }
  for (const HandoverMessage& message : messages) {
    OnMessage(number, message);
  }
}

void ProcessLink::OnMessage(std::uint64_t number, const HandoverMessage& message) {
  const auto peer = peers_.find(number);
  if (peer == peers_.end()) {
    return;
  }
  if (std::holds_alternative<JoinRequest>(message)) {
    loop::Write(peer->second->stream.get(), FormatMessage(callbacks_.state()));
    return;
  }
  callbacks_.on_message(message, peer->second->is_successor);
}

void ProcessLink::Remove(std::uint64_t number) {
  peers_.erase(number);
  callbacks_.on_change();
}

std::size_t ProcessLink::successors() const {
  const auto is_successor = [](const auto& entry) { return entry.second->is_successor; };
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), is_successor));
}

void ProcessLink::Send(const HandoverMessage& message) {
  const std::string line = FormatMessage(message);
  for (const auto& [number, peer] : peers_) {
    loop::Write(peer->stream.get(), line);
  }
}

}  // namespace walnutspur::upgrade

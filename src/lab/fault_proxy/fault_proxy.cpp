#include "lab/fault_proxy/fault_proxy.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "core/scheduler_thread.h"
#include "lab/fakes/loopback.h"

namespace walnutspur::lab {
namespace {

constexpr std::size_t kMaxHistory = 20'000;  // maximum datagrams that may be replayed
constexpr Time kPollInterval = 20'000;       // us; maximum time between checks of stop_
constexpr std::size_t kReadBuffer = 2048;    // bytes

struct BoundSocket {
  int fd = -1;
  int port = 0;
};

BoundSocket BindAnyPort() {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw FaultProxyError("fault proxy: cannot bind a UDP socket at 127.0.0.1");
  }
  return {fd, ntohs(address.sin_port)};
}

}  // namespace

// The name of the random stream must not change: with another name each seed would give another run.
FaultProxy::FaultProxy(int members, std::uint64_t seed) : random_(seed, "carrier") {
  std::vector<int> reserved;  // kept open until all are bound, so that no two members get the same port
  for (int i = 0; i < members; ++i) {
    const BoundSocket proxy = BindAnyPort();
    const BoundSocket member = BindAnyPort();
    reserved.push_back(member.fd);
    links_.push_back({proxy.fd, proxy.port, member.port});
  }
  for (const int fd : reserved) {
    close(fd);
  }
  thread_ = std::thread([this] { Run(); });
}

FaultProxy::~FaultProxy() {
  stop_ = true;
  thread_.join();
  for (const Link& link : links_) {
    close(link.fd);
  }
}

std::string FaultProxy::address(int member) const {
  return "127.0.0.1:" + std::to_string(links_[static_cast<std::size_t>(member)].proxy_port);
}

void FaultProxy::SetPartition(std::function<bool(int, int)> passes) {
  const std::lock_guard lock(mutex_);
  passes_ = std::move(passes);
}

void FaultProxy::SetFaults(const DatagramFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void FaultProxy::InjectFaults(int sender, int receiver, std::string bytes) {
  const std::lock_guard lock(mutex_);
  if (passes_ && !passes_(sender, receiver)) {
    return;
  }
  if (random_.Chance(faults_.loss)) {
    return;
  }
  history_.push_back({0, 0, receiver, bytes});
  if (history_.size() > kMaxHistory) {
    history_.erase(history_.begin(), history_.begin() + kMaxHistory / 2);
  }
  if (random_.Chance(faults_.corruption) && !bytes.empty()) {
    bytes[random_.Below(bytes.size())] ^= static_cast<char>(1u << random_.Below(8));
  }
  if (random_.Chance(faults_.duplication)) {
    Schedule(receiver, bytes);
  }
  Schedule(receiver, std::move(bytes));
  if (random_.Chance(faults_.replay)) {
    const Datagram& replayed = history_[random_.Below(history_.size())];
    Schedule(replayed.receiver, replayed.bytes);
  }
}

void FaultProxy::Schedule(int receiver, std::string bytes) {
  const Time delay = static_cast<Time>(
      random_.Between(static_cast<double>(faults_.min_delay), static_cast<double>(faults_.max_delay)));
  scheduled_.push({core::Now() + delay, next_order_++, receiver, std::move(bytes)});
}

void FaultProxy::Run() {
  std::vector<pollfd> polls;
  for (const Link& link : links_) {
    polls.push_back({link.fd, POLLIN, 0});
  }
  while (!stop_) {
    const Time wait = ForwardDue();
    poll(polls.data(), polls.size(), static_cast<int>((wait + 999) / 1000));
    for (std::size_t i = 0; i < links_.size(); ++i) {
      if (polls[i].revents & POLLIN) {
        Receive(i);
      }
    }
  }
}

Time FaultProxy::ForwardDue() {
  const std::lock_guard lock(mutex_);
  while (!scheduled_.empty() && scheduled_.top().due <= core::Now()) {
    const Datagram datagram = scheduled_.top();
    scheduled_.pop();
    const Link& link = links_[static_cast<std::size_t>(datagram.receiver)];
    const sockaddr_in address = LoopbackAddress(link.member_port);
    sendto(link.fd, datagram.bytes.data(), datagram.bytes.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
    forwarded_bytes_ += datagram.bytes.size();
  }
  if (scheduled_.empty()) {
    return kPollInterval;
  }
  return std::clamp<Time>(scheduled_.top().due - core::Now(), 0, kPollInterval);
}

void FaultProxy::Receive(std::size_t link) {
  std::array<char, kReadBuffer> buffer;
  while (true) {
    sockaddr_in source{};
    socklen_t source_size = sizeof source;
    const ssize_t size = recvfrom(links_[link].fd, buffer.data(), buffer.size(), 0,
                                  reinterpret_cast<sockaddr*>(&source), &source_size);
    if (size < 0) {
      return;
    }
    const int port = ntohs(source.sin_port);
    const auto sender = std::find_if(links_.begin(), links_.end(),
                                     [port](const Link& other) { return other.member_port == port; });
    if (sender == links_.end()) {
      continue;  // the sender is not a member
    }
    InjectFaults(static_cast<int>(sender - links_.begin()), static_cast<int>(link),
                 {buffer.data(), static_cast<std::size_t>(size)});
  }
}

}  // namespace walnutspur::lab

#include "lab/carrier/carrier.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "core/scheduler_thread.h"

namespace walnutspur::lab {
namespace {

constexpr std::size_t kPast = 20'000;  // datagrams that may be played again
constexpr int kLook = 20;              // ms between looks at whether to stop

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// A bound datagram socket and its port.
std::pair<int, int> Bound() {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("the carrier cannot bind a socket");
  return {fd, ntohs(address.sin_port)};
}

}  // namespace

Carrier::Carrier(int members, std::uint64_t seed) : random_(seed, "carrier") {
  std::vector<int> held;  // so that no two members are given the same port
  for (int i = 0; i < members; ++i) {
    const auto [fd, shown] = Bound();
    const auto [other, own] = Bound();
    held.push_back(other);
    links_.push_back({fd, shown, own});
  }
  for (const int fd : held) close(fd);
  thread_ = std::thread([this] { Run(); });
}

Carrier::~Carrier() {
  stop_ = true;
  thread_.join();
  for (const Link& link : links_) close(link.fd);
}

std::string Carrier::address(int member) const {
  return "127.0.0.1:" + std::to_string(links_[static_cast<std::size_t>(member)].shown);
}

void Carrier::Cut(std::function<bool(int, int)> passes) {
  const std::lock_guard lock(mutex_);
  passes_ = std::move(passes);
}

void Carrier::Set(const Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void Carrier::Take(int to, std::string bytes, int from) {
  const std::lock_guard lock(mutex_);
  if (passes_ && !passes_(from, to)) return;
  if (random_.Chance(faults_.lost)) return;
  past_.push_back({0, 0, to, bytes});
  if (past_.size() > kPast) past_.erase(past_.begin(), past_.begin() + kPast / 2);
  if (random_.Chance(faults_.damaged) && !bytes.empty())
    bytes[random_.Below(bytes.size())] ^= static_cast<char>(1u << random_.Below(8));
  const auto put = [this](int whom, std::string what) {
    const Time delay = static_cast<Time>(
        random_.Between(static_cast<double>(faults_.delay_least), static_cast<double>(faults_.delay_most)));
    later_.push({core::Now() + delay, next_++, whom, std::move(what)});
  };
  if (random_.Chance(faults_.doubled)) put(to, bytes);
  put(to, std::move(bytes));
  if (random_.Chance(faults_.replayed)) {
    const Later& old = past_[random_.Below(past_.size())];
    put(old.to, old.bytes);
  }
}

void Carrier::Run() {
  std::vector<pollfd> polls;
  for (const Link& link : links_) polls.push_back({link.fd, POLLIN, 0});
  while (!stop_) {
    Time wait = kLook * 1000;
    {
      const std::lock_guard lock(mutex_);
      while (!later_.empty() && later_.top().at <= core::Now()) {
        const Later one = later_.top();
        later_.pop();
        const Link& link = links_[static_cast<std::size_t>(one.to)];
        const sockaddr_in to = Loopback(link.own);
        sendto(link.fd, one.bytes.data(), one.bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&to), sizeof to);
        ++passed_;
        bytes_ += one.bytes.size();
      }
      if (!later_.empty()) wait = std::clamp<Time>(later_.top().at - core::Now(), 0, wait);
    }
    poll(polls.data(), polls.size(), static_cast<int>((wait + 999) / 1000));
    for (std::size_t i = 0; i < links_.size(); ++i) {
      if (!(polls[i].revents & POLLIN)) continue;
      char bytes[2048];
      sockaddr_in from{};
      socklen_t size = sizeof from;
      for (ssize_t got; (got = recvfrom(links_[i].fd, bytes, sizeof bytes, 0,
                                        reinterpret_cast<sockaddr*>(&from), &size)) >= 0;) {
        const auto sender = std::find_if(links_.begin(), links_.end(),
                                         [&](const Link& l) { return l.own == ntohs(from.sin_port); });
        if (sender == links_.end()) continue;  // nobody of ours
        Take(static_cast<int>(i), {bytes, static_cast<std::size_t>(got)},
             static_cast<int>(sender - links_.begin()));
      }
    }
  }
}

}  // namespace walnutspur::lab

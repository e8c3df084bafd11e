#include "fleet/transport/gossip_transport.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "core/clock.h"
#include "fleet/error.h"
#include "log/event_kinds.h"
#include "loop/address.h"

namespace walnutspur::fleet {
namespace {

// Maximum datagrams that are read before other events are processed.
constexpr int kReadBatch = 64;
// Bytes of the read buffer; longer datagrams are truncated and dropped.
constexpr std::size_t kReadBuffer = 2048;
// Limits of the size of a key, bytes.
constexpr std::size_t kMinKeySize = 16;
constexpr std::size_t kMaxKeySize = 4096;
// Relative change of the load share above which it is reported.
constexpr double kReportedChange = 0.1;

using core::Now;  // source of the initial incarnation

std::string ReadKey(const std::string& path) {
  if (path.empty()) {
    return "";
  }
  const std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  std::string key = text.str();
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  if (!file || key.size() < kMinKeySize || key.size() > kMaxKeySize) {
    throw FleetError("fleet.key_file: cannot read a key from " + path + ": got " +
                     std::to_string(key.size()) + " bytes; allowed: 16 to 4096");
  }
  return key;
}

MembershipOptions ToMembershipOptions(const FleetOptions& options) {
  MembershipOptions membership;
  membership.name = options.name;
  membership.address = options.advertise.empty() ? options.listen : options.advertise;
  membership.building = options.building;
  membership.peers = options.peers;
  membership.period = options.period;
  return membership;
}

nlohmann::json MemberStatus(const MemberEntry& entry) {
  const Record& record = entry.record;
  return {{"name", record.name},
          {"address", record.address},
          {"state", StateName(record)},
          {"incarnation", record.incarnation},
          {"since_us", entry.since},
          {"reported_by", record.reported_by},
          {"building", record.facts.building},
          {"started_at_us", record.facts.started_at},
          {"load", record.facts.load},
          {"connections", record.facts.connections}};
}

}  // namespace

GossipTransport::GossipTransport(event_base* base, FleetOptions options, FleetHooks hooks)
    : base_(base),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      codec_(options_.fleet, ReadKey(options_.key_file)),
      random_(std::random_device()()),
      membership_(ToMembershipOptions(options_),
                  [this] { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }) {
  Bind();
  readable_ = loop::EventHandle(base_, fd_, EV_READ | EV_PERSIST, [this] { OnReadable(); });
  readable_.Start();
  RunActions(membership_.Start(Now()));
}

GossipTransport::~GossipTransport() {
  readable_.Stop();
  close(fd_);
}

void GossipTransport::Bind() {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loop::ToSocket(loop::ParseAddress(options_.listen));
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd_ >= 0) {
      close(fd_);
    }
    throw FleetError("fleet.listen: cannot listen at " + options_.listen + ": " + reason);
  }
}

void GossipTransport::OnReadable() {
  std::array<char, kReadBuffer> buffer;
  for (int i = 0; i < kReadBatch; ++i) {
    const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
    if (size < 0) {
      return;
    }
    ++received_;
    if (const auto message = codec_.Decode({buffer.data(), static_cast<std::size_t>(size)})) {
      RunActions(membership_.HandleMessage(*message, Now()));
    }
  }
}

void GossipTransport::RunActions(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* datagram = std::get_if<SendDatagram>(&action)) {
      Send(*datagram);
    } else if (const auto* timer = std::get_if<StartTimer>(&action)) {
      Start(*timer);
    } else if (const auto* change = std::get_if<MemberChanged>(&action)) {
      Log(*change);
    } else if (const auto* convergence = std::get_if<ConvergenceChanged>(&action)) {
      hooks_.log(false, log::kFleetConvergenceChanged,
                 {{"converged", convergence->converged ? "yes" : "no"}});
    } else if (const auto* conflict = std::get_if<NameConflict>(&action)) {
      hooks_.log(true, log::kFleetNameRejected, {{"reason", conflict->error}});
      hooks_.on_terminate(conflict->error);
      return;
    }
  }
  ReportSize();
}

void GossipTransport::Send(const SendDatagram& datagram) {
  sockaddr_in address{};
  try {
    address = loop::ToSocket(loop::ParseAddress(datagram.address));
  } catch (const std::exception&) {
    ++unsent_;  // an invalid address in an update of another member
    return;
  }
  const std::string bytes = codec_.Encode(datagram.message);
  const ssize_t size = sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                              reinterpret_cast<const sockaddr*>(&address), sizeof address);
  ++(size < 0 ? unsent_ : sent_);
}

void GossipTransport::Start(const StartTimer& timer) {
  loop::EventHandle& handle = timers_[timer.id];
  handle = loop::MakeTimer(base_, [this, id = timer.id] {
    timers_.erase(id);
    RunActions(membership_.HandleTimer(id, Now()));
  });
  handle.Start(timer.delay);
}

void GossipTransport::Log(const MemberChanged& change) const {
  const Record& record = change.record;
  hooks_.log(record.state == MemberState::kFailed && record.name != options_.name, log::kFleetMemberChanged,
             {{"member", record.name},
              {"state", StateName(record)},
              {"incarnation", std::to_string(record.incarnation)},
              {"reported_by", record.reported_by}});
}

void GossipTransport::ReportSize() {
  const int live = membership_.live_count();
  const double share = membership_.LoadShare();
  const bool share_changed = std::abs(share - reported_share_) > kReportedChange * reported_share_;
  if (live == reported_live_ && !share_changed) {
    return;
  }
  reported_live_ = live;
  reported_share_ = share;
  hooks_.on_size_changed(live, share);
}

void GossipTransport::Publish(const Facts& facts) { RunActions(membership_.Publish(facts, Now())); }

void GossipTransport::Leave() { RunActions(membership_.Leave(Now())); }

std::string GossipTransport::Execute(const std::vector<std::string>& words) {
  if (words.size() != 1 || words[0] != "view") {
    return "error: unknown fleet command; allowed: fleet view\n";
  }
  return StatusText();
}

std::string GossipTransport::StatusText() const {
  const Codec::Dropped& dropped = codec_.dropped();
  const MembershipCounters& counters = membership_.counters();
  nlohmann::json status = {{"fleet", options_.fleet},
                           {"name", options_.name},
                           {"settled", membership_.converged()},
                           {"live", membership_.live_count()},
                           {"part", membership_.LoadShare()},
                           {"slowness", membership_.health_score()},
                           {"members", nlohmann::json::array()},
                           {"datagrams", {{"received", received_}, {"sent", sent_}, {"unsent", unsent_}}},
                           {"dropped",
                            {{"damaged", dropped.corrupt},
                             {"untagged", dropped.untagged},
                             {"other_fleet", dropped.other_fleet},
                             {"other_major", dropped.other_major},
                             {"left_out", dropped.oversized},
                             {"old_life", counters.earlier_process},
                             {"replayed", counters.replayed},
                             {"forged", counters.forged},
                             {"no_room", counters.table_full}}},
                           {"refuted", counters.refuted},
                           {"stalls", counters.stalls}};
  for (const auto& [name, entry] : membership_.members()) {
    status["members"].push_back(MemberStatus(entry));
  }
  return status.dump(2) + "\n";
}

}  // namespace walnutspur::fleet

extern "C" walnutspur::fleet::Fleet* walnutspur_fleet_open(event_base* base,
                                                           const walnutspur::fleet::FleetOptions& options,
                                                           walnutspur::fleet::FleetHooks hooks) {
  return new walnutspur::fleet::GossipTransport(base, options, std::move(hooks));
}

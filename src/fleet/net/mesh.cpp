#include "fleet/net/mesh.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "loop/address.h"

namespace walnutspur::fleet {
namespace {

constexpr int kAtOnce = 64;             // datagrams read before the loop turns to something else
constexpr std::size_t kMostKey = 4096;  // bytes
constexpr std::size_t kLeastKey = 16;

// Microseconds of Unix time that never run backwards, like core::Now; incarnations begin as it.
Time Now() {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  const auto steady = [] {
    return duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
  };
  static const Time offset =
      duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count() - steady();
  return offset + steady();
}

std::string ReadKey(const std::string& path) {
  if (path.empty()) return "";
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  std::string key = text.str();
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) key.pop_back();
  if (!file || key.size() < kLeastKey || key.size() > kMostKey)
    throw std::runtime_error("fleet.key_file: " + path +
                             " does not hold a key; allowed are 16 to 4096 bytes");
  return key;
}

ViewOptions ForView(const FleetOptions& o) {
  ViewOptions v;
  v.name = o.name;
  v.address = o.advertise.empty() ? o.listen : o.advertise;
  v.building = o.building;
  v.peers = o.peers;
  v.period = o.period;
  return v;
}

}  // namespace

Mesh::Mesh(event_base* base, FleetOptions options, FleetHooks hooks)
    : base_(base),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      codec_(options_.fleet, ReadKey(options_.key_file)),
      random_(std::random_device()()),
      view_(ForView(options_), [this] { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loop::ToSocket(loop::ParseAddress(options_.listen));
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const std::string why = std::strerror(errno);
    if (fd_ >= 0) close(fd_);
    throw std::runtime_error("fleet.listen: cannot listen at " + options_.listen + ": " + why);
  }
  readable_ = loop::EventHandle(base_, fd_, EV_READ | EV_PERSIST, [this] { OnReadable(); });
  readable_.Start();
  Do(view_.Start(Now()));
}

Mesh::~Mesh() {
  readable_.Stop();
  close(fd_);
}

void Mesh::OnReadable() {
  char bytes[2048];
  for (int i = 0; i < kAtOnce; ++i) {
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size < 0) return;
    ++received_;
    if (const auto message = codec_.Decode({bytes, static_cast<std::size_t>(size)}))
      Do(view_.Handle(*message, Now()));
  }
}

void Mesh::Send(const Datagram& datagram) {
  sockaddr_in to{};
  try {
    to = loop::ToSocket(loop::ParseAddress(datagram.to));
  } catch (const std::exception&) {
    ++unsent_;  // another member's word for an address
    return;
  }
  const std::string bytes = codec_.Encode(datagram.message);
  const ssize_t size = sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                              reinterpret_cast<const sockaddr*>(&to), sizeof to);
  ++(size < 0 ? unsent_ : sent_);
}

void Mesh::Do(std::vector<Said> said) {
  for (Said& one : said) {
    if (const auto* datagram = std::get_if<Datagram>(&one)) {
      Send(*datagram);
    } else if (const auto* wait = std::get_if<Wait>(&one)) {
      const std::uint64_t number = wait->number;
      loop::EventHandle& timer = waits_[number];
      timer = loop::MakeTimer(base_, [this, number] {
        waits_.erase(number);
        Do(view_.Rang(number, Now()));
      });
      timer.Start(wait->after);
    } else if (const auto* change = std::get_if<Change>(&one)) {
      const Record& r = change->record;
      hooks_.log(r.state == State::kGone && r.name != options_.name, "fleet_member",
                 {{"name", r.name},
                  {"is", NameOf(r)},
                  {"incarnation", std::to_string(r.incarnation)},
                  {"by", r.by}});
    } else if (const auto* settled = std::get_if<Settled>(&one)) {
      hooks_.log(false, "fleet_settled", {{"settled", settled->settled ? "yes" : "no"}});
    } else if (const auto* end = std::get_if<End>(&one)) {
      hooks_.log(true, "fleet_name_in_use", {{"why", end->why}});
      return hooks_.on_end(end->why);
    }
  }
  Size();
}

void Mesh::Size() {
  const double part = view_.part();
  const bool moved = std::abs(part - part_) > 0.1 * part_;
  if (view_.live() == live_ && !moved) return;
  live_ = view_.live();
  part_ = part;
  hooks_.on_size(live_, part_);
}

void Mesh::Publish(const Facts& facts) { Do(view_.Tell(facts, Now())); }

void Mesh::Leave() { Do(view_.Leave(Now())); }

std::string Mesh::Execute(const std::vector<std::string>& words) {
  if (words.size() != 1 || words[0] != "view") return "error: unknown command; allowed is fleet view\n";
  using nlohmann::json;
  const Codec::Dropped& d = codec_.dropped();
  const Counters& c = view_.counters();
  json all = {{"fleet", options_.fleet},
              {"name", options_.name},
              {"settled", view_.settled()},
              {"live", view_.live()},
              {"part", view_.part()},
              {"slowness", view_.slowness()},
              {"members", json::array()},
              {"datagrams", {{"received", received_}, {"sent", sent_}, {"unsent", unsent_}}},
              {"dropped",
               {{"damaged", d.damaged},
                {"untagged", d.untagged},
                {"other_fleet", d.other_fleet},
                {"other_major", d.other_major},
                {"left_out", d.oversized},
                {"old_life", c.old_life},
                {"replayed", c.replayed},
                {"forged", c.forged},
                {"no_room", c.no_room}}},
              {"refuted", c.refuted},
              {"stalls", c.stalls}};
  for (const auto& [name, entry] : view_.members()) {
    const Record& r = entry.record;
    all["members"].push_back({{"name", name},
                              {"address", r.address},
                              {"state", NameOf(r)},
                              {"incarnation", r.incarnation},
                              {"since_us", entry.since},
                              {"by", r.by},
                              {"building", r.facts.building},
                              {"started_at_us", r.facts.started_at},
                              {"load", r.facts.load},
                              {"connections", r.facts.connections}});
  }
  return all.dump(2) + "\n";
}

}  // namespace walnutspur::fleet

extern "C" walnutspur::fleet::Fleet* walnutspur_fleet_open(event_base* base,
                                                           const walnutspur::fleet::FleetOptions& options,
                                                           walnutspur::fleet::FleetHooks hooks) {
  return new walnutspur::fleet::Mesh(base, options, std::move(hooks));
}

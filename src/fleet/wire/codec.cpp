#include "fleet/wire/codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <cmath>
#include <cstring>

#include "fleet.pb.h"
#include "integrity/crc32c.h"

namespace walnutspur::fleet {
namespace {

constexpr std::size_t kSum = 4, kTag = 16;  // bytes

void Put(const Record& r, wire::Record* out) {
  out->set_name(r.name);
  out->set_address(r.address);
  out->set_incarnation(r.incarnation);
  out->set_born_us(static_cast<std::uint64_t>(r.born));
  out->set_state(static_cast<std::uint32_t>(r.state));
  out->set_by(r.by);
  wire::Facts* facts = out->mutable_facts();
  facts->set_version(r.facts.version);
  facts->set_phase(static_cast<std::uint32_t>(r.facts.phase));
  facts->set_started_at_us(r.facts.started_at);
  facts->set_load(r.facts.load);
  facts->set_building(r.facts.building);
  for (const auto& [box, count] : r.facts.connections) (*facts->mutable_connections())[box] = count;
}

std::optional<Record> Get(const wire::Record& in) {
  Record r;
  if (in.state() > static_cast<std::uint32_t>(State::kLeft)) return std::nullopt;
  if (in.facts().phase() > static_cast<std::uint32_t>(Phase::kDraining)) return std::nullopt;
  if (in.name().empty() || in.name().size() > kMostName || in.by().size() > kMostName ||
      in.address().size() > kMostName || in.facts().building().size() > kMostName ||
      in.facts().connections_size() > static_cast<int>(kMostBoxes) || !std::isfinite(in.facts().load()))
    return std::nullopt;
  r.name = in.name();
  r.address = in.address();
  r.incarnation = in.incarnation();
  r.born = static_cast<Time>(in.born_us());
  r.state = static_cast<State>(in.state());
  r.by = in.by();
  r.facts.version = in.facts().version();
  r.facts.phase = static_cast<Phase>(in.facts().phase());
  r.facts.started_at = in.facts().started_at_us();
  r.facts.load = in.facts().load();
  r.facts.building = in.facts().building();
  for (const auto& [box, count] : in.facts().connections()) {
    if (box.size() > kMostName) return std::nullopt;
    r.facts.connections[box] = count;
  }
  return r;
}

}  // namespace

std::string Codec::Tag(std::string_view bytes) const {
  unsigned char full[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), full, &size);
  return {reinterpret_cast<const char*>(full), kTag};
}

std::string Codec::Encode(const Message& m) {
  wire::Envelope e;
  e.set_major(kMajor);
  e.set_fleet(fleet_);
  e.set_kind(static_cast<std::uint32_t>(m.kind));
  e.set_from(m.from);
  e.set_from_address(m.from_address);
  e.set_incarnation(m.incarnation);
  e.set_born_us(static_cast<std::uint64_t>(m.born));
  e.set_number(m.number);
  e.set_probe(m.probe);
  e.set_target(m.target);
  e.set_target_address(m.target_address);
  e.set_hash(m.hash);
  for (const std::uint64_t bucket : m.buckets) e.add_buckets(bucket);
  for (const Record& r : m.rumours) Put(r, e.add_rumours());
  const std::size_t head = kSum + (key_.empty() ? 0 : kTag);
  while (head + e.ByteSizeLong() > kMostDatagram && e.rumours_size() > 0) {
    e.mutable_rumours()->RemoveLast();
    ++dropped_.oversized;
  }
  std::string body = e.SerializeAsString();
  if (!key_.empty()) body.insert(0, Tag(body));
  const std::uint32_t sum = integrity::Crc32c(body);
  std::string out(kSum, '\0');
  std::memcpy(out.data(), &sum, kSum);
  return out + body;
}

std::optional<Message> Codec::Decode(std::string_view datagram) {
  const std::size_t head = kSum + (key_.empty() ? 0 : kTag);
  std::uint32_t sum = 0;
  if (datagram.size() < head || datagram.size() > kMostDatagram) return ++dropped_.damaged, std::nullopt;
  std::memcpy(&sum, datagram.data(), kSum);
  if (sum != integrity::Crc32c(datagram.substr(kSum))) return ++dropped_.damaged, std::nullopt;
  const std::string_view body = datagram.substr(head);
  if (!key_.empty()) {
    const std::string tag = Tag(body);
    if (CRYPTO_memcmp(tag.data(), datagram.data() + kSum, kTag) != 0)
      return ++dropped_.untagged, std::nullopt;
  }
  wire::Envelope e;
  if (!e.ParseFromArray(body.data(), static_cast<int>(body.size()))) return ++dropped_.damaged, std::nullopt;
  if (e.major() != kMajor) return ++dropped_.other_major, std::nullopt;
  if (e.fleet() != fleet_) return ++dropped_.other_fleet, std::nullopt;
  Message m;
  if (e.kind() > static_cast<std::uint32_t>(Kind::kConflict) || e.from().empty() ||
      e.from().size() > kMostName || e.from_address().size() > kMostName || e.target().size() > kMostName ||
      e.target_address().size() > kMostName)
    return ++dropped_.damaged, std::nullopt;
  m.kind = static_cast<Kind>(e.kind());
  m.from = e.from();
  m.from_address = e.from_address();
  m.incarnation = e.incarnation();
  m.born = static_cast<Time>(e.born_us());
  m.number = e.number();
  m.probe = e.probe();
  m.target = e.target();
  m.target_address = e.target_address();
  m.hash = e.hash();
  m.buckets.assign(e.buckets().begin(), e.buckets().end());
  for (const wire::Record& r : e.rumours()) {
    auto record = Get(r);
    if (!record) return ++dropped_.damaged, std::nullopt;
    m.rumours.push_back(std::move(*record));
  }
  return m;
}

}  // namespace walnutspur::fleet

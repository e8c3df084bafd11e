#include "fleet/codec/codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>

#include "fleet.pb.h"
#include "integrity/crc32c.h"

namespace walnutspur::fleet {
namespace {

// Bytes of the CRC-32C.
constexpr std::size_t kChecksumSize = 4;
// Bytes to which the HMAC-SHA-256 is truncated.
constexpr std::size_t kTagSize = 16;

void EncodeRecord(const Record& record, wire::Record* out) {
  out->set_name(record.name);
  out->set_address(record.address);
  out->set_incarnation(record.incarnation);
  out->set_started_at_us(static_cast<std::uint64_t>(record.started_at));
  out->set_state(static_cast<std::uint32_t>(record.state));
  out->set_by(record.reported_by);
  wire::Facts* facts = out->mutable_facts();
  facts->set_version(record.facts.version);
  facts->set_phase(static_cast<std::uint32_t>(record.facts.phase));
  facts->set_started_at_us(record.facts.started_at);
  facts->set_load(record.facts.load);
  facts->set_building(record.facts.building);
  for (const auto& [target, count] : record.facts.connections) {
    (*facts->mutable_connections())[target] = count;
  }
}

// Returns whether all enum values are defined and all sizes are within bounds.
bool IsValid(const wire::Record& record) {
  const wire::Facts& facts = record.facts();
  if (record.state() > static_cast<std::uint32_t>(MemberState::kLeft) ||
      facts.phase() > static_cast<std::uint32_t>(Phase::kDraining)) {
    return false;
  }
  if (record.name().empty() || record.name().size() > kMaxNameLength || record.by().size() > kMaxNameLength ||
      record.address().size() > kMaxNameLength) {
    return false;
  }
  for (const auto& [target, count] : facts.connections()) {
    if (target.size() > kMaxNameLength) {
      return false;
    }
  }
  return facts.building().size() <= kMaxNameLength &&
         facts.connections_size() <= static_cast<int>(kMaxReportedConnections) && std::isfinite(facts.load());
}

// `in` must be valid.
Record DecodeRecord(const wire::Record& in) {
  Record record;
  record.name = in.name();
  record.address = in.address();
  record.incarnation = in.incarnation();
  record.started_at = static_cast<Time>(in.started_at_us());
  record.state = static_cast<MemberState>(in.state());
  record.reported_by = in.by();
  record.facts.version = in.facts().version();
  record.facts.phase = static_cast<Phase>(in.facts().phase());
  record.facts.started_at = in.facts().started_at_us();
  record.facts.load = in.facts().load();
  record.facts.building = in.facts().building();
  record.facts.connections.insert(in.facts().connections().begin(), in.facts().connections().end());
  return record;
}

bool IsValid(const wire::Envelope& envelope) {
  if (envelope.kind() > static_cast<std::uint32_t>(MessageKind::kConflict) || envelope.from().empty() ||
      envelope.from().size() > kMaxNameLength || envelope.from_address().size() > kMaxNameLength ||
      envelope.target().size() > kMaxNameLength || envelope.target_address().size() > kMaxNameLength) {
    return false;
  }
  return std::all_of(envelope.updates().begin(), envelope.updates().end(),
                     [](const wire::Record& record) { return IsValid(record); });
}

wire::Envelope EncodeEnvelope(const std::string& fleet, const Message& message) {
  wire::Envelope envelope;
  envelope.set_major(kMajorVersion);
  envelope.set_fleet(fleet);
  envelope.set_kind(static_cast<std::uint32_t>(message.kind));
  envelope.set_from(message.from);
  envelope.set_from_address(message.from_address);
  envelope.set_incarnation(message.incarnation);
  envelope.set_started_at_us(static_cast<std::uint64_t>(message.started_at));
  envelope.set_number(message.sequence_number);
  envelope.set_probe(message.probe);
  envelope.set_target(message.target);
  envelope.set_target_address(message.target_address);
  envelope.set_hash(message.hash);
  for (const std::uint64_t bucket : message.buckets) {
    envelope.add_buckets(bucket);
  }
  for (const Record& record : message.updates) {
    EncodeRecord(record, envelope.add_updates());
  }
  return envelope;
}

// `envelope` must be valid.
Message DecodeEnvelope(const wire::Envelope& envelope) {
  Message message;
  message.kind = static_cast<MessageKind>(envelope.kind());
  message.from = envelope.from();
  message.from_address = envelope.from_address();
  message.incarnation = envelope.incarnation();
  message.started_at = static_cast<Time>(envelope.started_at_us());
  message.sequence_number = envelope.number();
  message.probe = envelope.probe();
  message.target = envelope.target();
  message.target_address = envelope.target_address();
  message.hash = envelope.hash();
  message.buckets.assign(envelope.buckets().begin(), envelope.buckets().end());
  for (const wire::Record& record : envelope.updates()) {
    message.updates.push_back(DecodeRecord(record));
  }
  return message;
}

}  // namespace

std::size_t Codec::HeaderSize() const { return kChecksumSize + (key_.empty() ? 0 : kTagSize); }

std::string Codec::Tag(std::string_view bytes) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &size);
  return {reinterpret_cast<const char*>(digest.data()), kTagSize};
}

std::string Codec::Encode(const Message& message) {
  wire::Envelope envelope = EncodeEnvelope(fleet_, message);
  while (HeaderSize() + envelope.ByteSizeLong() > kMaxDatagramSize && envelope.updates_size() > 0) {
    envelope.mutable_updates()->RemoveLast();
    ++dropped_.oversized;
  }
  std::string body = envelope.SerializeAsString();
  if (!key_.empty()) {
    body.insert(0, Tag(body));
  }
  const std::uint32_t checksum = integrity::Crc32c(body);
  std::string datagram(kChecksumSize, '\0');
  std::memcpy(datagram.data(), &checksum, kChecksumSize);
  return datagram + body;
}

std::optional<Message> Codec::Decode(std::string_view datagram) {
  if (!VerifyHeader(datagram)) {
    return std::nullopt;
  }
  const std::string_view body = datagram.substr(HeaderSize());
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    ++dropped_.corrupt;
    return std::nullopt;
  }
  if (envelope.major() != kMajorVersion) {
    ++dropped_.other_major;
    return std::nullopt;
  }
  if (envelope.fleet() != fleet_) {
    ++dropped_.other_fleet;
    return std::nullopt;
  }
  if (!IsValid(envelope)) {
    ++dropped_.corrupt;
    return std::nullopt;
  }
  return DecodeEnvelope(envelope);
}

bool Codec::VerifyHeader(std::string_view datagram) {
  if (datagram.size() < HeaderSize() || datagram.size() > kMaxDatagramSize) {
    ++dropped_.corrupt;
    return false;
  }
  std::uint32_t checksum = 0;
  std::memcpy(&checksum, datagram.data(), kChecksumSize);
  if (checksum != integrity::Crc32c(datagram.substr(kChecksumSize))) {
    ++dropped_.corrupt;
    return false;
  }
  if (key_.empty()) {
    return true;
  }
  const std::string tag = Tag(datagram.substr(HeaderSize()));
  if (CRYPTO_memcmp(tag.data(), datagram.data() + kChecksumSize, kTagSize) != 0) {
    ++dropped_.untagged;
    return false;
  }
  return true;
}

}  // namespace walnutspur::fleet

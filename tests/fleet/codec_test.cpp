// Guards against accepting invalid datagrams: truncated ones, ones with inverted bits or the tag of another
// key, and ones of another fleet. Each must be dropped and counted by its cause; a valid datagram must decode
// to the encoded message.
#include "fleet/codec/codec.h"

#include <doctest/doctest.h>

namespace walnutspur {

namespace {

fleet::Record SuspectRecord() {
  fleet::Record record;
  // Explicit strings, because GCC 12 gives false maybe-uninitialized warnings if literals are assigned.
  record.name = std::string("m2");
  record.incarnation = 7;
  record.started_at = 5;
  record.state = fleet::MemberState::kSuspect;
  record.reported_by = std::string("m3");
  record.facts.connections = {{"box-1", 4}};
  return record;
}

void CheckDecodesTo(fleet::Codec& codec, const std::string& bytes, const fleet::Message& message) {
  const auto decoded = codec.Decode(bytes);
  REQUIRE(decoded);
  CHECK(decoded->buckets == message.buckets);
  CHECK(decoded->updates[0].facts == message.updates[0].facts);
  CHECK(decoded->updates[0].state == fleet::MemberState::kSuspect);
}

void CheckInvertedBitsAreDropped(fleet::Codec& codec, const std::string& bytes, std::size_t index) {
  for (int bit = 0; bit < 8; ++bit) {
    std::string inverted = bytes;
    inverted[index] = static_cast<char>(inverted[index] ^ (1 << bit));
    CHECK_FALSE(codec.Decode(inverted));
  }
}

void CheckCorruptIsDropped(fleet::Codec& codec, const std::string& bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    CHECK_FALSE(codec.Decode(bytes.substr(0, i)));
    CheckInvertedBitsAreDropped(codec, bytes, i);
  }
  CHECK(codec.dropped().corrupt == 9 * bytes.size());
}

}  // namespace

TEST_CASE("Codec: a datagram that is truncated, has an inverted bit or is of another fleet is dropped") {
  fleet::Codec sender("lab", "a key of sixteen bytes");
  fleet::Codec receiver("lab", "a key of sixteen bytes");
  fleet::Codec other_fleet("lab2", "a key of sixteen bytes");
  fleet::Codec other_key("lab", "another key of bytes");
  fleet::Message message;
  message.kind = fleet::MessageKind::kDigest;
  message.from = "m1";
  message.from_address = "127.0.0.1:7";
  message.sequence_number = 9;
  message.buckets = {1, 2, ~0ull};
  const fleet::Record record = SuspectRecord();
  message.updates = {record};
  const std::string bytes = sender.Encode(message);
  CheckDecodesTo(receiver, bytes, message);
  CheckCorruptIsDropped(receiver, bytes);
  CHECK_FALSE(other_key.Decode(bytes));
  CHECK(other_key.dropped().untagged == 1);
  CHECK_FALSE(other_fleet.Decode(bytes));
  CHECK(other_fleet.dropped().other_fleet == 1);
  message.updates.assign(100, record);
  CHECK(sender.Encode(message).size() <= fleet::kMaxDatagramSize);
  CHECK(sender.dropped().oversized > 0);
}

}  // namespace walnutspur

// Encodes messages as datagrams and decodes them.
//
// A datagram consists of a 4-byte CRC-32C of all bytes after it, an authentication tag (the first 16 bytes of
// an HMAC-SHA-256) if the fleet has a key, and the envelope (fleet.proto, protobuf lite). A Codec has one
// owner, is used on one thread and has no state besides the key and its counters.
#ifndef WALNUTSPUR_FLEET_CODEC_CODEC_H_
#define WALNUTSPUR_FLEET_CODEC_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "fleet/membership/message.h"

namespace walnutspur::fleet {

// Major version of the protocol; datagrams of another major version are dropped.
constexpr std::uint32_t kMajorVersion = 1;
// Maximum bytes of a datagram; updates that do not fit are omitted.
constexpr std::size_t kMaxDatagramSize = 1200;

class Codec {
 public:
  struct Dropped {
    std::uint64_t corrupt = 0;   // truncated, or the checksum or a field is invalid
    std::uint64_t untagged = 0;  // without a tag that matches the key
    std::uint64_t other_fleet = 0;
    std::uint64_t other_major = 0;
    std::uint64_t oversized = 0;  // updates omitted from outgoing datagrams
  };

  // If `key` is empty, datagrams carry no tag.
  Codec(std::string fleet, std::string key) : fleet_(std::move(fleet)), key_(std::move(key)) {}

  // Returns the message as a datagram. Omits and counts updates that do not fit, starting with the last one.
  std::string Encode(const Message& message);
  // Returns nullopt and counts the cause if the datagram is dropped.
  std::optional<Message> Decode(std::string_view datagram);
  const Dropped& dropped() const { return dropped_; }

 private:
  std::size_t HeaderSize() const;
  std::string Tag(std::string_view bytes) const;
  bool VerifyHeader(std::string_view datagram);

  std::string fleet_;
  std::string key_;
  Dropped dropped_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_CODEC_CODEC_H_

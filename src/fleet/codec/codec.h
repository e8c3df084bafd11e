// Encodes messages as datagrams: protobuf (lite) behind a checksum and, where the fleet has a key, a tag.
//
// A datagram is 4 bytes CRC-32C of what follows, then 16 bytes of HMAC-SHA-256 if the fleet has a key, then
// the envelope (fleet.proto). One owner and thread; no socket or clock, and no state but the key and
// counters.
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

// Version of the protocol; datagrams of another one are dropped.
constexpr std::uint32_t kMajorVersion = 1;
// Bytes of a datagram; updates that do not fit are left out.
constexpr std::size_t kMaxDatagramSize = 1200;

class Codec {
 public:
  struct Dropped {
    std::uint64_t corrupt = 0;   // truncated, or the checksum or a field is wrong
    std::uint64_t untagged = 0;  // the tag is not that of the key
    std::uint64_t other_fleet = 0;
    std::uint64_t other_major = 0;
    std::uint64_t oversized = 0;  // updates that were left out of outgoing datagrams
  };

  // Empty `key`: datagrams carry no tag.
  Codec(std::string fleet, std::string key) : fleet_(std::move(fleet)), key_(std::move(key)) {}

  // Updates that do not fit are left out, from the back, and counted.
  std::string Encode(const Message& message);
  // Nothing if the datagram is dropped, which is counted.
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

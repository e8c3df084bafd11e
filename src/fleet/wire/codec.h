// Messages of the fleet as datagrams: protobuf (lite) between a head and, where there is a key, a tag.
//
// A datagram is 4 bytes CRC-32C of what follows, then 16 bytes of HMAC-SHA-256 if the fleet has a key, then
// the envelope (fleet.proto). No socket, clock or state but the key and what was dropped.
#ifndef WALNUTSPUR_FLEET_WIRE_CODEC_H_
#define WALNUTSPUR_FLEET_WIRE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/view/member.h"

namespace walnutspur::fleet {

constexpr std::uint32_t kMajor = 1;
constexpr std::size_t kMostDatagram = 1200;  // bytes

class Codec {
 public:
  struct Dropped {
    std::uint64_t damaged = 0;   // cut off, or its sum or form is wrong
    std::uint64_t untagged = 0;  // its tag is not that of the key
    std::uint64_t other_fleet = 0;
    std::uint64_t other_major = 0;
    std::uint64_t oversized = 0;  // ours: left out, longer than a datagram may be
  };

  // `key` empty: no tag.
  Codec(std::string fleet, std::string key) : fleet_(std::move(fleet)), key_(std::move(key)) {}

  // Rumours that find no room are left out, from the back, and counted.
  std::string Encode(const Message& message);
  std::optional<Message> Decode(std::string_view datagram);
  const Dropped& dropped() const { return dropped_; }

 private:
  std::string Tag(std::string_view bytes) const;

  std::string fleet_, key_;
  Dropped dropped_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_WIRE_CODEC_H_

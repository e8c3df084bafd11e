// Parses TCP segments from captured frames and encodes them as IPv4 packets. No state; usable from any
// thread.
#ifndef WALNUTSPUR_PCAP_SEGMENT_H_
#define WALNUTSPUR_PCAP_SEGMENT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::pcap {

// Flags of the TCP header.
constexpr std::uint8_t kFin = 1;
constexpr std::uint8_t kSyn = 2;
constexpr std::uint8_t kRst = 4;
constexpr std::uint8_t kPush = 8;
constexpr std::uint8_t kAck = 16;

// One endpoint of a TCP connection.
struct Endpoint {
  std::string address;  // in network byte order: 4 bytes (IPv4) or 16 (IPv6)
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// A captured TCP segment. `bytes` points into the frame that the segment was parsed from.
struct Segment {
  Endpoint from;
  Endpoint to;
  std::uint32_t sequence = 0;  // sequence number of the first byte, or of SYN
  std::uint8_t flags = 0;
  std::string_view bytes;
  std::size_t missing_bytes = 0;  // number of bytes at its end that were not captured

  bool Has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

// Returns the IP packet in a frame of a link type (DLT_*); empty if the frame contains none.
std::string_view IpPacket(int link_type, std::string_view frame);

// Parses the TCP segment in an IP packet. Returns nullopt for other packets and for fragments.
std::optional<Segment> ParseSegment(std::string_view packet);

// A segment to be encoded, with the IPv4 addresses of its packet.
struct OutgoingSegment {
  Endpoint from;
  Endpoint to;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
  std::uint8_t flags = 0;
  std::string_view bytes;
};

// Returns the IPv4 packet of a segment, including checksums.
std::string EncodePacket(const OutgoingSegment& segment);

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_SEGMENT_H_

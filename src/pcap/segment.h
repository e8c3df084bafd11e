// TCP segments in IP packets: read from captured frames, and written as IPv4 packets. No state; any thread.
#ifndef WALNUTSPUR_PCAP_SEGMENT_H_
#define WALNUTSPUR_PCAP_SEGMENT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::pcap {

// The flags of a TCP header.
constexpr std::uint8_t kFin = 1;
constexpr std::uint8_t kSyn = 2;
constexpr std::uint8_t kRst = 4;
constexpr std::uint8_t kPush = 8;
constexpr std::uint8_t kAck = 16;

// One end of a TCP connection.
struct Endpoint {
  std::string address;  // in network byte order: 4 bytes (IPv4) or 16 (IPv6)
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// A captured TCP segment. `bytes` points into the frame that it was read from.
struct Segment {
  Endpoint from;
  Endpoint to;
  std::uint32_t sequence = 0;  // number of its first byte
  std::uint8_t flags = 0;
  std::string_view bytes;
  std::size_t missing_bytes = 0;  // at its end, which the capture left out

  bool Has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

// The IP packet in a frame of a link type (DLT_*); empty if there is none.
std::string_view IpPacket(int link_type, std::string_view frame);

// Reads a TCP segment. Empty for anything else, fragments of packets included.
std::optional<Segment> ParseSegment(std::string_view packet);

// A segment to be written, and the addresses of its packet, which are IPv4.
struct OutgoingSegment {
  Endpoint from;
  Endpoint to;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
  std::uint8_t flags = 0;
  std::string_view bytes;
};

// The IPv4 packet of a segment, with checksums.
std::string EncodePacket(const OutgoingSegment& segment);

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_SEGMENT_H_

#include "pcap/segment.h"

#include <pcap/dlt.h>

#include <algorithm>

namespace walnutspur::pcap {
namespace {

using View = std::string_view;

// Sizes of headers, in bytes.
constexpr std::size_t kIpv4HeaderSize = 20;  // without options
constexpr std::size_t kIpv6HeaderSize = 40;
constexpr std::size_t kTcpHeaderSize = 20;  // without options
constexpr std::size_t kNullHeaderSize = 4;
constexpr std::size_t kEthernetHeaderSize = 14;
constexpr std::size_t kVlanTagSize = 4;
constexpr std::size_t kLinuxCookedHeaderSize = 16;

constexpr std::uint32_t kTypeIpv4 = 0x0800;
constexpr std::uint32_t kTypeIpv6 = 0x86dd;
constexpr std::uint32_t kTypeVlan = 0x8100;
constexpr std::uint32_t kTypeServiceVlan = 0x88a8;

constexpr std::uint8_t kProtocolTcp = 6;
constexpr std::uint32_t kFragmentMask = 0x3fff;  // the "more fragments" flag and the fragment offset

std::uint32_t ReadBigEndian(View bytes, std::size_t at, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  }
  return value;
}

void PutBigEndian(std::uint32_t value, int size, std::string* out) {
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>(value >> shift & 0xff));
  }
}

View PacketOfType(std::uint32_t type, View packet) {
  return type == kTypeIpv4 || type == kTypeIpv6 ? packet : View();
}

View PacketInEthernet(View frame) {
  if (frame.size() < kEthernetHeaderSize) {
    return {};
  }
  std::size_t header = kEthernetHeaderSize;
  std::uint32_t type = ReadBigEndian(frame, header - 2, 2);
  while ((type == kTypeVlan || type == kTypeServiceVlan) && frame.size() >= header + kVlanTagSize) {
    header += kVlanTagSize;
    type = ReadBigEndian(frame, header - 2, 2);
  }
  return PacketOfType(type, frame.substr(header));
}

View PacketInLinuxCooked(View frame) {
  if (frame.size() < kLinuxCookedHeaderSize) {
    return {};
  }
  const std::uint32_t type = ReadBigEndian(frame, kLinuxCookedHeaderSize - 2, 2);
  return PacketOfType(type, frame.substr(kLinuxCookedHeaderSize));
}

// The sizes of an IP packet that contains a TCP segment.
struct IpExtent {
  std::size_t header = 0;  // bytes of the IP header
  std::size_t total = 0;   // bytes of the packet, including those that were not captured
};

std::optional<IpExtent> ParseIpv4(View packet, Segment* segment) {
  const IpExtent extent{4 * static_cast<std::size_t>(packet[0] & 15), ReadBigEndian(packet, 2, 2)};
  if ((ReadBigEndian(packet, 6, 2) & kFragmentMask) != 0 || packet[9] != kProtocolTcp) {
    return std::nullopt;
  }
  segment->from.address = packet.substr(12, 4);
  segment->to.address = packet.substr(16, 4);
  return extent;
}

std::optional<IpExtent> ParseIpv6(View packet, Segment* segment) {
  if (packet[6] != kProtocolTcp) {
    return std::nullopt;
  }
  segment->from.address = packet.substr(8, 16);
  segment->to.address = packet.substr(24, 16);
  return IpExtent{kIpv6HeaderSize, kIpv6HeaderSize + ReadBigEndian(packet, 4, 2)};
}

std::optional<IpExtent> ParseIp(View packet, Segment* segment) {
  const int version = packet.empty() ? 0 : static_cast<unsigned char>(packet[0]) >> 4;
  if (version == 4 && packet.size() >= kIpv4HeaderSize) {
    return ParseIpv4(packet, segment);
  }
  if (version == 6 && packet.size() >= kIpv6HeaderSize) {
    return ParseIpv6(packet, segment);
  }
  return std::nullopt;
}

// Adds the 16-bit words of `bytes` to a sum, from which PutChecksum computes the checksum of IP or TCP.
std::uint32_t AddWords(View bytes, std::uint32_t sum) {
  for (std::size_t i = 0; i < bytes.size(); i += 2) {
    sum += i + 1 < bytes.size() ? ReadBigEndian(bytes, i, 2) : ReadBigEndian(bytes, i, 1) << 8;
  }
  return sum;
}

void PutChecksum(std::uint32_t sum, std::size_t at, std::string* header) {
  while (sum >> 16) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  const auto checksum = static_cast<std::uint16_t>(~sum);
  (*header)[at] = static_cast<char>(checksum >> 8);
  (*header)[at + 1] = static_cast<char>(checksum & 0xff);
}

std::string EncodeIpHeader(const OutgoingSegment& segment) {
  constexpr std::size_t kChecksumAt = 10;
  const auto size = static_cast<std::uint32_t>(kIpv4HeaderSize + kTcpHeaderSize + segment.bytes.size());
  std::string header;
  PutBigEndian(0x4500, 2, &header);  // version 4, no options
  PutBigEndian(size, 2, &header);
  PutBigEndian(0, 4, &header);                      // no fragments
  PutBigEndian(0x4000 | kProtocolTcp, 2, &header);  // time to live 64
  PutBigEndian(0, 2, &header);                      // the checksum
  header += segment.from.address + segment.to.address;
  PutChecksum(AddWords(header, 0), kChecksumAt, &header);
  return header;
}

std::string EncodeTcpSegment(const OutgoingSegment& segment) {
  constexpr std::size_t kChecksumAt = 16;
  std::string tcp;
  PutBigEndian(segment.from.port, 2, &tcp);
  PutBigEndian(segment.to.port, 2, &tcp);
  PutBigEndian(segment.sequence, 4, &tcp);
  PutBigEndian(segment.acknowledgement, 4, &tcp);
  PutBigEndian(0x5000U | segment.flags, 2, &tcp);  // no options
  PutBigEndian(65535, 2, &tcp);                    // the window
  PutBigEndian(0, 4, &tcp);                        // the checksum, no urgent data
  tcp += segment.bytes;
  // The checksum also covers a pseudo header that consists of the addresses, the protocol and the size.
  const auto pseudo_sum = static_cast<std::uint32_t>(kProtocolTcp + tcp.size());
  const std::uint32_t address_sum = AddWords(segment.from.address + segment.to.address, pseudo_sum);
  PutChecksum(AddWords(tcp, address_sum), kChecksumAt, &tcp);
  return tcp;
}

}  // namespace

View IpPacket(int link_type, View frame) {
  switch (link_type) {
    case DLT_RAW:
    case DLT_IPV4:
    case DLT_IPV6:
      return frame;
    case DLT_NULL:
    case DLT_LOOP:
      return frame.size() < kNullHeaderSize ? View() : frame.substr(kNullHeaderSize);
    case DLT_LINUX_SLL:
      return PacketInLinuxCooked(frame);
    case DLT_EN10MB:
      return PacketInEthernet(frame);
    default:
      return {};
  }
}

std::optional<Segment> ParseSegment(View packet) {
  Segment segment;
  const std::optional<IpExtent> extent = ParseIp(packet, &segment);
  if (!extent || extent->header < kIpv4HeaderSize || packet.size() < extent->header + kTcpHeaderSize) {
    return std::nullopt;
  }
  const std::size_t tcp = extent->header;
  const std::size_t data = tcp + std::size_t{4} * (static_cast<unsigned char>(packet[tcp + 12]) >> 4);
  if (data < tcp + kTcpHeaderSize || extent->total < data) {
    return std::nullopt;
  }
  segment.from.port = static_cast<std::uint16_t>(ReadBigEndian(packet, tcp, 2));
  segment.to.port = static_cast<std::uint16_t>(ReadBigEndian(packet, tcp + 2, 2));
  segment.sequence = ReadBigEndian(packet, tcp + 4, 4);
  segment.flags = static_cast<std::uint8_t>(packet[tcp + 13]);
  const std::size_t end = std::min(extent->total, packet.size());  // the link layer may pad short packets
  segment.bytes = data < end ? packet.substr(data, end - data) : View();
  segment.missing_bytes = extent->total - data - segment.bytes.size();
  return segment;
}

std::string EncodePacket(const OutgoingSegment& segment) {
  return EncodeIpHeader(segment) + EncodeTcpSegment(segment);
}

}  // namespace walnutspur::pcap

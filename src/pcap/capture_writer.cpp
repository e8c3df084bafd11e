// Implements Writer.
#include <pcap/pcap.h>
#include <sys/time.h>

#include <algorithm>

#include "pcap/capture.h"

namespace walnutspur::pcap {
namespace {

// Maximum number of data bytes in one packet.
constexpr std::size_t kMaxSegmentBytes = 1400;
// Maximum packet length in the header of the file, in bytes.
constexpr int kSnapshotLength = 65535;
constexpr std::size_t kIpv4AddressSize = 4;  // bytes

}  // namespace

Writer::Writer(const std::string& path, std::size_t max_bytes)
    : remaining_bytes_(max_bytes),
      handle_(pcap_open_dead(DLT_RAW, kSnapshotLength), pcap_close),
      file_(pcap_dump_open(handle_.get(), path.c_str()), pcap_dump_close) {
  if (!file_) {
    throw CaptureError("cannot write " + path + ": " + pcap_geterr(handle_.get()));
  }
}

Writer::~Writer() {
  while (!streams_.empty()) {
    Close(streams_.begin()->first);
  }
}

Writer::Id Writer::Open(const Endpoint& client, const Endpoint& server) {
  OpenStream stream{client, server};
  stream.client.address.resize(kIpv4AddressSize);
  stream.server.address.resize(kIpv4AddressSize);
  WriteSegment(stream, kToServer, kSyn, "");
  WriteSegment(stream, kToClient, kSyn | kAck, "");
  WriteSegment(stream, kToServer, kAck, "");
  streams_[next_id_] = stream;
  return next_id_++;
}

void Writer::Data(Id stream, bool to_server, std::string_view bytes) {
  const auto at = streams_.find(stream);
  if (at == streams_.end()) {
    return;
  }
  while (!bytes.empty() && remaining_bytes_ > 0) {
    const std::size_t size = std::min({bytes.size(), kMaxSegmentBytes, remaining_bytes_});
    WriteSegment(at->second, to_server ? kToServer : kToClient, kPush | kAck, bytes.substr(0, size));
    remaining_bytes_ -= size;
    bytes.remove_prefix(size);
  }
}

void Writer::Close(Id stream) {
  const auto at = streams_.find(stream);
  if (at == streams_.end()) {
    return;
  }
  WriteSegment(at->second, kToServer, kFin | kAck, "");
  WriteSegment(at->second, kToClient, kFin | kAck, "");
  WriteSegment(at->second, kToServer, kAck, "");
  streams_.erase(at);
  pcap_dump_flush(file_.get());
}

void Writer::WriteSegment(OpenStream& stream, Direction direction, std::uint8_t flags,
                          std::string_view bytes) {
  const bool to_server = direction == kToServer;
  OutgoingSegment segment;
  segment.from = to_server ? stream.client : stream.server;
  segment.to = to_server ? stream.server : stream.client;
  segment.sequence = stream.next_sequence[direction];
  segment.acknowledgement = flags & kAck ? stream.next_sequence[to_server ? kToClient : kToServer] : 0;
  segment.flags = flags;
  segment.bytes = bytes;
  const std::string packet = EncodePacket(segment);
  const bool counts_one_more = (flags & (kSyn | kFin)) != 0;
  stream.next_sequence[direction] += static_cast<std::uint32_t>(bytes.size()) + (counts_one_more ? 1 : 0);
  pcap_pkthdr header{};
  gettimeofday(&header.ts, nullptr);
  header.caplen = static_cast<bpf_u_int32>(packet.size());
  header.len = header.caplen;
  pcap_dump(reinterpret_cast<u_char*>(file_.get()), &header, reinterpret_cast<const u_char*>(packet.data()));
}

}  // namespace walnutspur::pcap

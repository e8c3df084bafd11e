// Implements ReadStreams.
#include <pcap/pcap.h>

#include <compare>
#include <iterator>
#include <list>

#include "pcap/capture.h"

namespace walnutspur::pcap {
namespace {

// The two endpoints of a connection.
struct ConnectionKey {
  Endpoint client;
  Endpoint server;
  auto operator<=>(const ConnectionKey&) const = default;
};

// Class StreamTable assigns segments to streams.
class StreamTable {
 public:
  explicit StreamTable(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void Add(const Segment& segment);
  // Moves out the streams, in the order of their first segments.
  std::vector<Stream> Take() {
    return {std::make_move_iterator(streams_.begin()), std::make_move_iterator(streams_.end())};
  }

 private:
  // The stream and the direction that a segment belongs to; `stream` is null if there is none.
  struct Match {
    Stream* stream = nullptr;
    bool to_server = false;
  };
  Match Find(const Segment& segment) const;
  Match Open(const Segment& segment);

  std::size_t max_bytes_;
  std::list<Stream> streams_;
  std::map<ConnectionKey, Stream*> latest_;  // the latest stream of each pair of endpoints
};

bool IsFirst(const Segment& segment) { return segment.Has(kSyn) && !segment.Has(kAck); }

StreamTable::Match StreamTable::Find(const Segment& segment) const {
  const auto to_server = latest_.find({segment.from, segment.to});
  if (to_server != latest_.end()) {
    return {to_server->second, true};
  }
  const auto to_client = latest_.find({segment.to, segment.from});
  if (to_client != latest_.end()) {
    return {to_client->second, false};
  }
  return {};
}

// If the file does not contain the first segment, the endpoint with the higher port is assumed to be the
// client.
StreamTable::Match StreamTable::Open(const Segment& segment) {
  const bool from_client_port = !segment.Has(kSyn) && segment.from.port > segment.to.port;
  const bool to_server = IsFirst(segment) || from_client_port;
  Stream& stream = streams_.emplace_back(max_bytes_);
  stream.client = to_server ? segment.from : segment.to;
  stream.server = to_server ? segment.to : segment.from;
  stream.opened = segment.Has(kSyn);
  latest_.insert_or_assign({stream.client, stream.server}, &stream);
  return {&stream, to_server};
}

// A first segment starts another stream if the port is reused, but not if the segment is a retransmission.
void StreamTable::Add(const Segment& segment) {
  Match match = Find(segment);
  const bool port_is_reused =
      match.stream != nullptr && IsFirst(segment) && (match.stream->finished || !match.to_server);
  if (match.stream == nullptr || port_is_reused) {
    match = Open(segment);
  }
  Reassembly& direction = match.to_server ? match.stream->to_server : match.stream->to_client;
  const std::uint32_t first_byte = segment.sequence + (segment.Has(kSyn) ? 1 : 0);
  if (segment.Has(kSyn)) {
    direction.Begin(first_byte);
  }
  if (!segment.bytes.empty() || segment.missing_bytes > 0) {
    direction.Add(first_byte, segment.bytes, segment.missing_bytes);
  }
  if (segment.Has(kFin) || segment.Has(kRst)) {
    match.stream->finished = true;
  }
}

}  // namespace

std::vector<Stream> ReadStreams(const std::string& path, std::size_t max_bytes) {
  std::array<char, PCAP_ERRBUF_SIZE> reason{};
  const std::unique_ptr<pcap_t, void (*)(pcap_t*)> file(pcap_open_offline(path.c_str(), reason.data()),
                                                        pcap_close);
  if (!file) {
    throw CaptureError("cannot read " + path + ": " + reason.data());
  }
  const int link_type = pcap_datalink(file.get());
  StreamTable streams(max_bytes);
  pcap_pkthdr* header = nullptr;
  const unsigned char* frame = nullptr;
  while (pcap_next_ex(file.get(), &header, &frame) == 1) {
    const std::string_view bytes(reinterpret_cast<const char*>(frame), header->caplen);
    if (const auto segment = ParseSegment(IpPacket(link_type, bytes))) {
      streams.Add(*segment);
    }
  }
  return streams.Take();
}

}  // namespace walnutspur::pcap

#include "pcap/capture.h"

#include <pcap/pcap.h>
#include <sys/time.h>

#include <algorithm>
#include <list>
#include <stdexcept>

namespace walnutspur::pcap {
namespace {

using View = std::string_view;

constexpr std::uint8_t kFin = 1, kSyn = 2, kRst = 4, kPush = 8, kAck = 16;
constexpr std::size_t kSegment = 1400;  // bytes of data in a packet that is written
constexpr int kSnap = 65535;

std::uint32_t Big(View bytes, std::size_t at, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  }
  return value;
}

void PutBig(std::uint32_t value, int size, std::string* out) {
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>(value >> shift & 0xff));
  }
}

// The IP packet in a frame of the link; empty if there is none.
View Network(int link, View frame) {
  std::size_t head = 0;
  std::uint32_t type = 0;
  switch (link) {
    case DLT_RAW:
    case DLT_IPV4:
    case DLT_IPV6:
      return frame;
    case DLT_NULL:
    case DLT_LOOP:
      return frame.size() < 4 ? View() : frame.substr(4);
    case DLT_LINUX_SLL:
      if (frame.size() < 16) {
        return {};
      }
      type = Big(frame, 14, 2), head = 16;
      break;
    case DLT_EN10MB:
      if (frame.size() < 14) {
        return {};
      }
      type = Big(frame, 12, 2), head = 14;
      while ((type == 0x8100 || type == 0x88a8) && frame.size() >= head + 4) {
        type = Big(frame, head + 2, 2), head += 4;
      }
      break;
    default:
      return {};
  }
  return type == 0x0800 || type == 0x86dd ? frame.substr(head) : View();
}

struct Segment {
  Endpoint from, to;
  std::uint32_t number = 0;
  std::uint8_t flags = 0;
  View bytes;
  std::size_t cut = 0;  // bytes that the capture left out
};

// Reads a TCP segment; false for anything else, fragments included.
bool ReadSegment(View packet, Segment* segment) {
  if (packet.empty()) {
    return false;
  }
  std::size_t head = 0;
  std::size_t size = 0;  // of the IP header; of the whole packet as it was sent
  const int version = static_cast<unsigned char>(packet[0]) >> 4;
  if (version == 4 && packet.size() >= 20) {
    head = 4 * (packet[0] & 15);
    size = Big(packet, 2, 2);
    if ((Big(packet, 6, 2) & 0x3fff) != 0 || packet[9] != 6) {
      return false;
    }
    segment->from.address = packet.substr(12, 4);
    segment->to.address = packet.substr(16, 4);
  } else if (version == 6 && packet.size() >= 40) {
    head = 40;
    size = 40 + Big(packet, 4, 2);
    if (packet[6] != 6) {
      return false;
    }
    segment->from.address = packet.substr(8, 16);
    segment->to.address = packet.substr(24, 16);
  } else {
    return false;
  }
  if (head < 20 || packet.size() < head + 20) {
    return false;
  }
  const std::size_t data = head + 4 * (static_cast<unsigned char>(packet[head + 12]) >> 4);
  if (data < head + 20 || size < data) {
    return false;
  }
  segment->from.port = static_cast<std::uint16_t>(Big(packet, head, 2));
  segment->to.port = static_cast<std::uint16_t>(Big(packet, head + 2, 2));
  segment->number = Big(packet, head + 4, 4);
  segment->flags = static_cast<std::uint8_t>(packet[head + 13]);
  const std::size_t end = std::min(size, packet.size());  // what follows is padding of the link
  segment->bytes = data < end ? packet.substr(data, end - data) : View();
  segment->cut = size - data - segment->bytes.size();
  return true;
}

std::uint32_t Sum(View bytes, std::uint32_t sum) {
  for (std::size_t i = 0; i < bytes.size(); i += 2) {
    sum += i + 1 < bytes.size() ? Big(bytes, i, 2) : Big(bytes, i, 1) << 8;
  }
  return sum;
}

std::uint16_t Checksum(std::uint32_t sum) {
  while (sum >> 16) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return static_cast<std::uint16_t>(~sum);
}

}  // namespace

// ---- reading ----

void Reassembly::Begin(std::uint32_t first) {
  if (begun_) {
    return;
  }
  begun_ = true;
  next_ = first;
}

void Reassembly::Add(std::uint32_t number, View bytes, std::size_t cut) {
  if (!begun_) {
    Begin(number);
  }
  const auto ahead = static_cast<std::int32_t>(number - next_);  // numbers wrap around
  if (ahead < 0) {                                               // sent again, in whole or in part
    const auto known = static_cast<std::size_t>(-static_cast<std::int64_t>(ahead));
    if (known >= bytes.size()) {
      return;
    }
    return Add(next_, bytes.substr(known), cut);
  }
  if (full_ || bytes.empty()) {
    full_ = full_ || cut > 0;
    return;
  }
  if (bytes_.size() + held_ + bytes.size() > most_) {
    full_ = true;
    return;
  }
  if (ahead > 0) {  // early: kept by its distance from the first byte
    std::string& held = later_[static_cast<std::uint32_t>(bytes_.size()) + static_cast<std::uint32_t>(ahead)];
    if (bytes.size() <= held.size()) {
      return;
    }
    held_ += bytes.size() - held.size();
    held = bytes;
    return;
  }
  bytes_.append(bytes);
  next_ += static_cast<std::uint32_t>(bytes.size());
  if (cut > 0) {  // the rest of this segment is missing, and so is all that follows
    full_ = true;
    return;
  }
  while (!later_.empty() && later_.begin()->first <= bytes_.size()) {
    const auto node = later_.extract(later_.begin());
    held_ -= node.mapped().size();
    const std::size_t known = bytes_.size() - node.key();
    if (known >= node.mapped().size()) {
      continue;
    }
    bytes_.append(node.mapped(), known);
    next_ += static_cast<std::uint32_t>(node.mapped().size() - known);
  }
}

std::vector<Stream> ReadStreams(const std::string& path, std::size_t most) {
  char why[PCAP_ERRBUF_SIZE] = "";
  const std::unique_ptr<pcap_t, void (*)(pcap_t*)> file(pcap_open_offline(path.c_str(), why), pcap_close);
  if (!file) {
    throw std::runtime_error(std::string("cannot read ") + path + ": " + why);
  }
  const int link = pcap_datalink(file.get());
  std::list<Stream> streams;
  std::map<std::pair<Endpoint, Endpoint>, Stream*> open;  // by client and server
  pcap_pkthdr* header = nullptr;
  const unsigned char* frame = nullptr;
  while (pcap_next_ex(file.get(), &header, &frame) == 1) {
    Segment s;
    if (!ReadSegment(Network(link, View(reinterpret_cast<const char*>(frame), header->caplen)), &s)) {
      continue;
    }
    const bool first = ((s.flags & kSyn) != 0) && ((s.flags & kAck) == 0);
    auto at = open.find({s.from, s.to});
    bool to_server = at != open.end();
    if (!to_server) {
      at = open.find({s.to, s.from});
    }
    // A port that is used anew is another stream; a SYN that is sent again is not.
    const bool anew = at != open.end() && first && (at->second->finished || !to_server);
    if (at == open.end() || anew) {
      const bool answers =
          ((s.flags & kSyn) != 0) || s.from.port > s.to.port;  // else a guess: servers' ports are low
      to_server = first || (((s.flags & kSyn) == 0) && answers);
      Stream& stream = streams.emplace_back(most);
      stream.client = to_server ? s.from : s.to;
      stream.server = to_server ? s.to : s.from;
      stream.opened = ((s.flags & kSyn) != 0);
      at = open.insert_or_assign({stream.client, stream.server}, &stream).first;
    }
    Stream& stream = *at->second;
    Reassembly& side = to_server ? stream.to_server : stream.to_client;
    if (s.flags & kSyn) {
      side.Begin(s.number + 1);
    }
    if (!s.bytes.empty() || s.cut > 0) {
      side.Add(s.number + ((s.flags & kSyn) ? 1 : 0), s.bytes, s.cut);
    }
    if (s.flags & (kFin | kRst)) {
      stream.finished = true;
    }
  }
  return {std::make_move_iterator(streams.begin()), std::make_move_iterator(streams.end())};
}

// ---- writing ----

Writer::Writer(const std::string& path, std::size_t most)
    : left_(most), handle_(pcap_open_dead(DLT_RAW, kSnap), pcap_close), file_(nullptr, pcap_dump_close) {
  file_.reset(pcap_dump_open(handle_.get(), path.c_str()));
  if (!file_) {
    throw std::runtime_error("cannot write " + path + ": " + pcap_geterr(handle_.get()));
  }
}

Writer::~Writer() {
  while (!flows_.empty()) {
    Close(flows_.begin()->first);
  }
}

Writer::Id Writer::Open(const Endpoint& client, const Endpoint& server) {
  Flow flow{client, server};
  flow.client.address.resize(4);
  flow.server.address.resize(4);
  flow.next[0] = flow.next[1] = 0;
  Packet(flow, true, kSyn, "");
  Packet(flow, false, kSyn | kAck, "");
  Packet(flow, true, kAck, "");
  flows_[next_] = flow;
  return next_++;
}

void Writer::Data(Id stream, bool to_server, View bytes) {
  const auto at = flows_.find(stream);
  if (at == flows_.end()) {
    return;
  }
  while (!bytes.empty() && left_ > 0) {
    const std::size_t size = std::min({bytes.size(), kSegment, left_});
    Packet(at->second, to_server, kPush | kAck, bytes.substr(0, size));
    left_ -= size;
    bytes.remove_prefix(size);
  }
}

void Writer::Close(Id stream) {
  const auto at = flows_.find(stream);
  if (at == flows_.end()) {
    return;
  }
  Packet(at->second, true, kFin | kAck, "");
  Packet(at->second, false, kFin | kAck, "");
  Packet(at->second, true, kAck, "");
  flows_.erase(at);
  pcap_dump_flush(file_.get());
}

void Writer::Packet(Flow& flow, bool to_server, std::uint8_t flags, View bytes) {
  const Endpoint& from = to_server ? flow.client : flow.server;
  const Endpoint& to = to_server ? flow.server : flow.client;
  std::uint32_t& next = flow.next[to_server ? 0 : 1];
  const auto size = static_cast<std::uint32_t>(bytes.size());
  std::string ip;
  std::string tcp;
  PutBig(0x4500, 2, &ip);
  PutBig(40 + size, 2, &ip);
  PutBig(0, 4, &ip);
  PutBig(0x4006, 2, &ip);  // time to live, TCP
  PutBig(0, 2, &ip);
  ip += from.address + to.address;
  const std::uint16_t ip_sum = Checksum(Sum(ip, 0));
  ip[10] = static_cast<char>(ip_sum >> 8);
  ip[11] = static_cast<char>(ip_sum & 0xff);
  PutBig(from.port, 2, &tcp);
  PutBig(to.port, 2, &tcp);
  PutBig(next, 4, &tcp);
  PutBig((flags & kAck) ? flow.next[to_server ? 1 : 0] : 0, 4, &tcp);
  PutBig(0x5000u | flags, 2, &tcp);
  PutBig(65535, 2, &tcp);
  PutBig(0, 4, &tcp);
  tcp += bytes;
  const std::uint16_t tcp_sum = Checksum(Sum(tcp, Sum(from.address + to.address, 6 + 20 + size)));
  tcp[16] = static_cast<char>(tcp_sum >> 8);
  tcp[17] = static_cast<char>(tcp_sum & 0xff);
  next += size + ((flags & (kSyn | kFin)) ? 1 : 0);
  const std::string packet = ip + tcp;
  pcap_pkthdr header{};
  gettimeofday(&header.ts, nullptr);
  header.caplen = header.len = static_cast<bpf_u_int32>(packet.size());
  pcap_dump(reinterpret_cast<u_char*>(file_.get()), &header, reinterpret_cast<const u_char*>(packet.data()));
}

}  // namespace walnutspur::pcap

// Capture files in pcap format: TCP streams read from them and written to them. Nothing is captured live.
// Called by Recorder and by the programs' replay. Objects have no shared state; each belongs to one thread.
// Errors are CaptureError.
#ifndef WALNUTSPUR_PCAP_CAPTURE_H_
#define WALNUTSPUR_PCAP_CAPTURE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pcap/error.h"
#include "pcap/reassembly.h"
#include "pcap/segment.h"

struct pcap;
struct pcap_dumper;

namespace walnutspur::pcap {

// A TCP stream as recorded in a file.
struct Stream {
  explicit Stream(std::size_t max_bytes) : to_server(max_bytes), to_client(max_bytes) {}
  Endpoint client;
  Endpoint server;
  Reassembly to_server;
  Reassembly to_client;
  bool opened = false;    // the file has its first segment
  bool finished = false;  // the file has a FIN or RST of it
};

// Bytes that are stored of each direction of a stream, unless the caller sets another limit.
constexpr std::size_t kDefaultMaxStreamBytes = 16 << 20;

// Reads the TCP streams of a file, in the order of their first packets. `max_bytes` bounds the bytes that are
// stored of each direction of each stream. Throws CaptureError if it is not a pcap file; of a truncated file
// it returns the streams up to its end.
std::vector<Stream> ReadStreams(const std::string& path, std::size_t max_bytes = kDefaultMaxStreamBytes);

// Writes streams to a file, as IPv4 packets.
class Writer {
 public:
  // Throws CaptureError. After `max_bytes` of data in all, further data is not written.
  Writer(const std::string& path, std::size_t max_bytes);
  // Closes the streams that are open.
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  using Id = std::uint64_t;  // of a stream; from 1
  // Begins a stream with the segments of its handshake.
  Id Open(const Endpoint& client, const Endpoint& server);
  // Writes data of an open stream.
  void Data(Id stream, bool to_server, std::string_view bytes);
  // Ends a stream with the segments of its closing, and flushes the file.
  void Close(Id stream);

 private:
  enum Direction : std::size_t { kToServer, kToClient, kDirections };

  struct OpenStream {
    Endpoint client;
    Endpoint server;
    std::array<std::uint32_t, kDirections> next_sequence = {0, 0};
  };
  void WriteSegment(OpenStream& stream, Direction direction, std::uint8_t flags, std::string_view bytes);

  std::size_t remaining_bytes_;
  Id next_id_ = 1;
  std::map<Id, OpenStream> streams_;
  std::unique_ptr<struct pcap, void (*)(struct pcap*)> handle_;
  std::unique_ptr<struct pcap_dumper, void (*)(struct pcap_dumper*)> file_;
};

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_CAPTURE_H_

// Reads TCP streams from capture files in pcap format and writes them to such files. There is no live
// capture. Used by Recorder and app::Replay. Objects have no shared state; each must be used on one thread.
// Errors are reported as CaptureError.
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

// A TCP stream recorded in a file.
struct Stream {
  explicit Stream(std::size_t max_bytes) : to_server(max_bytes), to_client(max_bytes) {}
  Endpoint client;
  Endpoint server;
  Reassembly to_server;
  Reassembly to_client;
  bool opened = false;    // the file contains its SYN segment
  bool finished = false;  // the file contains a FIN or RST segment of the stream
};

// Default maximum number of bytes that are stored per direction of a stream.
constexpr std::size_t kDefaultMaxStreamBytes = 16 << 20;

// Returns the TCP streams of a file in the order of their first packets. `max_bytes` limits the number of
// bytes that are stored per direction of each stream. Throws CaptureError if the file is not a pcap file. For
// a truncated file, returns the streams up to its end.
std::vector<Stream> ReadStreams(const std::string& path, std::size_t max_bytes = kDefaultMaxStreamBytes);

// Class Writer writes TCP streams to a capture file as IPv4 packets.
class Writer {
 public:
  // Opens the file; throws CaptureError on failure. Data beyond a total of `max_bytes` is not written.
  Writer(const std::string& path, std::size_t max_bytes);
  // Closes all open streams.
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  using Id = std::uint64_t;  // id of a stream; the first is 1
  // Starts a stream by writing the segments of its handshake, and returns its id.
  Id Open(const Endpoint& client, const Endpoint& server);
  // Writes data of a stream. Has no effect if the stream is not open.
  void Data(Id stream, bool to_server, std::string_view bytes);
  // Ends a stream by writing its FIN segments, and flushes the file. Has no effect if the stream is not open.
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

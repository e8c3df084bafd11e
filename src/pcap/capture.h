// pcap files, read and written; nothing is captured live.
#ifndef WALNUTSPUR_PCAP_CAPTURE_H_
#define WALNUTSPUR_PCAP_CAPTURE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct pcap;
struct pcap_dumper;

namespace walnutspur::pcap {

struct Endpoint {
  std::string address;  // 4 or 16 bytes
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// One direction of a TCP stream, put in order.
class Reassembly {
 public:
  explicit Reassembly(std::size_t most) : most_(most) {}

  void Begin(std::uint32_t first);  // the number of the first byte
  // `cut` bytes of the segment were not captured.
  void Add(std::uint32_t number, std::string_view bytes, std::size_t cut = 0);

  bool begun() const { return begun_; }
  const std::string& bytes() const { return bytes_; }  // up to the first gap
  bool gap() const { return full_ || !later_.empty(); }

 private:
  std::size_t most_;
  bool begun_ = false, full_ = false;
  std::uint32_t next_ = 0;
  std::string bytes_;
  std::map<std::uint32_t, std::string> later_;  // by distance from the first byte
  std::size_t held_ = 0;
};

struct Stream {
  explicit Stream(std::size_t most) : to_server(most), to_client(most) {}
  Endpoint client, server;
  Reassembly to_server, to_client;
  bool opened = false;    // its start is in the file
  bool finished = false;  // its end too
};

// The TCP streams of a file, in order of their first packet. Throws std::runtime_error if it is no pcap file;
// a file that is cut off gives what it holds. `most` bounds the bytes held of each direction.
std::vector<Stream> ReadStreams(const std::string& path, std::size_t most = 16 << 20);

// Writes streams as IPv4 packets.
class Writer {
 public:
  // Throws std::runtime_error. After `most` bytes of data nothing more is written.
  Writer(const std::string& path, std::size_t most);
  ~Writer();

  using Id = std::uint64_t;
  Id Open(const Endpoint& client, const Endpoint& server);
  void Data(Id stream, bool to_server, std::string_view bytes);
  void Close(Id stream);

 private:
  struct Flow {
    Endpoint client, server;
    std::uint32_t next[2] = {1, 1};  // to the server, to the client
  };
  void Packet(Flow& flow, bool to_server, std::uint8_t flags, std::string_view bytes);

  std::size_t left_;
  Id next_ = 1;
  std::map<Id, Flow> flows_;
  std::unique_ptr<struct pcap, void (*)(struct pcap*)> handle_;
  std::unique_ptr<struct pcap_dumper, void (*)(struct pcap_dumper*)> file_;
};

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_CAPTURE_H_

// Class Reassembly puts the segments of one direction of a TCP stream in order. No shared state; usable from
// any thread.
#ifndef WALNUTSPUR_PCAP_REASSEMBLY_H_
#define WALNUTSPUR_PCAP_REASSEMBLY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace walnutspur::pcap {

class Reassembly {
 public:
  // Stores at most `max_bytes`; a longer stream is truncated.
  explicit Reassembly(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Sets the sequence number of the first byte. Further calls have no effect.
  void Begin(std::uint32_t first);
  // Adds a segment. If Begin has not been called, the first segment starts the stream. `missing_bytes` is the
  // number of bytes at the end of the segment that were not captured.
  void Add(std::uint32_t sequence, std::string_view bytes, std::size_t missing_bytes = 0);

  bool begun() const { return begun_; }
  // Returns the bytes of the stream up to its first gap.
  const std::string& bytes() const { return bytes_; }
  // Returns whether bytes are missing after bytes().
  bool has_gap() const { return truncated_ || !pending_.empty(); }

 private:
  void AddPending(std::uint32_t position, std::string_view bytes);
  void AppendPending();

  std::size_t max_bytes_;
  bool begun_ = false;
  bool truncated_ = false;           // no more bytes can be appended
  std::uint32_t next_sequence_ = 0;  // sequence number of the byte after bytes_
  std::string bytes_;
  std::map<std::uint32_t, std::string> pending_;  // segments after a gap; key: position in the stream
  std::size_t pending_bytes_ = 0;
};

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_REASSEMBLY_H_

// The disk of a storage box: bytes, a write cache that a power cut loses, and damage on demand. No sockets
// and no clock; all chance comes from the seed, so that a run repeats.
//
// What is damaged is written down, so that a test can hold every alarm against what really happened.
#ifndef WALNUTSPUR_LAB_BOX_DISK_H_
#define WALNUTSPUR_LAB_BOX_DISK_H_

#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::lab {

enum class Damage {
  kFlipPath,  // bits of one answer, on one path
  kFlipRest,  // bits that stay wrong
  kLost,      // a write is answered and not done
  kAstray,    // a write lands elsewhere
  kStale,     // an answer brings what stood there before the last write
  kTorn       // of a write only some sectors arrive
};
const char* NameOf(Damage damage);

class Disk {
 public:
  static constexpr std::uint32_t kSector = 512;

  // Its bytes lie in `file`, as they do on the disk of a machine whose program dies; empty: in memory. Throws
  // std::runtime_error if the file cannot be had.
  Disk(std::uint64_t size, std::uint64_t seed, const std::string& file = "");
  ~Disk();
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;

  std::uint64_t size() const { return size_; }
  // What a read brings; shorter than asked past the end.
  std::string Read(std::uint64_t offset, std::uint32_t length) const;
  // Into the cache, or through it if `fua`.
  void Write(std::uint64_t offset, const std::string& data, bool fua);
  void Flush() { cached_.clear(); }
  // A flush that covers no more than it must: what had been written when it was asked for, which is Mark's
  // number.
  std::uint64_t Mark() const { return writes_; }
  void Flush(std::uint64_t mark);

  // The power goes: of the writes since the last flush each sector has arrived or not, by chance. Later ones
  // may have arrived without earlier ones.
  void Crash();
  // A crash in the middle of a write that was never answered: some of its sectors, by chance.
  void CrashInside(std::uint64_t offset, const std::string& data);

  // Damage at rest, at once: flips `bits` bits within the range.
  void Flip(std::uint64_t offset, std::uint32_t length, int bits);
  // What stood at a place before its last write; the present content where nothing was written.
  std::string Before(std::uint64_t offset, std::uint32_t length) const;
  // Keeps what each write replaces, for Before. Costs as much memory as the ranges written.
  void KeepHistory() { keeps_ = true; }

  pcg64& random() { return random_; }
  std::uint64_t Draw(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }

 private:
  struct Cached {
    std::uint64_t number = 0, offset = 0;
    std::string before;
  };
  std::string Part(std::uint64_t offset, std::uint64_t length) const;  // cut off at the end
  void Put(std::uint64_t offset, std::string_view bytes);

  std::uint64_t size_;
  void* mapped_ = nullptr;                        // of the file or of nothing: unmapped at the end
  std::vector<Cached> cached_;                    // writes since the last flush, with what they replaced
  std::map<std::uint64_t, std::string> history_;  // by sector
  std::uint64_t writes_ = 0;
  bool keeps_ = false;
  pcg64 random_;
};

// Flips bits of bytes that are on their way; none is flipped twice.
void FlipBits(std::string* bytes, int bits, pcg64* random);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_BOX_DISK_H_

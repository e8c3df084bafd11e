// Simulates the block device of a storage server: its bytes, a volatile write cache whose content a power cut
// can lose, and bit flips in stored data. Uses no sockets and no clock; all randomness comes from the seed,
// so that a run can be repeated.
//
// Not synchronised: its owner, the storage server or a test, uses it from one thread at a time.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_BLOCK_DEVICE_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_BLOCK_DEVICE_H_

#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::lab {

// Bytes that are written atomically: a power cut or a torn write leaves each sector old or new.
inline constexpr std::uint32_t kSectorBytes = 512;

class BlockDevice {
 public:
  // Keeps the bytes in `file`, where they outlive the process, or in memory if `file` is empty. Throws
  // StorageServerError if the file or the memory is not available.
  BlockDevice(std::uint64_t size, std::uint64_t seed, const std::string& file = "");
  ~BlockDevice();
  BlockDevice(const BlockDevice&) = delete;
  BlockDevice& operator=(const BlockDevice&) = delete;

  std::uint64_t size() const { return size_; }
  // Reads a range. The result is shorter than `length` if the range goes past the end.
  std::string Read(std::uint64_t offset, std::uint32_t length) const;
  // Writes into the cache, or through it with `fua` (force unit access). Throws std::out_of_range if the
  // range goes past the end.
  void Write(std::uint64_t offset, const std::string& data, bool fua);
  // Makes all writes durable.
  void Flush() { cached_writes_.clear(); }
  // Makes only the writes up to `mark` durable, as a device may do that received the flush when Mark was
  // called.
  void Flush(std::uint64_t mark);
  // Returns the number of the latest write.
  std::uint64_t Mark() const { return write_count_; }

  // Simulates a power cut: each sector of the writes since the last flush is durable or lost at random,
  // independent of the order of the writes.
  void Crash();
  // Simulates a power cut during an unacknowledged write: some of its sectors are written, at random.
  void CrashInside(std::uint64_t offset, const std::string& data);

  // Flips `bits` bits of the stored data within the range.
  void Flip(std::uint64_t offset, std::uint32_t length, int bits);
  // Returns the content before the last write to each sector of the range, or the current content of sectors
  // without a recorded write.
  std::string Before(std::uint64_t offset, std::uint32_t length) const;
  // Starts to record the content that each write replaces, for Before. Uses as much memory as the size of the
  // written ranges.
  void KeepHistory() { records_history_ = true; }

  // Returns the generator of all random decisions about this device.
  pcg64& random() { return random_; }
  // Draws a number below `bound`. Returns 0 for a bound of 0, without a draw.
  std::uint64_t Draw(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }

 private:
  // A write since the last flush, with the content that it replaced.
  struct CachedWrite {
    std::uint64_t number = 0;
    std::uint64_t offset = 0;
    std::string before;
  };

  // Returns the bytes of a range, truncated at the end of the device.
  std::string Copy(std::uint64_t offset, std::uint64_t length) const;
  void Store(std::uint64_t offset, std::string_view bytes);
  void Revert(const CachedWrite& write);

  std::uint64_t size_;
  void* memory_ = nullptr;  // the mapping of the file, or anonymous
  std::vector<CachedWrite> cached_writes_;
  std::map<std::uint64_t, std::string> history_;  // previous content by the sector's offset
  std::uint64_t write_count_ = 0;
  bool records_history_ = false;
  pcg64 random_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_BLOCK_DEVICE_H_

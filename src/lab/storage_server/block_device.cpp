#include "lab/storage_server/block_device.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "lab/storage_server/corruption_kind.h"
#include "lab/storage_server/error.h"

namespace walnutspur::lab {
namespace {

constexpr mode_t kFileMode = 0640;
constexpr int kNoFile = -1;

std::size_t MappedBytes(std::uint64_t size) { return std::max<std::uint64_t>(size, 1); }

// Opens or creates the file, sets its size to `size` bytes and returns its descriptor.
int OpenFile(const std::string& file, std::uint64_t size) {
  const int fd = open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (fd >= 0 && ftruncate(fd, static_cast<off_t>(size)) == 0) {
    return fd;
  }
  const std::string reason = std::strerror(errno);
  if (fd >= 0) {
    close(fd);
  }
  throw StorageServerError("cannot open the device file " + file + ": " + reason);
}

// Calls `call(start, length)` with the part of each sector that lies in the range; `start` is relative to
// the offset of the range.
template <typename Call>
void ForEachSectorPart(std::uint64_t offset, std::uint64_t size, Call call) {
  for (std::uint64_t start = 0; start < size;) {
    const std::uint64_t sector_rest = kSectorBytes - (offset + start) % kSectorBytes;
    const std::uint64_t length = std::min(sector_rest, size - start);
    call(start, length);
    start += length;
  }
}

}  // namespace

BlockDevice::BlockDevice(std::uint64_t size, std::uint64_t seed, const std::string& file)
    : size_(size), random_(seed) {
  const int fd = file.empty() ? kNoFile : OpenFile(file, size);
  const int flags = fd == kNoFile ? MAP_PRIVATE | MAP_ANONYMOUS : MAP_SHARED;
  memory_ = mmap(nullptr, MappedBytes(size), PROT_READ | PROT_WRITE, flags, fd, 0);
  if (fd != kNoFile) {
    close(fd);
  }
  if (memory_ == MAP_FAILED) {
    throw StorageServerError("cannot map memory for a block device, size in bytes: " + std::to_string(size));
  }
}

BlockDevice::~BlockDevice() { munmap(memory_, MappedBytes(size_)); }

std::string BlockDevice::Copy(std::uint64_t offset, std::uint64_t length) const {
  if (offset >= size_) {
    return "";
  }
  return {static_cast<const char*>(memory_) + offset, std::min(length, size_ - offset)};
}

void BlockDevice::Store(std::uint64_t offset, std::string_view bytes) {
  std::memcpy(static_cast<char*>(memory_) + offset, bytes.data(), bytes.size());
}

std::string BlockDevice::Read(std::uint64_t offset, std::uint32_t length) const {
  return Copy(offset, length);
}

void BlockDevice::Write(std::uint64_t offset, const std::string& data, bool fua) {
  if (offset + data.size() > size_) {
    throw std::out_of_range("write past the end of the block device");
  }
  ++write_count_;
  if (!fua) {
    cached_writes_.push_back({write_count_, offset, Copy(offset, data.size())});
  }
  if (records_history_) {
    const std::uint64_t first_sector = offset / kSectorBytes * kSectorBytes;
    for (std::uint64_t sector = first_sector; sector < offset + data.size(); sector += kSectorBytes) {
      history_[sector] = Copy(sector, kSectorBytes);
    }
  }
  Store(offset, data);
}

void BlockDevice::Flush(std::uint64_t mark) {
  std::erase_if(cached_writes_, [&](const CachedWrite& write) { return write.number <= mark; });
}

// Reverts the writes from the newest to the oldest, because each holds the content that the previous write
// left.
void BlockDevice::Crash() {
  while (!cached_writes_.empty()) {
    Revert(cached_writes_.back());
    cached_writes_.pop_back();
  }
}

void BlockDevice::Revert(const CachedWrite& write) {
  enum class Fate { kNoneDurable, kAllDurable, kBySector };
  const auto fate = static_cast<Fate>(Draw(3));
  const std::string_view before = write.before;
  ForEachSectorPart(write.offset, write.before.size(), [&](std::uint64_t start, std::uint64_t length) {
    if (fate == Fate::kNoneDurable || (fate == Fate::kBySector && Draw(2) == 0)) {
      Store(write.offset + start, before.substr(start, length));
    }
  });
}

void BlockDevice::CrashInside(std::uint64_t offset, const std::string& data) {
  const std::string_view bytes = data;
  ForEachSectorPart(offset, data.size(), [&](std::uint64_t start, std::uint64_t length) {
    if (Draw(2) == 0) {
      Store(offset + start, bytes.substr(start, length));
    }
  });
}

void BlockDevice::Flip(std::uint64_t offset, std::uint32_t length, int bits) {
  std::string bytes = Copy(offset, length);
  FlipBits(&bytes, bits, &random_);
  Store(offset, bytes);
}

std::string BlockDevice::Before(std::uint64_t offset, std::uint32_t length) const {
  std::string out = Read(offset, length);
  for (const auto& [sector, before] : history_) {
    const std::uint64_t from = std::max(sector, offset);
    const std::uint64_t end = std::min(sector + before.size(), offset + out.size());
    if (from < end) {
      out.replace(from - offset, end - from, before, from - sector, end - from);
    }
  }
  return out;
}

}  // namespace walnutspur::lab

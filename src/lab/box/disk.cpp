#include "lab/box/disk.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <set>
#include <stdexcept>
#include <utility>

namespace walnutspur::lab {

const char* NameOf(Damage damage) {
  switch (damage) {
    case Damage::kFlipPath:
      return "flip-path";
    case Damage::kFlipRest:
      return "flip-rest";
    case Damage::kLost:
      return "lost";
    case Damage::kAstray:
      return "astray";
    case Damage::kStale:
      return "stale";
    case Damage::kTorn:
      return "torn";
  }
  return "";
}

void FlipBits(std::string* bytes, int bits, pcg64* random) {
  std::set<std::uint64_t> flipped;
  while (static_cast<int>(flipped.size()) < bits && flipped.size() < bytes->size() * 8) {
    const std::uint64_t bit = (*random)() % (bytes->size() * 8);
    if (flipped.insert(bit).second) {
      (*bytes)[bit / 8] ^= static_cast<char>(1 << bit % 8);
    }
  }
}

Disk::Disk(std::uint64_t size, std::uint64_t seed, const std::string& file) : size_(size), random_(seed) {
  int fd = -1;
  if (!file.empty()) {
    fd = open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
    if (fd < 0 || ftruncate(fd, static_cast<off_t>(size)) != 0) {
      const std::string why = std::strerror(errno);
      if (fd >= 0) {
        close(fd);
      }
      throw std::runtime_error("the disk's file " + file + ": " + why);
    }
  }
  const int flags = fd >= 0 ? MAP_SHARED : MAP_PRIVATE | MAP_ANONYMOUS;
  mapped_ = mmap(nullptr, std::max<std::uint64_t>(size, 1), PROT_READ | PROT_WRITE, flags, fd, 0);
  if (fd >= 0) {
    close(fd);
  }
  if (mapped_ == MAP_FAILED) {
    throw std::runtime_error("no memory for a disk of " + std::to_string(size));
  }
}

Disk::~Disk() { munmap(mapped_, std::max<std::uint64_t>(size_, 1)); }

std::string Disk::Part(std::uint64_t offset, std::uint64_t length) const {
  if (offset >= size_) {
    return "";
  }
  return {static_cast<const char*>(mapped_) + offset, std::min(length, size_ - offset)};
}

void Disk::Put(std::uint64_t offset, std::string_view bytes) {
  std::memcpy(static_cast<char*>(mapped_) + offset, bytes.data(), bytes.size());
}

std::string Disk::Read(std::uint64_t offset, std::uint32_t length) const { return Part(offset, length); }

void Disk::Write(std::uint64_t offset, const std::string& data, bool fua) {
  if (offset + data.size() > size_) {
    throw std::out_of_range("a write past the end of the disk");
  }
  ++writes_;
  if (!fua) {
    cached_.push_back({writes_, offset, Part(offset, data.size())});
  }
  if (keeps_) {
    for (std::uint64_t at = offset / kSector * kSector; at < offset + data.size(); at += kSector) {
      history_[at] = Part(at, kSector);
    }
  }
  Put(offset, data);
}

void Disk::Flush(std::uint64_t mark) {
  std::erase_if(cached_, [&](const Cached& write) { return write.number <= mark; });
}

// Undone from the newest to the oldest: what a later write has put there goes first.
void Disk::Crash() {
  for (auto write = cached_.rbegin(); write != cached_.rend(); ++write) {
    const int all = static_cast<int>(Draw(3));  // all of it lost, all there, or by the sector
    for (std::uint64_t at = 0; at < write->before.size();) {
      const std::uint64_t part =
          std::min<std::uint64_t>(kSector - (write->offset + at) % kSector, write->before.size() - at);
      if (all == 0 || (all == 2 && Draw(2) == 0)) {
        Put(write->offset + at, std::string_view(write->before).substr(at, part));
      }
      at += part;
    }
  }
  cached_.clear();
}

void Disk::CrashInside(std::uint64_t offset, const std::string& data) {
  for (std::uint64_t at = 0; at < data.size();) {
    const std::uint64_t part = std::min<std::uint64_t>(kSector - (offset + at) % kSector, data.size() - at);
    if (Draw(2) == 0) {
      Put(offset + at, std::string_view(data).substr(at, part));
    }
    at += part;
  }
}

void Disk::Flip(std::uint64_t offset, std::uint32_t length, int bits) {
  std::string part = Part(offset, length);
  FlipBits(&part, bits, &random_);
  Put(offset, part);
}

std::string Disk::Before(std::uint64_t offset, std::uint32_t length) const {
  std::string out = Read(offset, length);
  for (const auto& [at, before] : history_) {
    const std::uint64_t from = std::max(at, offset);
    const std::uint64_t to = std::min(at + before.size(), offset + out.size());
    if (from < to) {
      out.replace(from - offset, to - from, before, from - at, to - from);
    }
  }
  return out;
}

}  // namespace walnutspur::lab

#include "integrity/corruption_log.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "integrity/crc32c.h"
#include "integrity/little_endian.h"

namespace walnutspur::integrity {
namespace {

// The format, little-endian:
//   header   magic, u16 version, u16 spare, u32 entries, u32 dropped, u32 CRC32C of all other bytes
//   entry    target and remote (u32 length and bytes each), u64 block, u8 fault, u8 repaired, i64 first seen,
//            i64 last seen, u32 times, i32 path, u64 owner block
constexpr std::string_view kMagic = "WSPRLDG1";
constexpr std::uint16_t kFormatVersion = 1;
// Bytes of the header and of the checksum at its end.
constexpr std::size_t kHeaderBytes = 24;
constexpr std::size_t kChecksumBytes = 4;
// Bytes of a target's or an export's name; longer ones are rejected as corrupt.
constexpr std::size_t kMaxNameBytes = 4096;

class Writer {
 public:
  template <typename T>
  void Put(T value) {
    bytes.resize(bytes.size() + sizeof(T));
    StoreLittleEndian(value, bytes.data() + bytes.size() - sizeof(T));
  }
  void Put(const std::string& text) {
    Put(static_cast<std::uint32_t>(text.size()));
    bytes += text;
  }
  std::string bytes;
};

// Reads values one after the other; each Get returns false if too few bytes are left.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  template <typename T>
  bool Get(T* value) {
    if (bytes_.size() < sizeof(T)) {
      return false;
    }
    *value = LoadLittleEndian<T>(bytes_);
    bytes_.remove_prefix(sizeof(T));
    return true;
  }
  bool Get(std::string* text) {
    std::uint32_t size = 0;
    if (!Get(&size) || size > kMaxNameBytes || bytes_.size() < size) {
      return false;
    }
    *text = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return true;
  }
  bool done() const { return bytes_.empty(); }

 private:
  std::string_view bytes_;
};

struct Header {
  std::uint16_t version = kFormatVersion;
  std::uint16_t spare = 0;
  std::uint32_t entries = 0;
  std::uint32_t dropped = 0;
  std::uint32_t checksum = 0;
};

struct LocatedEntry {
  BlockLocation location;
  CorruptionEntry entry;
};

void WriteEntry(Writer* out, const BlockLocation& location, const CorruptionEntry& entry) {
  out->Put(location.target);
  out->Put(location.remote);
  out->Put(location.block);
  out->Put(static_cast<std::uint8_t>(entry.fault));
  out->Put(static_cast<std::uint8_t>(entry.repaired));
  out->Put(entry.first_seen);
  out->Put(entry.last_seen);
  out->Put(entry.times);
  out->Put(static_cast<std::int32_t>(entry.path));
  out->Put(entry.owner_block);
}

std::optional<LocatedEntry> ReadEntry(Reader* in) {
  LocatedEntry read;
  BlockLocation& location = read.location;
  CorruptionEntry& entry = read.entry;
  std::uint8_t fault = 0;
  std::uint8_t repaired = 0;
  std::int32_t path = 0;
  const bool complete = in->Get(&location.target) && in->Get(&location.remote) && in->Get(&location.block) &&
                        in->Get(&fault) && in->Get(&repaired) && in->Get(&entry.first_seen) &&
                        in->Get(&entry.last_seen) && in->Get(&entry.times) && in->Get(&path) &&
                        in->Get(&entry.owner_block);
  if (!complete || fault >= kFaultCount) {
    return std::nullopt;
  }
  entry.fault = static_cast<Fault>(fault);
  entry.repaired = repaired != 0;
  entry.path = path;
  return read;
}

// Returns the header; `bytes` must have a complete one.
Header ReadHeader(std::string_view bytes) {
  Header header;
  Reader in(bytes.substr(kMagic.size(), kHeaderBytes - kMagic.size()));
  in.Get(&header.version);
  in.Get(&header.spare);
  in.Get(&header.entries);
  in.Get(&header.dropped);
  in.Get(&header.checksum);
  return header;
}

bool IsAtRest(Fault fault) {
  return fault != Fault::kPath && fault != Fault::kMemory && fault != Fault::kStaleRead;
}

bool IsDroppedBefore(const CorruptionEntry& a, const CorruptionEntry& b) {
  if (a.repaired != b.repaired) {
    return a.repaired;
  }
  return a.last_seen < b.last_seen;
}

}  // namespace

void CorruptionLog::EvictIfFull() {
  if (entries_.size() < max_entries_) {
    return;
  }
  const auto dropped = std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
    return IsDroppedBefore(a.second, b.second);
  });
  entries_.erase(dropped);
  ++dropped_;
}

void CorruptionLog::Record(const BlockLocation& location, const FaultAttribution& attribution,
                           std::int64_t now) {
  if (!entries_.contains(location)) {
    EvictIfFull();
  }
  CorruptionEntry& entry = entries_[location];
  if (entry.times == 0) {
    entry.first_seen = now;
  }
  entry.fault = attribution.fault;
  entry.last_seen = now;
  entry.path = attribution.path;
  entry.owner_block = attribution.owner_block;
  // After a transient fault the block itself is intact.
  entry.repaired = !IsAtRest(attribution.fault);
  ++entry.times;
  changed_ = true;
  if (attribution.fault == Fault::kMisdirectedWrite) {
    LinkMisdirectedWrite(location, attribution);
  } else if (attribution.fault == Fault::kLostWrite) {
    LinkLostWrite(location);
  }
}

// Changes the fault of the owner block from a lost to a misdirected write, since its content was found in
// another block.
void CorruptionLog::LinkMisdirectedWrite(const BlockLocation& location, const FaultAttribution& attribution) {
  const auto owner = entries_.find({location.target, location.remote, attribution.owner_block});
  if (owner == entries_.end()) {
    return;
  }
  CorruptionEntry& entry = owner->second;
  if (entry.fault == Fault::kLostWrite && !entry.repaired) {
    entry.fault = Fault::kMisdirectedWrite;
    entry.owner_block = attribution.owner_block;
  }
}

// Changes the fault of a block whose write looks lost to a misdirected write if another entry shows that the
// write reached another block.
void CorruptionLog::LinkLostWrite(const BlockLocation& location) {
  const bool was_misdirected = std::any_of(entries_.begin(), entries_.end(), [&](const auto& candidate) {
    const auto& [other, entry] = candidate;
    return entry.fault == Fault::kMisdirectedWrite && !entry.repaired &&
           entry.owner_block == location.block && other != location && other.target == location.target &&
           other.remote == location.remote;
  });
  if (was_misdirected) {
    CorruptionEntry& entry = entries_.at(location);
    entry.fault = Fault::kMisdirectedWrite;
    entry.owner_block = location.block;
  }
}

void CorruptionLog::MarkRepaired(const BlockLocation& location, std::int64_t now) {
  const auto found = entries_.find(location);
  if (found == entries_.end() || found->second.repaired) {
    return;
  }
  found->second.repaired = true;
  found->second.last_seen = now;
  changed_ = true;
}

const CorruptionEntry* CorruptionLog::Find(const BlockLocation& location) const {
  const auto found = entries_.find(location);
  return found == entries_.end() ? nullptr : &found->second;
}

bool CorruptionLog::IsCorrupt(const BlockLocation& location) const {
  const CorruptionEntry* entry = Find(location);
  return entry != nullptr && !entry->repaired;
}

std::size_t CorruptionLog::corrupt_count() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(),
                                                [](const auto& entry) { return !entry.second.repaired; }));
}

std::string CorruptionLog::Encode() {
  Writer body;
  for (const auto& [location, entry] : entries_) {
    WriteEntry(&body, location, entry);
  }
  Writer header;
  header.bytes = kMagic;
  header.Put(kFormatVersion);
  header.Put(Header().spare);
  header.Put(static_cast<std::uint32_t>(entries_.size()));
  const std::uint64_t max_dropped = std::numeric_limits<std::uint32_t>::max();
  header.Put(static_cast<std::uint32_t>(std::min(dropped_, max_dropped)));
  header.Put(Crc32c(body.bytes, Crc32c(header.bytes)));
  changed_ = false;
  return header.bytes + body.bytes;
}

bool CorruptionLog::Decode(std::string_view bytes, std::string* error) {
  const auto reject = [&](std::string message) {
    *error = std::move(message);
    return false;
  };
  if (bytes.size() < kHeaderBytes || bytes.substr(0, kMagic.size()) != kMagic) {
    return reject("is not a corruption log");
  }
  const Header header = ReadHeader(bytes);
  if (header.version > kFormatVersion) {
    return reject("has format version " + std::to_string(header.version) +
                  "; this program supports versions up to " + std::to_string(kFormatVersion));
  }
  const std::string_view body = bytes.substr(kHeaderBytes);
  if (Crc32c(body, Crc32c(bytes.substr(0, kHeaderBytes - kChecksumBytes))) != header.checksum) {
    return reject("is truncated or corrupt: its checksum does not match");
  }
  Reader in(body);
  std::map<BlockLocation, CorruptionEntry> entries;
  for (std::uint32_t i = 0; i < header.entries; ++i) {
    const auto read = ReadEntry(&in);
    if (!read) {
      return reject("has an entry that cannot be decoded");
    }
    entries[read->location] = read->entry;
  }
  if (!in.done()) {
    return reject("has more bytes than its number of entries accounts for");
  }
  entries_ = std::move(entries);
  dropped_ = header.dropped;
  while (entries_.size() > max_entries_) {
    EvictIfFull();
  }
  changed_ = false;
  return true;
}

}  // namespace walnutspur::integrity

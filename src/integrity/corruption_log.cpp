#include "integrity/ledger.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <utility>

#include "filestore/atomic_file.h"
#include "integrity/crc32c.h"

namespace walnutspur::integrity {
namespace {

constexpr std::string_view kMagic = "WSPRLDG1";
constexpr std::uint16_t kLedgerVersion = 1;
constexpr std::size_t kHead = 24;  // magic, version, count, sum
constexpr std::size_t kMostName = 4096;
constexpr int kFaults = 8;

class Writer {
 public:
  template <typename T>
  void Put(T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff));
    }
  }
  void Put(const std::string& text) {
    Put(static_cast<std::uint32_t>(text.size()));
    out += text;
  }
  std::string out;
};

class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  template <typename T>
  bool Get(T* value) {
    if (in_.size() < sizeof(T)) {
      return false;
    }
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(in_[i])) << (8 * i);
    }
    in_.remove_prefix(sizeof(T));
    *value = static_cast<T>(bits);
    return true;
  }
  bool Get(std::string* text) {
    std::uint32_t size = 0;
    if (!Get(&size) || size > kMostName || in_.size() < size) {
      return false;
    }
    *text = in_.substr(0, size);
    in_.remove_prefix(size);
    return true;
  }
  bool done() const { return in_.empty(); }

 private:
  std::string_view in_;
};

bool AtRest(Fault fault) {
  return fault != Fault::kPath && fault != Fault::kMemory && fault != Fault::kStale;
}

}  // namespace

void Ledger::MakeRoom() {
  if (entries_.size() < most_) {
    return;
  }
  // What is mended goes first, then what was seen the longest ago.
  const auto least = std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
    return std::pair(!a.second.mended, a.second.last) < std::pair(!b.second.mended, b.second.last);
  });
  entries_.erase(least);
  ++dropped_;
}

void Ledger::Note(const Place& place, const Verdict& verdict, std::int64_t now) {
  if (!entries_.contains(place)) {
    MakeRoom();
  }
  Entry& entry = entries_[place];
  if (entry.times == 0) {
    entry.first = now;
  }
  entry.fault = verdict.fault;
  entry.last = now;
  entry.path = verdict.path;
  entry.belongs_to = verdict.belongs_to;
  // A path or an old answer has passed by; the block itself is whole.
  entry.mended = !AtRest(verdict.fault);
  ++entry.times;
  changed_ = true;
  if (verdict.fault == Fault::kAstray) {
    const auto other = entries_.find({place.box, place.remote, verdict.belongs_to});
    if (other != entries_.end() && other->second.fault == Fault::kLost && !other->second.mended) {
      other->second.fault = Fault::kAstray;
      other->second.belongs_to = verdict.belongs_to;
    }
  } else if (verdict.fault == Fault::kLost) {
    for (const auto& [at, other] : entries_) {
      if (other.fault != Fault::kAstray || other.mended || other.belongs_to != place.block || at == place) {
        continue;
      }
      if (at.box != place.box || at.remote != place.remote) {
        continue;
      }
      entry.fault = Fault::kAstray;
      entry.belongs_to = place.block;
      break;
    }
  }
}

void Ledger::Mend(const Place& place, std::int64_t now) {
  const auto at = entries_.find(place);
  if (at == entries_.end() || at->second.mended) {
    return;
  }
  at->second.mended = true;
  at->second.last = now;
  changed_ = true;
}

const Entry* Ledger::Find(const Place& place) const {
  const auto at = entries_.find(place);
  return at == entries_.end() ? nullptr : &at->second;
}

bool Ledger::IsBad(const Place& place) const {
  const Entry* entry = Find(place);
  return (entry != nullptr) && !entry->mended;
}

std::size_t Ledger::bad() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto& e) { return !e.second.mended; }));
}

std::string Ledger::Encode() {
  Writer body;
  for (const auto& [place, entry] : entries_) {
    body.Put(place.box);
    body.Put(place.remote);
    body.Put(place.block);
    body.Put(static_cast<std::uint8_t>(entry.fault));
    body.Put(static_cast<std::uint8_t>(entry.mended));
    body.Put(entry.first);
    body.Put(entry.last);
    body.Put(entry.times);
    body.Put(static_cast<std::int32_t>(entry.path));
    body.Put(entry.belongs_to);
  }
  Writer head;
  head.out = kMagic;
  head.Put(kLedgerVersion);
  head.Put(std::uint16_t{0});
  head.Put(static_cast<std::uint32_t>(entries_.size()));
  head.Put(dropped_ > 0xffffffff ? 0xffffffffu : static_cast<std::uint32_t>(dropped_));
  head.Put(Crc32c(body.out, Crc32c(head.out)));
  changed_ = false;
  return head.out + body.out;
}

bool Ledger::Decode(std::string_view bytes, std::string* what) {
  const auto refuse = [&](std::string why) {
    *what = std::move(why);
    return false;
  };
  if (bytes.size() < kHead || bytes.substr(0, kMagic.size()) != kMagic) {
    return refuse("is no damage ledger");
  }
  std::uint16_t version = 0;
  std::uint16_t spare = 0;
  std::uint32_t count = 0;
  std::uint32_t dropped = 0;
  std::uint32_t sum = 0;
  Reader head(bytes.substr(kMagic.size(), kHead - kMagic.size()));
  head.Get(&version);
  head.Get(&spare);
  head.Get(&count);
  head.Get(&dropped);
  head.Get(&sum);
  if (version > kLedgerVersion) {
    return refuse("is of version " + std::to_string(version) + "; known are versions up to " +
                  std::to_string(kLedgerVersion));
  }
  if (Crc32c(bytes.substr(kHead), Crc32c(bytes.substr(0, kHead - 4))) != sum) {
    return refuse("is cut off or damaged: its checksum does not fit");
  }
  Reader body(bytes.substr(kHead));
  std::map<Place, Entry> entries;
  for (std::uint32_t i = 0; i < count; ++i) {
    Place place;
    Entry entry;
    std::uint8_t fault = 0;
    std::uint8_t mended = 0;
    std::int32_t path = 0;
    if (!body.Get(&place.box) || !body.Get(&place.remote) || !body.Get(&place.block) || !body.Get(&fault) ||
        !body.Get(&mended) || !body.Get(&entry.first) || !body.Get(&entry.last) || !body.Get(&entry.times) ||
        !body.Get(&path) || !body.Get(&entry.belongs_to) || fault >= kFaults) {
      return refuse("holds an entry that cannot be read");
    }
    entry.fault = static_cast<Fault>(fault);
    entry.mended = mended != 0;
    entry.path = path;
    entries[place] = entry;
  }
  if (!body.done()) {
    return refuse("holds more than it says");
  }
  entries_ = std::move(entries);
  dropped_ = dropped;
  while (entries_.size() > most_) {
    MakeRoom();
  }
  changed_ = false;
  return true;
}

// ---- the file ----

LedgerFile::Found LedgerFile::Load(Ledger* ledger, std::string* what) {
  const std::optional<std::string> bytes = filestore::ReadWholeFile(path());
  if (!bytes) {
    return Found::kNone;
  }
  std::string why;
  if (ledger->Decode(*bytes, &why)) {
    return Found::kRead;
  }
  *what = path() + " " + why;
  refused_ = true;
  return Found::kRefused;
}

bool LedgerFile::Write(const std::string& bytes, std::string* what) {
  if (refused_) {
    std::rename(path().c_str(), (path() + ".refused").c_str());
    refused_ = false;
  }
  return filestore::WriteFileAtomically(folder_, kName, bytes, what);
}

}  // namespace walnutspur::integrity

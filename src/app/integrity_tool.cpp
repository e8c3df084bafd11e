#include "app/integrity_tool.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <ctime>
#include <optional>
#include <random>
#include <set>
#include <string_view>

#include "app/control.h"
#include "app/errors.h"
#include "integrity/layout.h"
#include "integrity/ledger.h"
#include "nbd/blocking_client.h"

namespace walnutspur::app {
namespace {

using integrity::kBlock;
using integrity::Superblock;
using integrity::SuperRead;
using integrity::SuperState;

constexpr std::uint32_t kReadBytes = 256 << 10;  // of one read or write
constexpr std::uint64_t kTagBlockSlots = 2;      // copies of a tag block, written in turn
constexpr std::uint64_t kSuperblockCopies = 2;   // the last blocks of the export
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr int kRandomBits = 32;  // of one draw from the device
constexpr std::string_view kErrorPrefix = "error: ";

std::string ReadRange(nbd::BlockingClient& client, std::uint64_t offset, std::uint64_t length) {
  std::string data;
  while (data.size() < length) {
    const auto size = static_cast<std::uint32_t>(std::min<std::uint64_t>(kReadBytes, length - data.size()));
    const nbd::Reply reply = client.Read(offset + data.size(), size);
    if (reply.error != nbd::kOk) {
      throw IntegrityToolError("the box cannot read " + std::to_string(size) + " bytes at " +
                               std::to_string(offset + data.size()));
    }
    data += nbd::DataOf(reply);
  }
  return data;
}

SuperRead ReadSuperblock(nbd::BlockingClient& client) {
  const std::uint64_t blocks = client.size() / kBlock;
  if (blocks <= kSuperblockCopies) {
    throw IntegrityToolError("the export is smaller than its reserved region");
  }
  const std::string data =
      ReadRange(client, (blocks - kSuperblockCopies) * kBlock, kSuperblockCopies * kBlock);
  const std::string_view copies = data;
  return ChooseSuper(integrity::DecodeSuper(copies.substr(0, kBlock), client.size()),
                     integrity::DecodeSuper(copies.substr(kBlock), client.size()));
}

// The superblock of a formatted export; throws if it is not formatted.
Superblock RequireSuperblock(nbd::BlockingClient& client) {
  const SuperRead read = ReadSuperblock(client);
  if (read.state != SuperState::kWhole) {
    throw IntegrityToolError(read.what);
  }
  return read.super;
}

std::string FormatTime(std::int64_t us) {
  const std::time_t seconds = us / kMicrosPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text.data();
}

// The blocks whose newest content is in the journal: their place may hold any older content.
std::set<std::uint64_t> BlocksInJournal(nbd::BlockingClient& client, const Superblock& super) {
  const std::string data = ReadRange(client, super.geometry.journal_at, super.geometry.journal_size);
  const std::string_view journal = data;
  std::set<std::uint64_t> blocks;
  std::uint64_t position = super.tail_at;
  std::uint64_t sequence = super.tail_sequence;
  std::uint64_t used = 0;
  while (used < journal.size()) {
    const std::string_view record = journal.substr(position);
    const auto head = integrity::DecodeHead(record, super.export_id);
    if (!head || head->sequence != sequence || head->epoch < super.tail_epoch || head->size > record.size() ||
        !DataFits(*head, record, super.export_id)) {
      break;
    }
    for (std::size_t i = 0; i < head->blocks.size(); ++i) {
      blocks.insert(head->first + i);
    }
    used += head->size;
    position = (position + head->size) % journal.size();
    ++sequence;
  }
  return blocks;
}

// Throws unless the export may be formatted.
void CheckFormattable(const SuperRead& existing, bool force) {
  if (existing.state == SuperState::kNewer) {
    throw IntegrityToolError(existing.what);
  }
  if (existing.state == SuperState::kNone || force) {
    return;
  }
  if (existing.state == SuperState::kWhole) {
    throw IntegrityToolError(
        "the export is formatted already; --force formats it anew, and all data is lost");
  }
  throw IntegrityToolError(existing.what + "; --force formats it nevertheless");
}

// Performs one step of formatting. Returns whether it has succeeded.
bool Perform(nbd::BlockingClient& client, const integrity::Io& step) {
  const nbd::Reply reply =
      step.kind == integrity::IoKind::kFlush ? client.Flush() : client.Write(step.offset, step.data);
  if (reply.error != nbd::kOk) {
    return false;
  }
  return !step.fua || client.Flush().error == nbd::kOk;  // the client has no FUA
}

// Verifies the blocks of an export, one tag block after the other.
class Verifier {
 public:
  Verifier(nbd::BlockingClient* client, std::FILE* out)
      : client_(*client),
        out_(out),
        super_(RequireSuperblock(client_)),
        in_journal_(BlocksInJournal(client_, super_)) {}

  void VerifyAll() {
    for (std::uint64_t index = 0; index < super_.geometry.tag_blocks; ++index) {
      VerifyTagBlock(index);
    }
  }

  void PrintSummary() const {
    std::fprintf(out_, "%" PRIu64 " good, %" PRIu64 " empty or in the journal, %" PRIu64 " damaged\n", good_,
                 skipped_, bad_);
  }

  std::uint64_t bad() const { return bad_; }

 private:
  // The newer intact slot of a tag block, if there is one.
  std::optional<integrity::TagBlock> ReadTags(std::uint64_t index) {
    const std::string data = ReadRange(client_, super_.geometry.SlotAt(index, 0), kTagBlockSlots * kBlock);
    const std::string_view slots = data;
    auto first = integrity::DecodeTags(slots.substr(0, kBlock), super_.export_id, index);
    auto second = integrity::DecodeTags(slots.substr(kBlock), super_.export_id, index);
    if (!first || !second) {
      std::fprintf(out_, "tag block %" PRIu64 ": a slot is damaged\n", index);
    }
    const bool second_is_newer = !first || (second && second->version > first->version);
    return second_is_newer ? second : first;
  }

  void VerifyTagBlock(std::uint64_t index) {
    const std::uint64_t first = index * integrity::kTagsPerBlock;
    const std::uint64_t count =
        std::min<std::uint64_t>(integrity::kTagsPerBlock, super_.geometry.blocks - first);
    const std::optional<integrity::TagBlock> tags = ReadTags(index);
    if (!tags) {
      bad_ += count;
      return;
    }
    const std::string content = ReadRange(client_, first * kBlock, count * kBlock);
    const std::string_view data = content;
    for (std::uint64_t i = 0; i < count; ++i) {
      VerifyBlock(first + i, tags->tags[i], data.substr(i * kBlock, kBlock));
    }
  }

  void VerifyBlock(std::uint64_t block, const integrity::Tag& tag, std::string_view data) {
    const bool known = tag.generation != integrity::kUnknown;
    if (in_journal_.contains(block) || (IsHole(tag) && known)) {
      ++skipped_;
      return;
    }
    const std::uint32_t sum = integrity::DataSum(data);
    if (known && integrity::TagSum(sum, super_.export_id, block, tag.generation) == tag.sum) {
      ++good_;
      return;
    }
    ++bad_;
    std::fprintf(out_, "block %" PRIu64 ": damaged\n", block);
  }

  nbd::BlockingClient& client_;
  std::FILE* out_;
  Superblock super_;
  std::set<std::uint64_t> in_journal_;
  std::uint64_t good_ = 0;
  std::uint64_t skipped_ = 0;  // never written, or newest content in the journal
  std::uint64_t bad_ = 0;
};

void PrintEntry(const integrity::Place& place, const integrity::Entry& entry, std::FILE* out) {
  std::fprintf(out, "%s %s block %" PRIu64 " %s%s first %s last %s times %u", place.box.c_str(),
               place.remote.c_str(), place.block, NameOf(entry.fault), entry.mended ? " mended" : "",
               FormatTime(entry.first).c_str(), FormatTime(entry.last).c_str(), entry.times);
  if (entry.path >= 0) {
    std::fprintf(out, " path %d", entry.path);
  }
  if (entry.fault == integrity::Fault::kAstray) {
    std::fprintf(out, " of %" PRIu64, entry.belongs_to);
  }
  std::fprintf(out, "\n");
}

void LoadLedger(const std::string& folder, integrity::Ledger* ledger) {
  std::string what;
  integrity::LedgerFile file(folder);
  switch (file.Load(ledger, &what)) {
    case integrity::LedgerFile::Found::kNone:
      throw IntegrityToolError("there is no " + file.path());
    case integrity::LedgerFile::Found::kRefused:
      throw IntegrityToolError(what);
    case integrity::LedgerFile::Found::kRead:
      break;
  }
}

}  // namespace

int Format(const IntegrityOptions& options, std::FILE* out) {
  nbd::BlockingClient client(options.address, options.remote);
  CheckFormattable(ReadSuperblock(client), options.force);
  std::random_device device;
  const std::uint64_t id = static_cast<std::uint64_t>(device()) << kRandomBits | device();
  for (const integrity::Io& step : integrity::FormatPlan(client.size(), options.journal, id, kReadBytes)) {
    if (!Perform(client, step)) {
      throw IntegrityToolError("the box did not write at " + std::to_string(step.offset) +
                               ": nothing is formatted");
    }
  }
  const Superblock super = RequireSuperblock(client);
  std::fprintf(out,
               "formatted: id %016" PRIx64 ", %" PRIu64 " bytes for clients of %" PRIu64 ", journal %" PRIu64
               "\n",
               super.export_id, super.geometry.data_size(), client.size(), super.geometry.journal_size);
  return 0;
}

int ShowSuperblock(const IntegrityOptions& options, std::FILE* out) {
  nbd::BlockingClient client(options.address, options.remote);
  const Superblock super = RequireSuperblock(client);
  std::fprintf(out,
               "id %016" PRIx64 "\nversion %d\nblocks %" PRIu64 "\njournal %" PRIu64 "\nepoch %" PRIu64
               "\ntail %" PRIu64 " at %" PRIu64 "\n",
               super.export_id, super.version, super.geometry.blocks, super.geometry.journal_size,
               super.epoch, super.tail_sequence, super.tail_at);
  return 0;
}

int Verify(const IntegrityOptions& options, std::FILE* out) {
  nbd::BlockingClient client(options.address, options.remote);
  Verifier verifier(&client, out);
  verifier.VerifyAll();
  verifier.PrintSummary();
  return verifier.bad() == 0 ? 0 : 1;
}

int SendCommand(const IntegrityOptions& options, std::FILE* out) {
  std::string line;
  for (const std::string& word : options.words) {
    line += (line.empty() ? "" : " ") + word;
  }
  const std::string response = SendControlCommand(ControlPath(options.folder), line);
  if (response.starts_with(kErrorPrefix)) {
    const std::size_t begin = kErrorPrefix.size();
    throw IntegrityToolError(response.substr(begin, response.find('\n') - begin));
  }
  std::fputs(response.c_str(), out);
  return 0;
}

int ShowLedger(const IntegrityOptions& options, std::FILE* out) {
  integrity::Ledger ledger;
  LoadLedger(options.folder, &ledger);
  for (const auto& [place, entry] : ledger.entries()) {
    PrintEntry(place, entry, out);
  }
  std::fprintf(out, "%zu damaged, %zu in all, %" PRIu64 " dropped\n", ledger.bad(), ledger.entries().size(),
               ledger.dropped());
  return ledger.bad() == 0 ? 0 : 1;
}

}  // namespace walnutspur::app

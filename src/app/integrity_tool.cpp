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
#include "integrity/corruption_log_file.h"
#include "integrity/format.h"
#include "integrity/layout.h"
#include "nbd/blocking_client.h"

namespace walnutspur::app {
namespace {

using integrity::DecodedSuperblock;
using integrity::kBlockBytes;
using integrity::Superblock;
using integrity::SuperblockState;

// Bytes of one read or write.
constexpr std::uint32_t kReadBytes = 256 << 10;

// Number of copies of a tag block, which are written alternately.
constexpr std::uint64_t kTagBlockSlots = 2;

// Number of copies of the superblock, which are the last blocks of the export.
constexpr std::uint64_t kSuperblockCopies = 2;

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

// Number of bits that one call of the random device returns.
constexpr int kRandomBits = 32;
constexpr std::string_view kErrorPrefix = "error: ";

std::string ReadRange(nbd::BlockingClient& client, std::uint64_t offset, std::uint64_t length) {
  std::string data;
  while (data.size() < length) {
    const auto size = static_cast<std::uint32_t>(std::min<std::uint64_t>(kReadBytes, length - data.size()));
    const nbd::Reply reply = client.Read(offset + data.size(), size);
    if (reply.error != nbd::kOk) {
      throw IntegrityToolError("the target cannot read " + std::to_string(size) + " bytes at offset " +
                               std::to_string(offset + data.size()) + ": NBD error " +
                               std::to_string(reply.error));
    }
    data += nbd::DataOf(reply);
  }
  return data;
}

DecodedSuperblock ReadSuperblock(nbd::BlockingClient& client) {
  const std::uint64_t blocks = client.size() / kBlockBytes;
  if (blocks <= kSuperblockCopies) {
    throw IntegrityToolError("the export has " + std::to_string(client.size()) +
                             " bytes, too few for its superblocks");
  }
  const std::string data =
      ReadRange(client, (blocks - kSuperblockCopies) * kBlockBytes, kSuperblockCopies * kBlockBytes);
  const std::string_view copies = data;
  return ChooseSuperblock(integrity::DecodeSuperblock(copies.substr(0, kBlockBytes), client.size()),
                          integrity::DecodeSuperblock(copies.substr(kBlockBytes), client.size()));
}

// Returns the superblock of an export. Throws IntegrityToolError if the export is not formatted.
Superblock RequireSuperblock(nbd::BlockingClient& client) {
  const DecodedSuperblock read = ReadSuperblock(client);
  if (read.state != SuperblockState::kValid) {
    throw IntegrityToolError(read.error);
  }
  return read.superblock;
}

std::string FormatTime(std::int64_t us) {
  const std::time_t seconds = us / kMicrosPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text.data();
}

// Returns the blocks whose newest content is in the journal. Their place in the data region may hold any
// older content.
std::set<std::uint64_t> BlocksInJournal(nbd::BlockingClient& client, const Superblock& super) {
  const std::string data = ReadRange(client, super.geometry.journal_offset, super.geometry.journal_size);
  const std::string_view journal = data;
  std::set<std::uint64_t> blocks;
  std::uint64_t position = super.tail_offset;
  std::uint64_t sequence = super.tail_sequence;
  std::uint64_t used = 0;
  while (used < journal.size()) {
    const std::string_view record = journal.substr(position);
    const auto head = integrity::DecodeRecordHeader(record, super.export_id);
    if (!head || head->sequence != sequence || head->epoch < super.tail_epoch || head->size > record.size() ||
        !RecordDataMatches(*head, record, super.export_id)) {
      break;
    }
    for (std::size_t i = 0; i < head->blocks.size(); ++i) {
      blocks.insert(head->first_block + i);
    }
    used += head->size;
    position = (position + head->size) % journal.size();
    ++sequence;
  }
  return blocks;
}

// Throws unless the export may be formatted.
void CheckFormattable(const DecodedSuperblock& existing, bool force) {
  if (existing.state == SuperblockState::kNewer) {
    throw IntegrityToolError(existing.error);
  }
  if (existing.state == SuperblockState::kMissing || force) {
    return;
  }
  if (existing.state == SuperblockState::kValid) {
    throw IntegrityToolError(
        "the export is already formatted; --force formats it again and erases all of its data");
  }
  throw IntegrityToolError(existing.error + "; --force formats the export anyway");
}

// Performs one step of formatting. Returns whether it succeeded.
bool PerformStep(nbd::BlockingClient& client, const integrity::IoRequest& step) {
  const nbd::Reply reply =
      step.kind == integrity::IoKind::kFlush ? client.Flush() : client.Write(step.offset, step.data);
  if (reply.error != nbd::kOk) {
    return false;
  }
  return !step.fua || client.Flush().error == nbd::kOk;  // the client does not support FUA
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
                 skipped_, corrupted_);
  }

  std::uint64_t corrupted() const { return corrupted_; }

 private:
  // Returns the newer valid slot of a tag block, or nullopt if no slot is valid.
  std::optional<integrity::TagBlock> ReadTags(std::uint64_t index) {
    const std::string data =
        ReadRange(client_, super_.geometry.SlotOffset(index, 0), kTagBlockSlots * kBlockBytes);
    const std::string_view slots = data;
    auto first = integrity::DecodeTagBlock(slots.substr(0, kBlockBytes), super_.export_id, index);
    auto second = integrity::DecodeTagBlock(slots.substr(kBlockBytes), super_.export_id, index);
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
      corrupted_ += count;
      return;
    }
    const std::string content = ReadRange(client_, first * kBlockBytes, count * kBlockBytes);
    const std::string_view data = content;
    for (std::uint64_t i = 0; i < count; ++i) {
      VerifyBlock(first + i, tags->tags[i], data.substr(i * kBlockBytes, kBlockBytes));
    }
  }

  void VerifyBlock(std::uint64_t block, const integrity::Tag& tag, std::string_view data) {
    const bool known = tag.generation != integrity::kUnknownGeneration;
    if (in_journal_.contains(block) || (IsHole(tag) && known)) {
      ++skipped_;
      return;
    }
    const std::uint32_t sum = integrity::DataSum(data);
    if (known && integrity::TagSum(sum, super_.export_id, block, tag.generation) == tag.sum) {
      ++good_;
      return;
    }
    ++corrupted_;
    std::fprintf(out_, "block %" PRIu64 ": damaged\n", block);
  }

  nbd::BlockingClient& client_;
  std::FILE* out_;
  Superblock super_;
  std::set<std::uint64_t> in_journal_;
  std::uint64_t good_ = 0;
  std::uint64_t skipped_ = 0;  // never written, or newest content in the journal
  std::uint64_t corrupted_ = 0;
};

void PrintEntry(const integrity::BlockLocation& location, const integrity::CorruptionEntry& entry,
                std::FILE* out) {
  std::fprintf(out, "%s %s block %" PRIu64 " %s%s first %s last %s times %u", location.target.c_str(),
               location.remote.c_str(), location.block, NameOf(entry.fault), entry.repaired ? " mended" : "",
               FormatTime(entry.first_seen).c_str(), FormatTime(entry.last_seen).c_str(), entry.times);
  if (entry.path >= 0) {
    std::fprintf(out, " path %d", entry.path);
  }
  if (entry.fault == integrity::Fault::kMisdirectedWrite) {
    std::fprintf(out, " of %" PRIu64, entry.owner_block);
  }
  std::fprintf(out, "\n");
}

void LoadCorruptionLog(const std::string& folder, integrity::CorruptionLog* corruption_log) {
  std::string error;
  integrity::CorruptionLogFile file(folder);
  switch (file.Load(corruption_log, &error)) {
    case integrity::CorruptionLogFile::LoadResult::kMissing:
      throw IntegrityToolError("corruption log file " + file.path() + " does not exist");
    case integrity::CorruptionLogFile::LoadResult::kRejected:
      throw IntegrityToolError(error);
    case integrity::CorruptionLogFile::LoadResult::kLoaded:
      break;
  }
}

}  // namespace

int Format(const IntegrityOptions& options, std::FILE* out) {
  nbd::BlockingClient client(options.address, options.export_name);
  CheckFormattable(ReadSuperblock(client), options.force);
  std::random_device device;
  const std::uint64_t id = static_cast<std::uint64_t>(device()) << kRandomBits | device();
  for (const integrity::IoRequest& step :
       integrity::FormatPlan(client.size(), options.journal_bytes, id, kReadBytes)) {
    if (!PerformStep(client, step)) {
      throw IntegrityToolError("the target failed a write or flush at offset " + std::to_string(step.offset) +
                               "; the export is not formatted");
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
  nbd::BlockingClient client(options.address, options.export_name);
  const Superblock super = RequireSuperblock(client);
  std::fprintf(out,
               "id %016" PRIx64 "\nversion %d\nblocks %" PRIu64 "\njournal %" PRIu64 "\nepoch %" PRIu64
               "\ntail %" PRIu64 " at %" PRIu64 "\n",
               super.export_id, super.version, super.geometry.blocks, super.geometry.journal_size,
               super.epoch, super.tail_sequence, super.tail_offset);
  return 0;
}

int Verify(const IntegrityOptions& options, std::FILE* out) {
  nbd::BlockingClient client(options.address, options.export_name);
  Verifier verifier(&client, out);
  verifier.VerifyAll();
  verifier.PrintSummary();
  return verifier.corrupted() == 0 ? 0 : 1;
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

int ShowCorruptionLog(const IntegrityOptions& options, std::FILE* out) {
  integrity::CorruptionLog corruption_log;
  LoadCorruptionLog(options.folder, &corruption_log);
  for (const auto& [location, entry] : corruption_log.entries()) {
    PrintEntry(location, entry, out);
  }
  std::fprintf(out, "%zu damaged, %zu in all, %" PRIu64 " dropped\n", corruption_log.corrupt_count(),
               corruption_log.entries().size(), corruption_log.dropped());
  return corruption_log.corrupt_count() == 0 ? 0 : 1;
}

}  // namespace walnutspur::app

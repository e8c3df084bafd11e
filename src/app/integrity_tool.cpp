#include "app/integrity_tool.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <vector>

#include "app/control.h"
#include "integrity/corruption_log_file.h"
#include "integrity/format.h"
#include "integrity/layout.h"
#include "nbd/blocking_client.h"

namespace walnutspur::app {
namespace {

using namespace integrity;

constexpr std::uint32_t kPart = 256 << 10;  // bytes of one read

std::string ReadAll(nbd::BlockingClient& client, std::uint64_t offset, std::uint64_t length) {
  std::string all;
  while (all.size() < length) {
    const auto part = static_cast<std::uint32_t>(std::min<std::uint64_t>(kPart, length - all.size()));
    const nbd::Reply reply = client.Read(offset + all.size(), part);
    if (reply.error != nbd::kOk)
      throw std::runtime_error("the box cannot read " + std::to_string(part) + " bytes at " +
                               std::to_string(offset + all.size()));
    all += nbd::DataOf(reply);
  }
  return all;
}

DecodedSuperblock ReadSuper(nbd::BlockingClient& client) {
  const std::uint64_t blocks = client.size() / kBlockBytes;
  if (blocks < 3) throw std::runtime_error("the export is smaller than its reserved region");
  const std::string bytes = ReadAll(client, (blocks - 2) * kBlockBytes, 2 * kBlockBytes);
  return ChooseSuperblock(DecodeSuperblock(std::string_view(bytes).substr(0, kBlockBytes), client.size()),
                          DecodeSuperblock(std::string_view(bytes).substr(kBlockBytes), client.size()));
}

Superblock WholeSuper(nbd::BlockingClient& client) {
  const DecodedSuperblock read = ReadSuper(client);
  if (read.state != SuperblockState::kValid) throw std::runtime_error(read.error);
  return read.superblock;
}

std::string Stamp(std::int64_t us) {
  const std::time_t seconds = us / 1'000'000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

// The blocks whose newest content is in the journal: their place may hold anything older.
std::set<std::uint64_t> InJournal(nbd::BlockingClient& client, const Superblock& super) {
  const std::string journal = ReadAll(client, super.geometry.journal_offset, super.geometry.journal_size);
  std::set<std::uint64_t> blocks;
  std::uint64_t at = super.tail_offset, sequence = super.tail_sequence, used = 0;
  while (used < journal.size()) {
    const auto head = DecodeRecordHeader(std::string_view(journal).substr(at), super.export_id);
    if (!head || head->sequence != sequence || head->epoch < super.tail_epoch ||
        at + head->size > journal.size() ||
        !RecordDataMatches(*head, std::string_view(journal).substr(at), super.export_id))
      break;
    for (std::size_t i = 0; i < head->blocks.size(); ++i) blocks.insert(head->first_block + i);
    used += head->size;
    at = (at + head->size) % journal.size();
    ++sequence;
  }
  return blocks;
}

}  // namespace

int Format(const IntegrityOptions& options, std::FILE* out) {
  nbd::BlockingClient client(options.address, options.remote);
  const DecodedSuperblock there = ReadSuper(client);
  if (there.state == SuperblockState::kNewer) throw std::runtime_error(there.error);
  if (there.state != SuperblockState::kMissing && !options.force)
    throw std::runtime_error(
        there.state == SuperblockState::kValid
            ? "the export is formatted already; --force formats it anew, and all data is lost"
            : there.error + "; --force formats it nevertheless");
  std::random_device device;
  const std::uint64_t id = static_cast<std::uint64_t>(device()) << 32 | device();
  for (const IoRequest& io : FormatPlan(client.size(), options.journal, id, kPart)) {
    const nbd::Reply reply = io.kind == IoKind::kFlush ? client.Flush() : client.Write(io.offset, io.data);
    if (reply.error == nbd::kOk && io.fua && client.Flush().error == nbd::kOk) continue;
    if (reply.error != nbd::kOk || io.fua)
      throw std::runtime_error("the box did not write at " + std::to_string(io.offset) +
                               ": nothing is formatted");
  }
  const Superblock super = WholeSuper(client);
  std::fprintf(out, "formatted: id %016llx, %llu bytes for clients of %llu, journal %llu\n",
               static_cast<unsigned long long>(super.export_id),
               static_cast<unsigned long long>(super.geometry.data_size()),
               static_cast<unsigned long long>(client.size()),
               static_cast<unsigned long long>(super.geometry.journal_size));
  return 0;
}

int ShowSuperblock(const IntegrityOptions& options, std::FILE* out) {
  nbd::BlockingClient client(options.address, options.remote);
  const Superblock s = WholeSuper(client);
  std::fprintf(out, "id %016llx\nversion %d\nblocks %llu\njournal %llu\nepoch %llu\ntail %llu at %llu\n",
               static_cast<unsigned long long>(s.export_id), s.version,
               static_cast<unsigned long long>(s.geometry.blocks),
               static_cast<unsigned long long>(s.geometry.journal_size),
               static_cast<unsigned long long>(s.epoch), static_cast<unsigned long long>(s.tail_sequence),
               static_cast<unsigned long long>(s.tail_offset));
  return 0;
}

int Verify(const IntegrityOptions& options, std::FILE* out) {
  nbd::BlockingClient client(options.address, options.remote);
  const Superblock super = WholeSuper(client);
  const std::set<std::uint64_t> waiting = InJournal(client, super);
  std::uint64_t good = 0, empty = 0, bad = 0;
  for (std::uint64_t index = 0; index < super.geometry.tag_blocks; ++index) {
    const std::string slots = ReadAll(client, super.geometry.SlotOffset(index, 0), 2 * kBlockBytes);
    const auto a = DecodeTagBlock(std::string_view(slots).substr(0, kBlockBytes), super.export_id, index);
    const auto b = DecodeTagBlock(std::string_view(slots).substr(kBlockBytes), super.export_id, index);
    const std::uint64_t first = index * kTagsPerBlock;
    const std::uint64_t count = std::min<std::uint64_t>(kTagsPerBlock, super.geometry.blocks - first);
    if (!a || !b)
      std::fprintf(out, "tag block %llu: a slot is damaged\n", static_cast<unsigned long long>(index));
    if (!a && !b) {
      bad += count;
      continue;
    }
    const TagBlock& tags = !a || (b && b->version > a->version) ? *b : *a;
    const std::string data = ReadAll(client, first * kBlockBytes, count * kBlockBytes);
    for (std::uint64_t i = 0; i < count; ++i) {
      const Tag& tag = tags.tags[i];
      if (waiting.contains(first + i) || (IsHole(tag) && tag.generation != kUnknownGeneration)) {
        ++empty;
        continue;
      }
      const std::uint32_t sum = DataSum(std::string_view(data).substr(i * kBlockBytes, kBlockBytes));
      if (tag.generation != kUnknownGeneration &&
          TagSum(sum, super.export_id, first + i, tag.generation) == tag.sum) {
        ++good;
        continue;
      }
      ++bad;
      std::fprintf(out, "block %llu: damaged\n", static_cast<unsigned long long>(first + i));
    }
  }
  std::fprintf(out, "%llu good, %llu empty or in the journal, %llu damaged\n",
               static_cast<unsigned long long>(good), static_cast<unsigned long long>(empty),
               static_cast<unsigned long long>(bad));
  return bad == 0 ? 0 : 1;
}

int AskProcess(const IntegrityOptions& options, std::FILE* out) {
  std::string line;
  for (const std::string& word : options.words) line += (line.empty() ? "" : " ") + word;
  const std::string answer = AskControl(ControlPath(options.folder), line);
  if (answer.starts_with("error: ")) throw std::runtime_error(answer.substr(7, answer.find('\n') - 7));
  std::fputs(answer.c_str(), out);
  return 0;
}

int ShowLedger(const IntegrityOptions& options, std::FILE* out) {
  CorruptionLog ledger;
  std::string what;
  CorruptionLogFile file(options.folder);
  switch (file.Load(&ledger, &what)) {
    case CorruptionLogFile::LoadResult::kMissing:
      throw std::runtime_error("there is no " + file.path());
    case CorruptionLogFile::LoadResult::kRejected:
      throw std::runtime_error(what);
    case CorruptionLogFile::LoadResult::kLoaded:
      break;
  }
  for (const auto& [place, entry] : ledger.entries()) {
    std::fprintf(out, "%s %s block %llu %s%s first %s last %s times %u", place.target.c_str(),
                 place.remote.c_str(), static_cast<unsigned long long>(place.block), NameOf(entry.fault),
                 entry.repaired ? " mended" : "", Stamp(entry.first_seen).c_str(),
                 Stamp(entry.last_seen).c_str(), entry.times);
    if (entry.path >= 0) std::fprintf(out, " path %d", entry.path);
    if (entry.fault == Fault::kMisdirectedWrite)
      std::fprintf(out, " of %llu", static_cast<unsigned long long>(entry.owner_block));
    std::fprintf(out, "\n");
  }
  std::fprintf(out, "%zu damaged, %zu in all, %llu dropped\n", ledger.damaged_count(),
               ledger.entries().size(), static_cast<unsigned long long>(ledger.dropped()));
  return ledger.damaged_count() == 0 ? 0 : 1;
}

}  // namespace walnutspur::app

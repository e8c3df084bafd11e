#include "integrity/format.h"

#include <algorithm>
#include <string>
#include <utility>

#include "integrity/layout.h"

namespace walnutspur::integrity {
namespace {

constexpr std::uint64_t kMinBlocksBesideJournal = 16;

void AddWrite(std::vector<IoRequest>* plan, std::uint64_t offset, std::string data, bool fua) {
  IoRequest request;
  request.id = plan->size() + 1;
  request.kind = IoKind::kWrite;
  request.purpose = IoPurpose::kSuperblock;
  request.offset = offset;
  request.length = static_cast<std::uint32_t>(data.size());
  request.data = std::move(data);
  request.fua = fua;
  plan->push_back(std::move(request));
}

void AddFlush(std::vector<IoRequest>* plan) {
  IoRequest request;
  request.id = plan->size() + 1;
  request.kind = IoKind::kFlush;
  request.purpose = IoPurpose::kSuperblock;
  plan->push_back(std::move(request));
}

}  // namespace

std::vector<IoRequest> FormatPlan(std::uint64_t size, std::uint64_t journal, std::uint64_t export_id,
                                  std::uint32_t max_io_bytes) {
  const auto geometry = FitGeometry(size, journal);
  if (!geometry) {
    const std::uint64_t least = std::max(journal, kMinJournalBytes) + kMinBlocksBesideJournal * kBlockBytes;
    throw FormatError("an export of " + std::to_string(size) +
                      " bytes has no room for tags and a journal; allowed are " + std::to_string(least) +
                      " bytes or more");
  }
  std::vector<IoRequest> plan;
  // Old superblocks are erased first, so that a format that is interrupted leaves no export that looks valid.
  AddWrite(&plan, geometry->superblock_offset, std::string(kSuperblockCopies * kBlockBytes, '\0'), true);
  for (std::uint64_t at = geometry->tags_offset; at < geometry->journal_offset; at += max_io_bytes) {
    const std::uint64_t part = std::min<std::uint64_t>(max_io_bytes, geometry->journal_offset - at);
    AddWrite(&plan, at, std::string(part, '\0'), false);
  }
  AddFlush(&plan);
  Superblock superblock;
  superblock.export_id = export_id;
  superblock.geometry = *geometry;
  AddWrite(&plan, geometry->superblock_offset, Encode(superblock), true);
  AddFlush(&plan);
  return plan;
}

}  // namespace walnutspur::integrity

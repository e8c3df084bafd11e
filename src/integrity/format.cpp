#include "integrity/format.h"

#include <algorithm>
#include <string>
#include <utility>

#include "integrity/layout.h"

namespace walnutspur::integrity {
namespace {

// Minimum number of blocks of an export in addition to its journal; used in the error message.
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
    const std::uint64_t min_size =
        std::max(journal, kMinJournalBytes) + kMinBlocksBesideJournal * kBlockBytes;
    throw FormatError("an export of " + std::to_string(size) +
                      " bytes has no room for tags and a journal; at least " + std::to_string(min_size) +
                      " bytes are required");
  }
  std::vector<IoRequest> plan;
  AddWrite(&plan, geometry->superblock_offset, std::string(kSuperblockCopies * kBlockBytes, '\0'), true);
  for (std::uint64_t at = geometry->tags_offset; at < geometry->journal_offset; at += max_io_bytes) {
    const std::uint64_t length = std::min<std::uint64_t>(max_io_bytes, geometry->journal_offset - at);
    AddWrite(&plan, at, std::string(length, '\0'), false);
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

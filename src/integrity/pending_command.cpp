#include "integrity/pending_command.h"

#include <algorithm>
#include <utility>

namespace walnutspur::integrity {
namespace {

// Returns the blocks that a command covers. A trim is advisory: it covers only blocks that lie completely
// inside its range, and at most as many as fit into one journal record.
BlockRange RangeOf(const Command& command) {
  const std::uint64_t end = command.offset + command.length;
  if (command.kind == Command::Kind::kFlush) {
    return {};
  }
  if (command.kind != Command::Kind::kTrim) {
    const std::uint64_t first = command.offset / kBlockBytes;
    return {first, (end - 1) / kBlockBytes - first + 1};
  }
  const std::uint64_t first = (command.offset + kBlockBytes - 1) / kBlockBytes;
  const std::uint64_t count = end / kBlockBytes > first ? end / kBlockBytes - first : 0;
  return {first, std::min<std::uint64_t>(count, kMaxRecordBlocks)};
}

}  // namespace

PendingCommand::PendingCommand(Command submitted) : command(std::move(submitted)), range(RangeOf(command)) {}

bool PendingCommand::NeedsContentOf(std::uint64_t block) const {
  if (!is_write()) {
    return is_read();
  }
  const std::uint64_t begin = block * kBlockBytes;
  return command.offset > begin || command.offset + command.length < begin + kBlockBytes;
}

std::optional<std::string_view> PendingCommand::ContentOf(std::uint64_t block) const {
  if (const auto found = block_content.find(block); found != block_content.end()) {
    return found->second.bytes;
  }
  if (contiguous_content.empty()) {
    return std::nullopt;
  }
  return std::string_view{contiguous_content}.substr((block - range.first) * kBlockBytes, kBlockBytes);
}

Slice PendingCommand::MergedContentOf(std::uint64_t block) const {
  const std::uint64_t begin = block * kBlockBytes;
  const std::uint64_t end = begin + kBlockBytes;
  const std::uint64_t from = std::max(begin, command.offset);
  const std::uint64_t until = std::min(end, command.offset + command.length);
  if (from == begin && until == end) {
    return command.data.Subslice(from - command.offset, kBlockBytes);
  }
  std::string content(*ContentOf(block));
  content.replace(from - begin, until - from, command.data.bytes, from - command.offset, until - from);
  return Own(std::move(content));
}

void PendingCommand::TakeData(std::uint64_t offset, std::string data) {
  if (offset == range.first * kBlockBytes && data.size() == range.count * kBlockBytes) {
    contiguous_content = std::move(data);
    return;
  }
  const Slice slice = Own(std::move(data));
  for (std::size_t at = 0; at < slice.bytes.size(); at += kBlockBytes) {
    block_content[(offset + at) / kBlockBytes] = slice.Subslice(at, kBlockBytes);
  }
}

void PendingCommand::ClearContent() {
  block_content.clear();
  contiguous_content = std::string();
}

}  // namespace walnutspur::integrity

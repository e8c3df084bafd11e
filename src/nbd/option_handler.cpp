#include "nbd/option_handler.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "nbd/byte_buffer.h"
#include "nbd/messages.h"

namespace walnutspur::nbd {
namespace {

// Block sizes announced by NBD_INFO_BLOCK_SIZE, in bytes. Commands need not be aligned.
constexpr std::uint32_t kMinBlockSize = 1;
constexpr std::uint32_t kPreferredBlockSize = 512;

// Returns the export name in the data of NBD_OPT_INFO or NBD_OPT_GO, or nullopt if the data is malformed. The
// data consists of the length of the name, the name, and a counted list of requested information types, which
// is ignored.
std::optional<std::string_view> ParseInfoRequest(std::string_view data) {
  constexpr std::size_t kLengthSize = sizeof(std::uint32_t);
  constexpr std::size_t kCountSize = sizeof(std::uint16_t);
  constexpr std::size_t kFixedSize = kLengthSize + kCountSize;
  if (data.size() < kFixedSize) {
    return std::nullopt;
  }
  const auto name_size = Get<std::uint32_t>(data);
  if (name_size > data.size() - kFixedSize) {
    return std::nullopt;
  }
  const std::size_t count = Get<std::uint16_t>(data, kLengthSize + name_size);
  if (data.size() != kFixedSize + name_size + count * sizeof(InfoType)) {
    return std::nullopt;
  }
  return data.substr(kLengthSize, name_size);
}

void PutExportInfo(std::uint32_t option, const Export& offered, std::string* out) {
  std::string info;
  Put<std::uint16_t>(kInfoExport, &info);
  Put(offered.size, &info);
  Put(offered.flags, &info);
  PutOptionReply(option, kRepInfo, info, out);
}

void PutBlockSizeInfo(std::uint32_t option, const Export& offered, std::string* out) {
  std::string info;
  Put<std::uint16_t>(kInfoBlockSize, &info);
  Put(kMinBlockSize, &info);
  Put(std::min(kPreferredBlockSize, offered.max_command_bytes), &info);
  Put(offered.max_command_bytes, &info);
  PutOptionReply(option, kRepInfo, info, out);
}

}  // namespace

OptionHandler::Next OptionHandler::Handle(std::uint32_t option, std::string_view data, std::string* out) {
  switch (option) {
    case kOptExportName:
      return HandleExportName(data, out);
    case kOptAbort:
      PutOptionReply(option, kRepAck, "", out);
      return Next::kAborted;
    case kOptList:
      HandleList(data, out);
      return Next::kOption;
    case kOptStructuredReply:
      HandleStructuredReply(data, out);
      return Next::kOption;
    case kOptInfo:
    case kOptGo:
      return HandleInfoOrGo(option, data, out);
    default:
      PutOptionReply(option, kRepErrUnsupported, "", out);
      return Next::kOption;
  }
}

OptionHandler::Next OptionHandler::HandleExportName(std::string_view name, std::string* out) {
  const Export* found = Find(name);
  if (found == nullptr) {
    return Next::kUnknownExport;
  }
  Put(found->size, out);
  Put(found->flags, out);
  if (zeroes_) {
    out->append(kExportInfoZeroes, '\0');
  }
  chosen_ = found;
  return Next::kTransmission;
}

void OptionHandler::HandleList(std::string_view data, std::string* out) const {
  if (!data.empty()) {
    PutOptionReply(kOptList, kRepErrInvalid, "", out);
    return;
  }
  for (const Export& listed : exports_) {
    std::string entry;
    Put(static_cast<std::uint32_t>(listed.name.size()), &entry);
    PutOptionReply(kOptList, kRepServer, entry + listed.name, out);
  }
  PutOptionReply(kOptList, kRepAck, "", out);
}

void OptionHandler::HandleStructuredReply(std::string_view data, std::string* out) {
  if (data.empty()) {
    reply_form_ = ReplyForm::kStructured;
  }
  PutOptionReply(kOptStructuredReply, data.empty() ? kRepAck : kRepErrInvalid, "", out);
}

OptionHandler::Next OptionHandler::HandleInfoOrGo(std::uint32_t option, std::string_view data,
                                                  std::string* out) {
  const std::optional<std::string_view> name = ParseInfoRequest(data);
  if (!name) {
    PutOptionReply(option, kRepErrInvalid, "", out);
    return Next::kOption;
  }
  const Export* found = Find(*name);
  if (found == nullptr) {
    PutOptionReply(option, kRepErrUnknown, "", out);
    return Next::kOption;
  }
  PutExportInfo(option, *found, out);
  PutBlockSizeInfo(option, *found, out);
  PutOptionReply(option, kRepAck, "", out);
  if (option == kOptInfo) {
    return Next::kOption;
  }
  chosen_ = found;
  return Next::kTransmission;
}

const Export* OptionHandler::Find(std::string_view name) const {
  const auto at = std::find_if(exports_.begin(), exports_.end(),
                               [&](const Export& offered) { return offered.name == name; });
  return at == exports_.end() ? nullptr : &*at;
}

}  // namespace walnutspur::nbd

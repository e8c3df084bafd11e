#include "lab/storage_server/faulty_device.h"

#include <algorithm>

#include "lab/storage_server/corruption_kind.h"

namespace walnutspur::lab {
namespace {

constexpr std::uint64_t kMaxFlippedBits = 8;

}  // namespace

int DrawFlippedBits(BlockDevice& device) { return 1 + static_cast<int>(device.Draw(kMaxFlippedBits)); }

std::string FaultyDevice::Read(int path, std::uint64_t offset, std::uint32_t length) {
  std::string data = device_->Read(offset, length);
  Fault* fault =
      plan_->Match({CorruptionKind::kTransitBitFlip, CorruptionKind::kStaleRead}, path, offset, length);
  if (!fault) {
    return data;
  }
  const std::uint64_t from = std::max(fault->from, offset);
  const std::uint64_t end = std::min(fault->to, offset + length);
  std::string part;
  if (fault->kind == CorruptionKind::kStaleRead) {
    part = device_->Before(from, static_cast<std::uint32_t>(end - from));
  } else {
    part = data.substr(from - offset, end - from);
    FlipBits(&part, DrawFlippedBits(*device_), &device_->random());
  }
  data.replace(from - offset, part.size(), part);
  plan_->RecordInjection(*fault);
  return data;
}

void FaultyDevice::Write(std::uint64_t offset, const std::string& data, bool fua) {
  Fault* fault = plan_->Match(
      {CorruptionKind::kLostWrite, CorruptionKind::kMisdirectedWrite, CorruptionKind::kTornWrite}, kAnyPath,
      offset, data.size());
  if (!fault) {
    device_->Write(offset, data, fua);
    return;
  }
  const std::uint64_t from = std::max(fault->from, offset);
  const std::uint64_t end = std::min(fault->to, offset + data.size());
  const std::string part = data.substr(from - offset, end - from);
  device_->Write(offset, data.substr(0, from - offset), fua);
  device_->Write(end, data.substr(end - offset), fua);
  if (fault->kind == CorruptionKind::kMisdirectedWrite) {
    device_->Write(fault->elsewhere, part, fua);
  }
  if (fault->kind == CorruptionKind::kTornWrite) {
    const std::uint64_t sectors = part.size() / kSectorBytes;
    const std::uint64_t written = 1 + device_->Draw(sectors > 1 ? sectors - 1 : 1);
    device_->Write(from, part.substr(0, written * kSectorBytes), fua);
  }
  plan_->RecordInjection(*fault);
}

void FaultyDevice::FlipStoredBits(const Fault& fault) {
  const auto length = static_cast<std::uint32_t>(fault.to - fault.from);
  device_->Flip(fault.from, length, DrawFlippedBits(*device_));
  plan_->RecordInjection(fault.kind);
}

}  // namespace walnutspur::lab

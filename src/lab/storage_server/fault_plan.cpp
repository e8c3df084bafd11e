#include "lab/storage_server/fault_plan.h"

#include <algorithm>

namespace walnutspur::lab {
namespace {

bool Overlaps(const Fault& fault, std::uint64_t offset, std::uint64_t length) {
  return offset < fault.to && offset + length > fault.from;
}

bool AppliesToPath(const Fault& fault, int path) { return fault.path < 0 || path < 0 || fault.path == path; }

}  // namespace

Fault* FaultPlan::Match(std::initializer_list<CorruptionKind> kinds, int path, std::uint64_t offset,
                        std::uint64_t length) {
  const auto found = std::find_if(faults_.begin(), faults_.end(), [&](const Fault& fault) {
    return fault.times != 0 && std::find(kinds.begin(), kinds.end(), fault.kind) != kinds.end() &&
           AppliesToPath(fault, path) && Overlaps(fault, offset, length);
  });
  return found == faults_.end() ? nullptr : &*found;
}

void FaultPlan::RecordInjection(Fault& fault) {
  RecordInjection(fault.kind);
  if (fault.times > 0) {
    --fault.times;
  }
}

std::uint64_t FaultPlan::injections(CorruptionKind kind) const {
  const auto found = injections_.find(kind);
  return found == injections_.end() ? 0 : found->second;
}

}  // namespace walnutspur::lab

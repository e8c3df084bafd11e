// Holds the faults that a storage server is to inject, and counts the injections of each kind, so that tests
// can compare every reported corruption with the injected ones.
//
// Not synchronised: the storage server uses it under its mutex.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_FAULT_PLAN_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_FAULT_PLAN_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <vector>

#include "lab/storage_server/corruption_kind.h"

namespace walnutspur::lab {

inline constexpr int kAnyPath = -1;
inline constexpr int kWithoutLimit = -1;

// A fault is injected into commands that overlap its range.
struct Fault {
  CorruptionKind kind = CorruptionKind::kTransitBitFlip;
  int path = kAnyPath;     // kTransitBitFlip, kStaleRead: the listener whose commands are affected
  std::uint64_t from = 0;  // the range, in bytes of the device; all objects by HTTP are at 0
  std::uint64_t to = ~std::uint64_t{0};  // one past its end
  std::uint64_t elsewhere = 0;           // kMisdirectedWrite: the offset of the misdirected bytes
  int times = 1;                         // remaining injections, or kWithoutLimit
};

class FaultPlan {
 public:
  void Add(const Fault& fault) { faults_.push_back(fault); }
  // Discards the faults that have not been injected yet. The counts stay.
  void Clear() { faults_.clear(); }

  // Returns the first fault of one of these kinds for a command on `path`, or null. `path` may be kAnyPath.
  // The pointer is valid until the plan is changed.
  Fault* Match(std::initializer_list<CorruptionKind> kinds, int path, std::uint64_t offset,
               std::uint64_t length);
  // Counts an injection of a fault that Match has returned.
  void RecordInjection(Fault& fault);
  void RecordInjection(CorruptionKind kind) { ++injections_[kind]; }

  std::uint64_t injections(CorruptionKind kind) const;

 private:
  std::vector<Fault> faults_;
  std::map<CorruptionKind, std::uint64_t> injections_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_FAULT_PLAN_H_

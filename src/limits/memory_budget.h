// Bounds the memory that clients, targets and discovery make the process hold, by owner and in sum.
//
// Whoever is about to hold such memory reserves it first; at a bound the reservation fails, and the caller
// rejects, drops or waits. No I/O, clock, lock or thread; core/memory_account.h makes it usable from several
// threads.
#ifndef WALNUTSPUR_LIMITS_MEMORY_BUDGET_H_
#define WALNUTSPUR_LIMITS_MEMORY_BUDGET_H_

#include <algorithm>
#include <array>
#include <cstddef>

namespace walnutspur::limits {

// What holds reserved memory.
enum class MemoryOwner {
  kHttpRequests,   // requests of HTTP clients: heads, bodies and read-ahead, until their final response
  kHttpResponses,  // responses of HTTP targets, until their clients have read them
  kNbdCommands,    // commands of NBD clients, and the data of their replies
};
inline constexpr std::size_t kMemoryOwners = 3;

// Returns the owner's name in logs.
constexpr const char* NameOf(MemoryOwner owner) {
  constexpr std::array<const char*, kMemoryOwners> kNames = {"http_requests", "http_responses",
                                                             "nbd_commands"};
  return kNames[static_cast<std::size_t>(owner)];
}

// A reservation of low priority leaves a part of its owner's memory, and of the sum, to others. One for
// memory that is held already always succeeds: what is reserved next finds less.
enum class MemoryPriority { kNormal, kLow, kHeldAlready };

// Each owner may use the memory of the process divided by this number.
constexpr std::size_t kOwnerDivisor = 4;
// Reservations of low priority leave the owner's memory divided by this number, at most these bytes.
constexpr std::size_t kKeptDivisor = 4;
constexpr std::size_t kMaxKeptBytes = 4 << 20;
// Memory of a process without clients, its tables and its connections, bytes.
constexpr std::size_t kProcessBytes = 14 << 20;
// All owners together may use this fraction of the rest: the heap also holds the gaps between allocations.
constexpr std::size_t kHeapOverheadFactor = 3;
constexpr std::size_t kHeapOverheadDivisor = 4;

class MemoryBudget {
 public:
  // `process_bytes` is the memory limit of the process.
  explicit MemoryBudget(std::size_t process_bytes) { SetProcessLimit(process_bytes); }

  // Changes the memory limit of the process. Reservations that exceed the new bounds stay.
  void SetProcessLimit(std::size_t process_bytes) {
    const std::size_t share = process_bytes / kOwnerDivisor;
    const std::size_t rest = process_bytes - std::min(process_bytes, kProcessBytes);
    owner_limit_ = share;
    total_limit_ = std::max(share, rest / kHeapOverheadDivisor * kHeapOverheadFactor);
  }

  // Changes a reservation from `former` to `bytes`. Returns false and changes nothing if it would grow beyond
  // the bound of its owner or of the sum. A reservation that shrinks always succeeds.
  bool Resize(MemoryOwner owner, std::size_t former, std::size_t bytes, MemoryPriority priority) {
    std::size_t& used = used_[static_cast<std::size_t>(owner)];
    const bool is_checked = bytes > former && priority != MemoryPriority::kHeldAlready;
    const std::size_t kept =
        priority == MemoryPriority::kLow ? std::min(owner_limit_ / kKeptDivisor, kMaxKeptBytes) : 0;
    if (is_checked &&
        (used - former + bytes > owner_limit_ - kept || total_ - former + bytes > total_limit_ - kept)) {
      return false;
    }
    used = used - former + bytes;
    total_ = total_ - former + bytes;
    return true;
  }

  std::size_t used(MemoryOwner owner) const { return used_[static_cast<std::size_t>(owner)]; }
  std::size_t owner_limit() const { return owner_limit_; }
  std::size_t total() const { return total_; }
  std::size_t total_limit() const { return total_limit_; }

 private:
  std::size_t owner_limit_ = 0;
  std::size_t total_limit_ = 0;
  std::size_t total_ = 0;
  std::array<std::size_t, kMemoryOwners> used_{};
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_MEMORY_BUDGET_H_

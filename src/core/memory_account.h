// Accounts for the memory that outside parties make the process hold, within a limits::MemoryBudget.
//
// The initiator owns the account, which outlives all reservations. Any thread may reserve and release: a
// request's payload, and with it its reservation, may be freed by the scheduler thread.
#ifndef WALNUTSPUR_CORE_MEMORY_ACCOUNT_H_
#define WALNUTSPUR_CORE_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <mutex>
#include <utility>

#include "limits/memory_budget.h"

namespace walnutspur::core {

class MemoryAccount {
 public:
  // `process_bytes` is the memory limit of the process.
  explicit MemoryAccount(std::size_t process_bytes) : budget_(process_bytes) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  void SetProcessLimit(std::size_t process_bytes) {
    const std::lock_guard lock(mutex_);
    budget_.SetProcessLimit(process_bytes);
  }
  // Changes a reservation; see limits::MemoryBudget::Resize.
  bool Resize(limits::MemoryOwner owner, std::size_t former, std::size_t bytes,
              limits::MemoryPriority priority) {
    const std::lock_guard lock(mutex_);
    return budget_.Resize(owner, former, bytes, priority);
  }
  // Returns the present state.
  limits::MemoryBudget budget() const {
    const std::lock_guard lock(mutex_);
    return budget_;
  }

 private:
  mutable std::mutex mutex_;  // guards budget_
  limits::MemoryBudget budget_;
};

// A reservation of one holder, which ends with it.
class MemoryReservation {
 public:
  // Reserves nothing, and never will.
  MemoryReservation() = default;
  // `account` must outlive the reservation.
  MemoryReservation(MemoryAccount* account, limits::MemoryOwner owner) : account_(account), owner_(owner) {}
  ~MemoryReservation() { Release(); }
  MemoryReservation(MemoryReservation&& other) noexcept
      : account_(other.account_), owner_(other.owner_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    if (this != &other) {
      Release();
      account_ = other.account_;
      owner_ = other.owner_;
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }

  // Changes the size. Returns false and keeps the former size if the budget does not allow it.
  bool Resize(std::size_t bytes, limits::MemoryPriority priority = limits::MemoryPriority::kNormal) {
    if (bytes == bytes_) {
      return true;
    }
    if (account_ == nullptr || !account_->Resize(owner_, bytes_, bytes, priority)) {
      return false;
    }
    bytes_ = bytes;
    return true;
  }
  void Release() { Resize(0); }
  // Returns a reservation of all bytes, and keeps an empty one of the same account and owner.
  MemoryReservation Split() { return std::move(*this); }

  std::size_t bytes() const { return bytes_; }

 private:
  MemoryAccount* account_ = nullptr;
  limits::MemoryOwner owner_ = limits::MemoryOwner::kHttpRequests;
  std::size_t bytes_ = 0;
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_MEMORY_ACCOUNT_H_

// Limits the memory for request bodies that are larger than the protocol's usual maximum.
//
// Each connection reserves the size of its request's body, as far as it is known, before it reads the body.
// No sockets, clock or thread; owned by the HTTP front end.
#ifndef WALNUTSPUR_HTTP_BODY_BUDGET_H_
#define WALNUTSPUR_HTTP_BODY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace walnutspur::http {

class BodyBudget {
 public:
  // Sets the reservation of a connection to `bytes`. Returns false, and keeps the former reservation, if all
  // reservations together would exceed `max_bytes`.
  bool Reserve(std::uint64_t connection, std::size_t bytes, std::size_t max_bytes) {
    const auto at = reserved_.find(connection);
    const std::size_t former = at == reserved_.end() ? 0 : at->second;
    if (bytes > max_bytes || total_ - former > max_bytes - bytes) {
      return false;
    }
    total_ += bytes - former;
    reserved_[connection] = bytes;
    return true;
  }

  void Release(std::uint64_t connection) {
    const auto at = reserved_.find(connection);
    if (at != reserved_.end()) {
      total_ -= at->second;
      reserved_.erase(at);
    }
  }

  std::size_t total() const { return total_; }

 private:
  std::unordered_map<std::uint64_t, std::size_t> reserved_;  // bytes, by connection
  std::size_t total_ = 0;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_BODY_BUDGET_H_

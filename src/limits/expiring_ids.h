// A set of ids that are forgotten after a time, and of bounded size: beyond it the id that was added first is
// forgotten earlier.
//
// No I/O, clock or thread; owned by the records that use it. Times are in microseconds and must not run
// backwards.
#ifndef WALNUTSPUR_LIMITS_EXPIRING_IDS_H_
#define WALNUTSPUR_LIMITS_EXPIRING_IDS_H_

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>

#include "walnutspur/types.h"

namespace walnutspur::limits {

class ExpiringIds {
 public:
  // `lifetime` is the time (us) for which an id is kept.
  explicit ExpiringIds(Time lifetime) : lifetime_(lifetime) {}

  // Sets the maximum number of ids; it takes effect with the next Add.
  void set_max_size(std::size_t max_size) { max_size_ = max_size; }

  // Adds an id that is not contained. Returns whether another one was forgotten before its time.
  bool Add(const std::string& id, Time now) {
    Expire(now);
    ids_.insert(id);
    order_.push_back({id, now + lifetime_});
    if (order_.size() <= max_size_) {
      return false;
    }
    RemoveFirst();
    return true;
  }

  bool Contains(const std::string& id, Time now) {
    Expire(now);
    return ids_.contains(id);
  }

  std::size_t size() const { return order_.size(); }

 private:
  struct Entry {
    std::string id;
    Time expires_at = 0;
  };

  void Expire(Time now) {
    while (!order_.empty() && order_.front().expires_at <= now) {
      RemoveFirst();
    }
  }
  void RemoveFirst() {
    ids_.erase(order_.front().id);
    order_.pop_front();
  }

  Time lifetime_;
  std::size_t max_size_ = 0;
  std::set<std::string> ids_;
  std::deque<Entry> order_;  // in the order of their expiry
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_EXPIRING_IDS_H_

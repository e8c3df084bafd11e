// A set of ids of bounded size: beyond it the id that was added first is forgotten.
//
// Without the bound, a process that runs for years would remember every target that was ever listed.
// No I/O, clock or thread; owned by the records that use it.
#ifndef WALNUTSPUR_LIMITS_RECENT_IDS_H_
#define WALNUTSPUR_LIMITS_RECENT_IDS_H_

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace walnutspur::limits {

// Maximum number of ids: several times the targets of a large pool.
constexpr std::size_t kMaxRecentIds = 1024;

class RecentIds {
 public:
  // Adds an id; an id that is contained keeps its place.
  void Add(const std::string& id) {
    if (!ids_.insert(id).second) {
      return;
    }
    order_.push_back(id);
    if (order_.size() > kMaxRecentIds) {
      ids_.erase(order_.front());
      order_.pop_front();
    }
  }

  bool contains(const std::string& id) const { return ids_.contains(id); }
  // Returns the ids in the order in which they were added.
  const std::deque<std::string>& ids() const { return order_; }

 private:
  std::set<std::string> ids_;
  std::deque<std::string> order_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_RECENT_IDS_H_

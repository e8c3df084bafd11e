// Passes items between the scheduler thread and the event-loop thread, which share no other state.
// SchedulerThread owns one queue for each direction.
#ifndef WALNUTSPUR_CORE_QUEUE_H_
#define WALNUTSPUR_CORE_QUEUE_H_

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace walnutspur::core {

// An unbounded queue with one reader. All methods may be called from any thread.
template <typename T>
class Queue {
 public:
  // Appends items. Returns whether the queue was empty before, in which case its reader must be notified.
  bool Push(std::vector<T> items) {
    if (items.empty()) {
      return false;
    }
    const std::lock_guard lock(mutex_);
    const bool was_empty = items_.empty();
    for (T& item : items) {
      items_.push_back(std::move(item));
    }
    filled_.notify_one();
    return was_empty;
  }
  bool Push(T item) {
    std::vector<T> items;
    items.push_back(std::move(item));
    return Push(std::move(items));
  }

  // Removes and returns all items without waiting.
  std::vector<T> Take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(items_, {});
  }

  // Waits for items, then removes and returns all of them. Returns none once the queue is closed.
  std::vector<T> Wait() {
    std::unique_lock lock(mutex_);
    filled_.wait(lock, [this] { return closed_ || !items_.empty(); });
    return std::exchange(items_, {});
  }

  // Makes present and later calls of Wait return at once.
  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    filled_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable filled_;
  std::vector<T> items_;
  bool closed_ = false;
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_QUEUE_H_

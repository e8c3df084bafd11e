// How long to wait before what failed is tried again, where many do the same at the same moment.
//
// A service that takes calls in turn and gives each up after a fixed wait serves nobody once calls come
// faster than it answers: whoever is next has waited for so long already that its call ends under way. So the
// gap doubles with each failure until callers together come slowly enough, and is drawn from a wide range,
// since callers that failed together would else come back together. No I/O, clock or thread.
#ifndef WALNUTSPUR_LIMITS_BACKOFF_H_
#define WALNUTSPUR_LIMITS_BACKOFF_H_

#include <algorithm>
#include <cstdint>

namespace walnutspur::limits {

class Backoff {
 public:
  // Both in us: the longest gap after the first failure, and after any.
  Backoff(std::int64_t first, std::int64_t most) : first_(first), most_(most) {}

  // The gap after one more failure, us; `random` is drawn evenly from [0, 1).
  std::int64_t Failed(double random) {
    const std::int64_t longest = std::min(most_, first_ << std::min(failures_, 30));
    ++failures_;
    return longest / 4 + static_cast<std::int64_t>(random * 0.75 * static_cast<double>(longest));
  }
  void Succeeded() { failures_ = 0; }

 private:
  std::int64_t first_, most_;
  int failures_ = 0;
};

// When one of many hosts asks their one list service again. A call that was refused at once cost the service
// nothing. One that waited in its turn until it was given up tells that all hosts together ask too fast, and
// what was given up is worked off all the same: they must spread over as long as it takes.
class ListCalls {
 public:
  // `most` is the longest gap, us.
  ListCalls(int hosts, std::int64_t most)
      : refused_(std::min(kFirst, most), most),
        overdue_(std::clamp(hosts * kEach, std::min(kFirst, most), most), most) {}

  void Asked(std::int64_t now) { asked_ = now; }
  // The gap until the next ask, us, after a call that failed or a subscription that ended.
  std::int64_t Failed(std::int64_t now, double random) {
    const std::int64_t took = now - asked_;
    const bool waited = asked_ >= 0 && took >= kWaited && took < kLasted;
    return (waited ? overdue_ : refused_).Failed(random);
  }
  void Answered() {
    refused_.Succeeded();
    overdue_.Succeeded();
  }

 private:
  static constexpr std::int64_t kFirst = 1'000'000;   // us
  static constexpr std::int64_t kEach = 100'000;      // us for each host: ten calls a second from all
  static constexpr std::int64_t kWaited = 1'000'000;  // us: by then a call was not refused, it waited
  static constexpr std::int64_t kLasted = 5'000'000;  // us: no call waits so long; it was a subscription
  std::int64_t asked_ = -1;
  Backoff refused_, overdue_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_BACKOFF_H_

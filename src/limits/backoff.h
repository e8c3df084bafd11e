// How long to wait before what failed is tried again, where many do the same at the same moment.
//
// A service that takes calls in turn and gives each up after a fixed wait serves nobody once calls come
// faster than it answers: whoever is next has waited for so long already that its call ends under way. So the
// gap doubles with each failure until callers together come slowly enough, and is drawn from a wide range,
// since callers that failed together would else come back together. No I/O, clock or thread.
#ifndef WALNUTSPUR_LIMITS_BACKOFF_H_
#define WALNUTSPUR_LIMITS_BACKOFF_H_

#include <algorithm>

#include "walnutspur/scheduler.h"

namespace walnutspur::limits {

class Backoff {
 public:
  // Both in us: the longest gap after the first failure, and after any.
  Backoff(Time first, Time most) : first_(first), most_(most) {}

  // The gap after one more failure, us; `random` is drawn evenly from [0, 1).
  Time NextDelay(double random) {
    const Time longest = std::min(most_, first_ << std::min(failures_, 30));
    ++failures_;
    return longest / 4 + static_cast<Time>(random * 0.75 * static_cast<double>(longest));
  }
  void Reset() { failures_ = 0; }
  void SetBounds(Time first, Time most) { first_ = std::min(first, most), most_ = most; }

 private:
  Time first_, most_;
  int failures_ = 0;
};

// When one of many hosts asks their one list service again. A call that was refused at once cost the service
// nothing. One that waited in its turn until it was given up tells that all hosts together ask too fast, and
// what was given up is worked off all the same: they must spread over as long as it takes. A call that was
// answered did not wait in vain, however soon its subscription broke: what is missed then counts as told 6 s
// after it fell silent, of which noticing takes up to 2.5 s and the next call up to 2 s
// (http/discovery_client.cpp).
class PollBackoff {
 public:
  // `most` is the longest gap, us; no less than kLeast.
  PollBackoff(int hosts, Time most) : longest_(most), refused_(kFirst, most), overdue_(kFirst, most) {
    SetInstanceCount(hosts);
  }

  // There are so many hosts now. Of few, each may ask so often that it has the list well within the 6 s after
  // which a change counts as told, whatever became of the calls before; of many, that would only fill the
  // service's queue, and nobody would be answered.
  void SetInstanceCount(int hosts) {
    refused_.SetBounds(kFirst, std::clamp(hosts * kEachRefused, kLeast, longest_));
    overdue_.SetBounds(std::clamp(hosts * kEach / 2, kFirst, longest_),
                       std::clamp(hosts * kEach, kLeast, longest_));
  }
  void OnPoll(Time now) { asked_ = now; }
  // The gap until the next ask, us, after a call that failed or a subscription that ended.
  Time NextDelay(Time now, double random) {
    const bool waited = asked_ >= 0 && now - asked_ >= kWaited;
    return (waited ? overdue_ : refused_).NextDelay(random);
  }
  void OnResponse() {
    asked_ = -1;
    refused_.Reset();
    overdue_.Reset();
  }

 private:
  static constexpr Time kFirst = 1'000'000;     // us
  static constexpr Time kLeast = 2'000'000;     // us: the longest gap of few hosts
  static constexpr Time kEach = 100'000;        // us for each host: ten calls a second from all
  static constexpr Time kEachRefused = 30'000;  // us: about what such a service takes for an answer
  static constexpr Time kWaited = 1'000'000;    // us: by then a call was not refused, it waited
  Time longest_;
  Time asked_ = -1;  // the call that has had no answer yet
  Backoff refused_, overdue_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_BACKOFF_H_

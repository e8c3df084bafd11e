// How much of a box's work reaches this initiator, and what it may send to the box once that starts cold.
//
// The rule on cold boxes binds all initiators together, and they share nothing: a box that is sent more than
// `tip_multiple` of what it can do at present for `overload_for` falls over. Each host answers for a part.
// What the hosts were served before adds up to no more than the warm box can do, so parts of that are safe
// parts. No I/O, clock or thread; owned by the Scheduler, one of each for a box.
#ifndef WALNUTSPUR_LIMITS_SLOW_START_H_
#define WALNUTSPUR_LIMITS_SLOW_START_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "limits/decaying_counter.h"

namespace walnutspur::limits {

// What a box serves to this host while all is well.
class SteadyStateRate {
 public:
  void Record(double units, Time now);
  // An attempt there ended without an answer: until the next one is served nothing is known of what the box
  // would have been asked, so what was known by then stands.
  void Suspend(Time now);
  // Units a second by `now`, of a host that has counted since `born`.
  double Rate(Time now, Time born) const;

 private:
  DecayingCounter served_;
  Time silent_ = -1;
};

// What may be sent to a box by the rule on cold ones, with its figures in the settings.
class SlowStart {
 public:
  // The box has started at `launched` (0: long ago) and this host hears of it now. `usual` is what it was
  // served there before, units a second; `first` units may leave at once.
  void Start(Time launched, Time now, double usual, double first);
  bool IsActive(const Settings& settings, Time now) const;
  // Whether `units` more may leave now. `demand` is what the host would be served there if what it is served
  // everywhere were dealt out by what it is asked now, units a second.
  bool Admits(const Settings& settings, double units, double demand, Time now);
  void OnSent(const Settings& settings, double units, Time now);
  std::size_t table_entries() const { return sent_.size(); }

 private:
  Time launched_ = 0, filled_ = 0;
  double usual_ = 0, tokens_ = 0;
  std::deque<std::pair<Time, double>> sent_;  // units, within overload_for
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SLOW_START_H_

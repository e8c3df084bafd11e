// Rate of arrivals, averaged over the intervals of the control loop. No I/O, clock or thread.
#ifndef WALNUTSPUR_LIMITS_RATE_METER_H_
#define WALNUTSPUR_LIMITS_RATE_METER_H_

namespace walnutspur::limits {

// Weight of the newest interval in the average.
constexpr double kRateMeterWeight = 0.5;

struct RateMeter {
  double rate = 0;   // units a second
  double units = 0;  // since the last interval

  // Counts an arrival of `amount` units.
  void Add(double amount) { units += amount; }

  // Ends an interval of `seconds`.
  void EndInterval(double seconds) {
    rate += kRateMeterWeight * (units / seconds - rate);
    units = 0;
  }

  // Rate of arrivals as it would be if the interval in progress ended now. Takes intervals to be one second
  // long, as those of the control loop are: only then are units since the last interval a rate.
  double CurrentDemand() const { return rate + kRateMeterWeight * units; }
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_RATE_METER_H_

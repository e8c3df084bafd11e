// Measures the rate of arrivals, averaged over the intervals of the control loop. No I/O, clock or thread.
#ifndef WALNUTSPUR_LIMITS_RATE_METER_H_
#define WALNUTSPUR_LIMITS_RATE_METER_H_

namespace walnutspur::limits {

// Weight of the newest interval in the average.
constexpr double kRateMeterWeight = 0.5;

struct RateMeter {
  double rate = 0;   // units per second
  double units = 0;  // since the last interval

  // Counts an arrival of `amount` units.
  void Add(double amount) { units += amount; }

  // Ends an interval that lasted `seconds`.
  void EndInterval(double seconds) {
    rate += kRateMeterWeight * (units / seconds - rate);
    units = 0;
  }

  // Returns the rate that would result if the current interval ended now. Assumes that intervals last one
  // second, as those of the control loop do: only then are the units since the last interval a rate.
  double CurrentDemand() const { return rate + kRateMeterWeight * units; }
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_RATE_METER_H_

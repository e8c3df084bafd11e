// Token bucket: credit that accrues at a rate, up to a capacity, and is spent in request units.
//
// The owner passes the credit and the capacity to each refill, so rate and capacity may change during the
// bucket's lifetime. No I/O, clock or thread; owned by the records of the scheduler.
#ifndef WALNUTSPUR_LIMITS_TOKEN_BUCKET_H_
#define WALNUTSPUR_LIMITS_TOKEN_BUCKET_H_

#include <algorithm>

namespace walnutspur::limits {

// The credit of one rate limit, in units.
struct TokenBucket {
  double tokens = 0;

  // Adds `units` of credit and discards credit beyond `capacity` (units).
  void Refill(double units, double capacity) { tokens = std::min(capacity, tokens + units); }

  // Returns whether the credit covers a request of `units`.
  bool Covers(double units) const { return tokens >= units; }
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_TOKEN_BUCKET_H_

// Token bucket: credit that accrues at a rate, up to a capacity, and is spent in request units.
//
// The owner states rate and capacity at each refill, so both may change while the bucket stands. No I/O,
// clock or thread; buckets belong to the records of the scheduler.
#ifndef WALNUTSPUR_LIMITS_TOKEN_BUCKET_H_
#define WALNUTSPUR_LIMITS_TOKEN_BUCKET_H_

#include <algorithm>

namespace walnutspur::limits {

// Credit of one rate limit, in units.
struct TokenBucket {
  double tokens = 0;

  // Adds `units` of credit and discards what exceeds `capacity` (units).
  void Refill(double units, double capacity) { tokens = std::min(capacity, tokens + units); }

  // Whether the credit covers a request of `units`.
  bool Covers(double units) const { return tokens >= units; }
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_TOKEN_BUCKET_H_

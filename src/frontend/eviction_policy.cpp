#include "frontend/eviction_policy.h"

namespace walnutspur::frontend {

Duration EvictionPolicy::GracePeriod(EvictionRank rank) const {
  switch (rank) {
    case EvictionRank::kHandshake:
      return limits_.handshake_grace;
    case EvictionRank::kNoRequestYet:
      return limits_.first_request_grace;
    case EvictionRank::kIdleAfterOneRequest:
      return limits_.second_request_grace;
    case EvictionRank::kIdleAfterManyRequests:
      return limits_.idle_grace;
    case EvictionRank::kClosing:
    case EvictionRank::kInUse:
      break;
  }
  return Duration::zero();
}

bool EvictionPolicy::IsEvictable(const EvictionCandidate& candidate, Time now) const {
  return candidate.rank != EvictionRank::kInUse &&
         Elapsed(candidate.since, now) >= GracePeriod(candidate.rank);
}

bool EvictionPolicy::IsBefore(const EvictionCandidate& left, const EvictionCandidate& right) {
  return left.rank != right.rank ? left.rank < right.rank : left.since < right.since;
}

}  // namespace walnutspur::frontend

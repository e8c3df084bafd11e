#include "frontend/eviction_policy.h"

namespace walnutspur::frontend {

Duration EvictionPolicy::GraceOf(ConnectionStage stage) const {
  switch (stage) {
    case ConnectionStage::kHandshake:
      return limits_.handshake_grace;
    case ConnectionStage::kNoRequestYet:
      return limits_.first_request_grace;
    case ConnectionStage::kIdleAfterOneRequest:
      return limits_.second_request_grace;
    case ConnectionStage::kIdleAfterManyRequests:
      return limits_.idle_grace;
    case ConnectionStage::kClosing:
    case ConnectionStage::kInUse:
      break;
  }
  return Duration::zero();
}

bool EvictionPolicy::IsEvictable(const EvictionCandidate& candidate, Time now) const {
  return candidate.stage != ConnectionStage::kInUse &&
         Elapsed(candidate.since, now) >= GraceOf(candidate.stage);
}

bool EvictionPolicy::IsBefore(const EvictionCandidate& left, const EvictionCandidate& right) {
  return left.stage != right.stage ? left.stage < right.stage : left.since < right.since;
}

}  // namespace walnutspur::frontend

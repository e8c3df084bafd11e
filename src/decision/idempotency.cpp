#include "decision/idempotency.h"

namespace walnutspur::decision {
namespace {

// Maximum time that a repeat takes to reach its target.
constexpr Time kDeduplicationSlack = ToTime(std::chrono::milliseconds(50));

}  // namespace

bool IsBoundToTarget(const SchedulerState& state, const RequestState& request) {
  return request.possible_effect.exists() &&
         state.ClassOf(request).idempotency == Idempotency::kIdempotentWithKey;
}

Time DeduplicatedUntil(const SchedulerState& state, const RequestState& request) {
  return request.possible_effect.sent_at + state.ClassOf(request).deduplication_window - kDeduplicationSlack;
}

bool IsRepeatSafe(const SchedulerState& state, const RequestState& request, int shard, int zone) {
  const RequestClass& request_class = state.ClassOf(request);
  const PossibleEffect& effect = request.possible_effect;
  if (!effect.exists() || request_class.idempotency == Idempotency::kIdempotent) {
    return true;
  }
  if (!IsBoundToTarget(state, request) || state.now >= DeduplicatedUntil(state, request)) {
    return false;
  }
  switch (request_class.deduplication_scope) {
    case DeduplicationScope::kAll:
      return true;
    case DeduplicationScope::kZone:
      return zone == effect.zone;
    case DeduplicationScope::kShard:
      return shard == effect.shard;
  }
  return false;
}

bool IsRejectionSafe(const SchedulerState& state, const RequestState& request) {
  const RequestClass& request_class = state.ClassOf(request);
  if (request_class.idempotency == Idempotency::kIdempotent) {
    return true;
  }
  const bool deduplicated_anywhere = request_class.idempotency == Idempotency::kIdempotentWithKey &&
                                     request_class.deduplication_scope == DeduplicationScope::kAll;
  const bool is_in_flight = request.target != nullptr;
  return !is_in_flight && (!request.possible_effect.exists() || deduplicated_anywhere);
}

}  // namespace walnutspur::decision

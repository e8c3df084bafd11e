#include "decision/dispatch.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include "decision/accounts.h"
#include "decision/admission.h"
#include "decision/concurrency_limit.h"
#include "decision/deadlines.h"
#include "decision/estimates.h"
#include "decision/idempotency.h"

namespace walnutspur::decision {
namespace {

// Added to the band of a request that is expected to miss its objective: it is sent after all requests that
// can meet theirs.
constexpr int kMissedObjectiveBands = 1000;
// Smallest weight with a band of its own; smaller weights share that band.
constexpr double kMinPriorityWeight = 1e-6;
// Fraction of a request that the reserve must cover for the request to count as reserved.
constexpr double kReservedFraction = 0.5;

// A queued request that may be sent, and its position in the order of dispatch.
struct Candidate {
  RequestState* request = nullptr;
  bool is_reserved = false;       // covered by its volume's reserve
  bool misses_objective = false;  // expected to miss its latency objective
  int band = 0;
  double start_tag = 0;

  bool Precedes(const Candidate& other) const {
    return std::tie(band, start_tag, request->arrived_at) <
           std::tie(other.band, other.start_tag, other.request->arrived_at);
  }
};

// Returns the priority band of a request: the negated floor of the binary logarithm of the weight that a unit
// earns if it is sent now. Reserved work earns the full weight, other work less. Within a band the start tags
// determine the order.
int PriorityBand(const SchedulerState& state, const RequestState& request, bool is_reserved) {
  const double share_weight = is_reserved ? 1 : state.settings.fair_share_weight;
  const double weight =
      state.ClassOf(request).priority_weight * request.flow->volume->plan->priority_factor * share_weight;
  return -static_cast<int>(std::floor(std::log2(std::max(kMinPriorityWeight, weight))));
}

// Returns whether key order and idempotency allow an attempt of the request at the target now.
bool MayAttempt(SchedulerState& state, const TargetState& target, const RequestState& request) {
  const bool key_order_allows = !state.IsOrdered(request) || state.key_order.MaySend(request, state.now);
  return key_order_allows && IsRepeatSafe(state, request, target.shard, target.zone);
}

// Returns whether the flow's throttle and the volume's limit cover the request.
bool IsCoveredByCredit(const Flow& flow, const RequestState& request) {
  const Volume& volume = *flow.volume;
  const bool is_throttled = flow.throttle > 0 && !flow.throttle_bucket.Covers(request.units);
  const bool is_limited =
      volume.plan->limit > 0 && !request.limit_charged && !volume.limit.Covers(request.units);
  return !is_throttled && !is_limited;
}

// Returns the first request of a queue that may be sent to the target, if throttle and volume limit cover it.
std::optional<Candidate> FindCandidate(SchedulerState& state, const TargetState& target, Flow& flow,
                                       const RequestQueue& queue) {
  const auto found = std::find_if(queue.begin(), queue.end(), [&](const RequestRef& queued) {
    return MayAttempt(state, target, *queued);
  });
  if (found == queue.end()) {
    return std::nullopt;
  }
  RequestState& request = **found;
  Refill(state, *flow.volume);
  Refill(state, flow);
  if (!IsCoveredByCredit(flow, request)) {
    return std::nullopt;
  }
  Candidate candidate;
  candidate.request = &request;
  candidate.is_reserved = flow.volume->reserve.Covers(kReservedFraction * request.units);
  candidate.misses_objective = !CanMeetObjective(state, request, target);
  candidate.band = PriorityBand(state, request, candidate.is_reserved);
  candidate.band += candidate.misses_objective ? kMissedObjectiveBands : 0;
  candidate.start_tag = flow.tag.StartTag(request.arrival_virtual_time);
  return candidate;
}

std::optional<Candidate> SelectNext(SchedulerState& state, const TargetState& target, ShardFlows& flows) {
  std::optional<Candidate> best;
  for (const auto& [number, flow] : flows.waiting) {
    for (const auto& queue : flow->queues) {
      const std::optional<Candidate> candidate = FindCandidate(state, target, *flow, queue);
      if (candidate && (!best || candidate->Precedes(*best))) {
        best = candidate;
      }
    }
  }
  return best;
}

bool SlowStartAdmits(SchedulerState& state, TargetState& target, double units) {
  const bool is_active = target.slow_start.IsActive(state.settings, state.now);
  const double demanded_rate = is_active ? DemandedRate(state, target) : 0;
  return target.slow_start.Admits(state.settings, units, demanded_rate, state.now);
}

void Send(SchedulerState& state, const Candidate& candidate, TargetState& target) {
  const RequestRef request = candidate.request->shared_from_this();
  state.flows.Remove(request);
  ChargeRequest(state, *request, candidate.is_reserved, candidate.start_tag, target);
  ++request->attempts;
  request->target = &target;
  request->sent_at = state.now;
  target.attempts.push_back({request, state.now, request->units});
  target.last_send = state.now;
  target.slow_start.OnSent(state.settings, request->units, state.now);
  const Time timeout = AttemptTimeout(state, *request);
  state.actions.emplace_back(SendAttempt{request->id, target.id, timeout, LatestSendTime(state, *request)});
}

}  // namespace

void Enqueue(SchedulerState& state, const RequestRef& request, Volume& volume, int shard) {
  const bool is_retry = request->attempts > 0;
  state.flows.Enqueue(request, &volume, shard, is_retry ? QueuePosition::kFront : QueuePosition::kBack,
                      state.settings.classes.size());
  request->flow->last_arrival = state.now;
  request->flow->demand.Add(is_retry ? 0 : request->units);
  const TargetState* target = state.endpoints.ActiveTarget(shard);
  request->arrival_virtual_time = target != nullptr ? target->virtual_clock.time : 0;
}

void DispatchQueued(SchedulerState& state, TargetState& target) {
  ShardFlows& flows = state.flows.Shard(target.shard);
  if (flows.waiting.empty() || !MayDispatchTo(state, target)) {
    return;
  }
  while (const std::optional<Candidate> next = SelectNext(state, target, flows)) {
    if (!HasCapacity(state, target, *next->request, next->is_reserved, next->misses_objective)) {
      MarkLimitBinding(state, target, next->is_reserved);
      return;
    }
    if (!SlowStartAdmits(state, target, next->request->units)) {
      return;
    }
    Send(state, *next, target);
  }
}

}  // namespace walnutspur::decision

#include "lab/sim/baseline_policy.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace walnutspur::lab::sim {
namespace {

constexpr int kMaxOutstanding = 16;       // attempts per server, for kLeastOutstanding
constexpr Time kRefillInterval = 20'000;  // us
constexpr double kBucketSeconds = 1;      // capacity of a bucket, in seconds of its rate

}  // namespace

std::vector<Action> BaselinePolicy::Handle(const Event& event, Time now) {
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, event);
  return std::exchange(actions_, {});
}

void BaselinePolicy::On(const Started&) { actions_.emplace_back(WatchEndpoints{}); }

void BaselinePolicy::On(const EndpointUpdate& event) {
  if (event.kind == EndpointUpdateKind::kFailed) {
    return;
  }
  if (event.kind != EndpointUpdateKind::kDelta) {
    targets_.clear();
  }
  for (const Endpoint& endpoint : event.endpoints) {
    targets_[endpoint.target].endpoint = endpoint;
  }
}

void BaselinePolicy::On(const RequestArrived& event) {
  OpenRequest& request = requests_[event.id];
  request.attributes = event;
  request.deadline = now_ + event.ttl;
  if (kind_ != Kind::kTokenBuckets) {
    Place(event.id);
    return;
  }
  TokenBucket& bucket = buckets_[event.volume];
  if (bucket.filled_at == 0) {
    bucket.tokens = BucketCapacity(event.plan);
  }
  bucket.waiting.push_back(event.id);
  DrainBucket(event.volume);
  StartRefillTimer();
}

void BaselinePolicy::On(const AttemptFinished& event) {
  const auto target = targets_.find(event.target);
  if (target != targets_.end()) {
    target->second.outstanding = std::max(0, target->second.outstanding - 1);
  }
  Resolve(event);
  if (target != targets_.end()) {
    SendWaiting(target->second);
  }
}

void BaselinePolicy::Resolve(const AttemptFinished& event) {
  const auto at = requests_.find(event.id);
  if (at == requests_.end()) {
    return;
  }
  if (event.request_finished) {
    requests_.erase(at);
    return;
  }
  const OpenRequest& request = at->second;
  const bool has_not_run = event.outcome == Outcome::kOverloaded ||
                           event.outcome == Outcome::kConnectFailed || event.outcome == Outcome::kNotSent;
  const Idempotency idempotency =
      settings_.classes[static_cast<std::size_t>(request.attributes.request_class)].idempotency;
  if ((has_not_run || idempotency == Idempotency::kIdempotent) && request.attempts < settings_.max_attempts &&
      now_ < request.deadline) {
    Place(event.id);
    return;
  }
  if (has_not_run) {
    actions_.emplace_back(RejectRequest{event.id, 0});
  } else {
    actions_.emplace_back(FailRequest{event.id});
  }
  requests_.erase(at);
}

void BaselinePolicy::On(const TimerFired&) {
  timer_running_ = false;
  for (auto& [volume, bucket] : buckets_) {
    if (!bucket.waiting.empty()) {
      DrainBucket(volume);
    }
  }
  StartRefillTimer();
}

void BaselinePolicy::On(const ClientDisconnected& event) { requests_.erase(event.id); }

// ---- placement ----

void BaselinePolicy::Place(const RequestId& id) {
  const std::vector<Target*> candidates = Candidates(requests_.at(id).attributes);
  if (candidates.empty()) {
    actions_.emplace_back(RejectRequest{id, 0});
    requests_.erase(id);
    return;
  }
  Target* target = candidates[random_.Below(candidates.size())];
  if (kind_ == Kind::kLeastOutstanding) {
    for (Target* other : candidates) {
      if (other->outstanding < target->outstanding) {
        target = other;
      }
    }
    if (target->outstanding >= kMaxOutstanding) {
      target->waiting.push_back(id);
      return;
    }
  }
  Send(*target, id);
}

std::vector<BaselinePolicy::Target*> BaselinePolicy::Candidates(const RequestArrived& attributes) {
  std::vector<Target*> candidates;
  for (auto& [name, target] : targets_) {
    const bool holds_shard = attributes.shard < 0 || target.endpoint.shard == attributes.shard;
    if (target.endpoint.state == EndpointState::kActive && holds_shard) {
      candidates.push_back(&target);
    }
  }
  return candidates;
}

void BaselinePolicy::Send(Target& target, const RequestId& id) {
  ++requests_.at(id).attempts;
  ++target.outstanding;
  actions_.emplace_back(SendAttempt{id, target.endpoint.target, 0});
}

void BaselinePolicy::SendWaiting(Target& target) {
  while (target.outstanding < kMaxOutstanding && !target.waiting.empty()) {
    const RequestId id = target.waiting.front();
    target.waiting.pop_front();
    if (!requests_.contains(id)) {
      continue;
    }
    if (target.endpoint.state != EndpointState::kActive) {
      Place(id);
    } else {
      Send(target, id);
    }
  }
}

// ---- token buckets ----

// Divides the volume's rate evenly among its initiators, regardless of what each of them uses.
double BaselinePolicy::RatePerInitiator(int plan) const {
  return settings_.plans[static_cast<std::size_t>(plan)].rate / std::max(1, initiator_count_);
}

double BaselinePolicy::BucketCapacity(int plan) const {
  return std::max(settings_.max_request_units, kBucketSeconds * RatePerInitiator(plan));
}

void BaselinePolicy::DrainBucket(const std::string& volume) {
  TokenBucket& bucket = buckets_[volume];
  while (!bucket.waiting.empty()) {
    const auto at = requests_.find(bucket.waiting.front());
    if (at == requests_.end()) {
      bucket.waiting.pop_front();
      continue;
    }
    const RequestArrived& attributes = at->second.attributes;
    initiator_count_ = attributes.initiator_count;
    const double seconds = static_cast<double>(now_ - bucket.filled_at) / 1e6;
    if (bucket.filled_at != 0) {
      bucket.tokens = std::min(BucketCapacity(attributes.plan),
                               bucket.tokens + seconds * RatePerInitiator(attributes.plan));
    }
    bucket.filled_at = now_;
    if (bucket.tokens < attributes.units) {
      return;
    }
    bucket.tokens -= attributes.units;
    const RequestId id = at->first;
    bucket.waiting.pop_front();
    Place(id);
  }
}

void BaselinePolicy::StartRefillTimer() {
  const bool any_waits = std::any_of(buckets_.begin(), buckets_.end(),
                                     [](const auto& entry) { return !entry.second.waiting.empty(); });
  if (any_waits && !std::exchange(timer_running_, true)) {
    actions_.emplace_back(StartTimer{0, kRefillInterval});
  }
}

}  // namespace walnutspur::lab::sim

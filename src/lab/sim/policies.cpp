#include "lab/sim/policies.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/random.h"

namespace walnutspur::lab {
namespace {

constexpr int kMostOut = 16;       // "least-out": attempts at a box
constexpr Time kTick = 20'000;     // us between looks at the buckets
constexpr double kBucketSpan = 1;  // s of rate that a bucket holds

// What all baselines share: the list, one try after another where that is allowed, and the drain.
class Plain {
 public:
  enum class Kind { kAtOnce, kBuckets, kLeastOut };

  Plain(Kind kind, const Settings& settings, std::uint64_t seed)
      : kind_(kind), settings_(settings), random_(seed, "baseline") {}

  std::vector<Action> Handle(const Event& event, Time now) {
    now_ = now;
    std::visit([this](const auto& e) { On(e); }, event);
    return std::exchange(actions_, {});
  }

 private:
  struct Box {
    Endpoint entry;
    int out = 0;
    std::deque<RequestId> waiting;
  };
  struct Held {
    RequestArrived what;
    Time deadline = 0;
    int tries = 0;
    std::optional<TargetId> at;  // of the attempt that is out
  };
  struct Bucket {
    double tokens = 0;
    Time at = 0;
    std::deque<RequestId> waiting;
  };

  void On(const Started&) { actions_.emplace_back(WatchEndpoints{}); }
  void On(const EndpointUpdate& list) {
    if (list.kind == EndpointUpdateKind::kFailed) {
      return;
    }
    if (list.kind != EndpointUpdateKind::kDelta) {
      boxes_.clear();
    }
    for (const Endpoint& entry : list.endpoints) {
      boxes_[entry.target].entry = entry;
    }
  }
  void On(const RequestArrived& arrival) {
    Held& held = held_[arrival.id];
    held.what = arrival;
    held.deadline = now_ + arrival.ttl;
    if (kind_ != Kind::kBuckets) {
      return Place(arrival.id);
    }
    Bucket& bucket = buckets_[arrival.volume];
    if (bucket.at == 0) {
      bucket.tokens = Most(arrival.plan);
    }
    bucket.waiting.push_back(arrival.id);
    Drip(arrival.volume);
    Tick();
  }
  void On(const AttemptFinished& done) {
    const auto box = boxes_.find(done.target);
    if (box != boxes_.end()) {
      box->second.out = std::max(0, box->second.out - 1);
    }
    const auto at = held_.find(done.id);
    if (at != held_.end()) {
      Held& held = at->second;
      held.at.reset();
      const bool never = done.outcome == Outcome::kOverloaded || done.outcome == Outcome::kConnectFailed ||
                         done.outcome == Outcome::kNotSent;
      const Idempotency effect =
          settings_.classes[static_cast<std::size_t>(held.what.request_class)].idempotency;
      if (done.request_finished) {
        held_.erase(at);
      } else if ((never || effect == Idempotency::kIdempotent) && held.tries < settings_.max_attempts &&
                 now_ < held.deadline) {
        Place(done.id);
      } else {
        if (never) {
          actions_.emplace_back(RejectRequest{done.id, 0});
        }
        if (!never) {
          actions_.emplace_back(FailRequest{done.id});
        }
        held_.erase(at);
      }
    }
    if (box != boxes_.end()) {
      Next(box->second);
    }
  }
  void On(const TimerFired&) {
    ticking_ = false;
    for (auto& [volume, bucket] : buckets_) {
      if (!bucket.waiting.empty()) {
        Drip(volume);
      }
    }
    Tick();
  }
  void On(const ClientDisconnected& gone) { held_.erase(gone.id); }
  void On(const HealthCheckFinished&) {}
  void On(const FleetSize&) {}
  void On(const ResponseStarted&) {}

  double Rate(int plan) const {
    return settings_.plans[static_cast<std::size_t>(plan)].rate / std::max(1, mounts_);
  }
  double Most(int plan) const { return std::max(settings_.max_request_units, kBucketSpan * Rate(plan)); }

  // Each host has an even part of the volume's rate, whatever the others do with theirs.
  void Drip(const std::string& volume) {
    Bucket& bucket = buckets_[volume];
    while (!bucket.waiting.empty()) {
      const auto at = held_.find(bucket.waiting.front());
      if (at == held_.end()) {
        bucket.waiting.pop_front();
        continue;
      }
      mounts_ = at->second.what.initiator_count;
      const double seconds = static_cast<double>(now_ - bucket.at) / 1e6;
      const int plan = at->second.what.plan;
      if (bucket.at != 0) {
        bucket.tokens = std::min(Most(plan), bucket.tokens + seconds * Rate(plan));
      }
      bucket.at = now_;
      if (bucket.tokens < at->second.what.units) {
        return;
      }
      bucket.tokens -= at->second.what.units;
      const RequestId id = at->first;
      bucket.waiting.pop_front();
      Place(id);
    }
  }
  void Tick() {
    const bool any = std::any_of(buckets_.begin(), buckets_.end(),
                                 [](const auto& b) { return !b.second.waiting.empty(); });
    if (!any || std::exchange(ticking_, true)) {
      return;
    }
    actions_.emplace_back(StartTimer{0, kTick});
  }

  void Place(const RequestId& id) {
    Held& held = held_.at(id);
    std::vector<Box*> fit;
    for (auto& [name, box] : boxes_) {
      if (box.entry.state == EndpointState::kActive &&
          (held.what.shard < 0 || box.entry.shard == held.what.shard)) {
        fit.push_back(&box);
      }
    }
    if (fit.empty()) {
      actions_.emplace_back(RejectRequest{id, 0});
      held_.erase(id);
      return;
    }
    Box* box = fit[random_.Below(fit.size())];
    if (kind_ == Kind::kLeastOut) {
      for (Box* other : fit) {
        if (other->out < box->out) {
          box = other;
        }
      }
      if (box->out >= kMostOut) {
        return box->waiting.push_back(id);
      }
    }
    Out(*box, id);
  }
  void Out(Box& box, const RequestId& id) {
    Held& held = held_.at(id);
    ++held.tries;
    ++box.out;
    held.at = box.entry.target;
    actions_.emplace_back(SendAttempt{id, box.entry.target, 0});
  }
  void Next(Box& box) {
    while (box.out < kMostOut && !box.waiting.empty()) {
      const RequestId id = box.waiting.front();
      box.waiting.pop_front();
      if (!held_.contains(id)) {
        continue;
      }
      if (box.entry.state != EndpointState::kActive) {
        Place(id);
      } else {
        Out(box, id);
      }
    }
  }

  Kind kind_;
  Settings settings_;
  Random random_;
  Time now_ = 0;
  std::map<TargetId, Box> boxes_;
  std::unordered_map<RequestId, Held> held_;
  std::map<std::string, Bucket> buckets_;
  int mounts_ = 1;
  bool ticking_ = false;
  std::vector<Action> actions_;
};

}  // namespace

core::DecisionFunction MakePolicy(const std::string& name, const Settings& settings, std::uint64_t seed) {
  if (name == "walnutspur") {
    auto scheduler = std::make_shared<Scheduler>(settings, seed);
    return [scheduler](const Event& event, Time now) { return scheduler->Handle(event, now); };
  }
  const auto plain = [&](Plain::Kind kind) -> core::DecisionFunction {
    auto policy = std::make_shared<Plain>(kind, settings, seed);
    return [policy](const Event& event, Time now) { return policy->Handle(event, now); };
  };
  if (name == "at-once") {
    return plain(Plain::Kind::kAtOnce);
  }
  if (name == "buckets") {
    return plain(Plain::Kind::kBuckets);
  }
  if (name == "least-out") {
    return plain(Plain::Kind::kLeastOut);
  }
  throw std::runtime_error("unknown policy '" + name +
                           "'; allowed are walnutspur, at-once, buckets, least-out");
}

}  // namespace walnutspur::lab

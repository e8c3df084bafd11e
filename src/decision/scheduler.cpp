// Every decision of walnutspur. The types, events and actions are in include/walnutspur/scheduler.h.
//
// The path of a request: arrival -> queue of its stream (volume and cell) -> the stream's tokens cover the
// head (unthrottled streams pass) -> among the heads at a node, grade and plan-weighted start tag choose
// (start-time fair queueing) -> the node's bound of units out has room -> send. Once an interval the control
// loop (SLEDS) relaxes streams that miss their aim and tightens those that can best afford it.
#include "walnutspur/scheduler.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

#include "limits/abandonment_estimate.h"
#include "limits/backoff.h"
#include "limits/slow_start.h"
#include "routing/outcome_history.h"

namespace walnutspur {
namespace {

// ---- tuned values ----
constexpr Time kTick = 20'000;          // us; the paper's timer: held requests move at least this often
constexpr Time kInterval = 1'000'000;   // us; the paper's interval of the control loop
constexpr Time kDepthEvery = 200'000;   // us; the bound follows latency within a fraction of a surge
constexpr double kMargin = 1.05;        // the paper's margin over the rate that a plan is promised
constexpr double kTighten = 0.8;        // factor a step; halves a guilty stream in three intervals
constexpr double kLoosen = 1.15;        // factor a step; gradual, slower than tightening
constexpr double kRelease = 3.0;        // times its use: a limit this loose restrains nothing, so it goes
constexpr double kBucketSpan = 0.25;    // s of rate that a bucket holds: idle time stores no surplus
constexpr double kAimForWait = 0.08;    // part of the tightest aim that waiting at a node may take
constexpr double kAimForReserve = 0.3;  // the same for work inside its reserve, which earns full worth
constexpr double kDepthGain = 0.4;      // step of the bound towards what latency asks for
constexpr double kDepthDrift = 0.5;  // usual requests added a step: bounds of hosts meet each other; all of
constexpr double kDriftHosts = 5;    // them together add what so many hosts do: a node's few cores stay busy
constexpr double kDepthStart = 3;    // usual requests out at a node not known yet: all hosts start at once
constexpr double kDepthMost = 64;    // usual requests; beyond it latency no longer tells anything
constexpr double kReserveSpan = 2;   // s of this host's reserved rate at a node that may always be out
constexpr double kPaceLeast = 0.05;  // usual requests: the least bound of a host,
constexpr double kPaceHosts = 200;   // among so many; of more hosts each has a smaller part of a box
constexpr double kAimForPace = 0.2;  // like kAimForWait, for a bound under one usual request: one answer
                                     // cannot tell a little waiting from uneven work
constexpr double kUneven = 2;        // times its least work: what an answer may take longer by itself
constexpr double kBaseFall = 0.2;    // weight of a sample under the uncongested baseline
constexpr double kBaseRise = 0.01;   // weight of one above it: the baseline is a low quantile
constexpr double kWaitGain = 0.3;    // weight of the newest queueing delay
constexpr double kWaitFades = 500'000;     // us in which an old wait fades to a third: queues drain
constexpr double kFleetFades = 2e6;        // us over which answers of all nodes tell of one not heard of
constexpr double kFirstUnitTime = 20'000;  // us a unit, until the first answers tell
constexpr double kLostAfter = 4;           // times its own work by which an attempt must be overtaken, and
constexpr double kAimForLost = 0.25;       // part of the tightest aim: then it is lost, not slow
constexpr double kAgainAfter = 4;          // times its own work by which an attempt is overtaken, and
constexpr double kAimForAgain = 0.12;      // part of its own aim: then it is sent again, if that is safe
constexpr double kLinger = 3;              // times its age that what ended unanswered stays in the count
constexpr double kTrialAfter = 0.8;  // part of the tightest aim without a send to a node that looks stuck,
constexpr double kTrialWaits = 4;    // and so many of its usual waits: then it gets a trial
constexpr Time kFullRest = 30'000;   // us a node rests after it turned a request away, doubling
constexpr int kFullDoublings = 5;    // times at most: a full queue takes seconds to drain
constexpr Time kDownRest = 200'000;  // us a node rests after a connection was refused, doubling
constexpr int kDownDoublings = 3;    // times at most while no answer comes: back within 1.6 s
constexpr Time kTrackSeldom = 16'000'000;   // us at most until the list is asked for after a failed call
constexpr Time kTrackPatience = 5'000'000;  // us for an answer: longer than a call waits, well under askEvery
constexpr Time kWindowSlack = 50'000;  // us before a target forgets a key: a repeat is under way that long
constexpr double kRisk = 2;            // times the tightest aim that a new object may wait rather than fail
constexpr double kSpread = 0.2;        // random part of a placement's cost: hosts do not herd
constexpr double kPlacedFades = 5e6;   // us; reads of new objects follow them for some seconds
constexpr Time kFresh = 4'000'000;     // us; older reports of a volume's use say nothing of now
constexpr int kLate = 1000;            // bands: what is likely late comes after all that is not
constexpr Time kForget = 30'000'000;   // us after which a volume that asks for nothing is forgotten
constexpr double kSecond = 1e6;        // us

struct Node;

using limits::DecayingCounter;

struct Request {
  RequestId id;
  int cls = 0;
  std::string key;
  double units = 1;
  Time came = 0, aim_at = 0, deadline = 0;
  bool free = false;   // a new object: any node may take it
  bool drawn = false;  // has drawn on its volume's limit
  bool ended = false;  // has its final answer
  int attempts = 0;
  Node* out = nullptr;  // where an attempt is out
  Time sent = 0;
  int called_back = 0;   // the attempt, counted from 1, that was called back
  double tag_floor = 0;  // the node's virtual time when it came
  Time risk = -1;        // send of the first attempt that may have run
  int risk_cell = -1, risk_zone = -1;
  struct Stream* stream = nullptr;
};
using Ref = std::shared_ptr<Request>;

struct Attempt {
  Ref request;
  Time sent = 0;
  double units = 0;
  Time until = 0;  // ended without an answer, taken to be at the node until then; 0: not ended
};

struct Bound {
  double units = 0;  // that may be out
  bool hit = false;  // it held something back since the last step
};

struct Node {
  TargetId target;
  int cell = 0, zone = 0;
  Time launched = 0;
  bool live = false, gone = false, takes_new = true;
  std::vector<Attempt> out;
  Bound share, reserve;  // for work beyond and inside its volume's reserve
  double unit_time = kFirstUnitTime;
  double wait = 0;                 // us of queueing lately
  Time heard = 0;                  // when that was learnt
  Time passed = 0;                 // the latest send that has come back
  routing::OutcomeHistory record;  // what became of attempts here
  DecayingCounter placed;          // units of new objects put here
  limits::SteadyStateRate usual;   // service to this host while warm, kept for the node's next start
  limits::SlowStart cold;          // and what that leaves to send after it
  double excess = 0, work = 0;     // sums of queueing and of least work since the last step, us
  int samples = 0;
  double vtime = 0;
  double reserved_rate = 0;  // units a second that come here inside reserves
  Time last_send = 0;
  Time rest_until = 0;
  int refusals = 0, fulls = 0;  // connections refused and requests turned away since its last answer
};

struct Volume {
  int number = 0;  // in order of first sight
  const Plan* plan = nullptr;
  int mounts = 1;
  double reserve = 0, store = 0;  // units left in the reserve and in this host's part of the limit
  Time filled = 0;
  double rate = 0;  // units a second that came here lately
  double came = 0;  // units since the last interval
  double use = 0;   // fleet-wide use over the plan's rate
  Time use_at = -1;
  Time last = 0;  // arrival
};

struct Stream {
  Volume* volume = nullptr;
  int cell = 0;
  std::vector<std::deque<Ref>> queues;  // a queue for each class
  double finish = 0;                    // virtual finish tag
  Time last = 0;                        // arrival
  double limit = 0, tokens = 0;         // 0: not throttled
  Time filled = 0;
  double rate = 0, came = 0;
  double lateness = 0;  // sum of latency over aim
  int samples = 0;
};

struct Streams
    : std::map<int, Stream> {  // of one cell, by the volume's number: addresses have no fixed order
  std::size_t held = 0;        // requests in their queues: most cells of a large fleet hold none
};

struct Key {
  std::deque<Ref> chain;  // the requests that carry it, in the order they were taken
  Time rest_until = 0;
  void Settle() {
    while (!chain.empty() && chain.front()->ended && !chain.front()->out) chain.pop_front();
  }
};

bool NeverRan(Outcome o) {
  return o == Outcome::kOverloaded || o == Outcome::kConnectFailed || o == Outcome::kNotSent;
}

}  // namespace

class Scheduler::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : s_(settings), rng_(seed) {
    tightest_aim_ = 1e18;
    for (const RequestClass& c : s_.classes)
      tightest_aim_ = std::min(tightest_aim_, double(c.latency_objective));
    if (s_.plans.empty()) s_.plans.emplace_back();
  }

  std::size_t Remembered() const;

  std::vector<Action> Handle(const Event& event, Time now) {
    now_ = now;
    actions_.clear();
    std::visit([this](const auto& e) { On(e); }, event);
    return std::move(actions_);
  }

 private:
  // ---- events ----

  void On(const Started&) {
    born_ = next_interval_ = next_depth_ = now_;
    if (s_.discovery == DiscoveryMode::kSubscribe) Track();
    actions_.push_back(StartTimer{0, kTick});
  }

  void On(const TimerFired&) {
    actions_.push_back(StartTimer{0, kTick});
    patience_ = leaving_.SafeFraction(now_);
    if (track_at_ >= 0 && now_ >= track_at_) Track();
    if (now_ >= next_depth_) AdaptDepth();
    if (now_ >= next_interval_) ControlLoop();
    for (auto& [target, node] : nodes_) Pump(node);
    Sweep();
  }

  void On(const EndpointUpdate& m) {
    if (m.kind != EndpointUpdateKind::kCached) track_at_ = -1;
    if (m.kind == EndpointUpdateKind::kFailed) {
      if (s_.discovery == DiscoveryMode::kSubscribe) track_at_ = now_ + list_calls_.NextDelay(now_, Random());
      return;
    }
    if (m.kind != EndpointUpdateKind::kCached) list_calls_.OnResponse();
    if (m.kind == EndpointUpdateKind::kFull || m.kind == EndpointUpdateKind::kCached) {
      for (auto& [target, node] : nodes_) node.live = false, node.gone = true;
    }
    for (const Endpoint& e : m.endpoints) Learn(e);
    for (auto& [target, node] : nodes_) {
      const auto holder = holders_.find(node.cell);
      if (node.live && (holder == holders_.end() || !holder->second->live)) holders_[node.cell] = &node;
    }
    for (auto& [target, node] : nodes_) Pump(node);
  }

  void Learn(const Endpoint& e) {
    auto [it, fresh] = nodes_.try_emplace(e.target);
    Node& node = it->second;
    if (fresh || e.started_at > node.launched) {  // a process that is new to us: nothing learnt holds
      node.share.units = node.reserve.units = kDepthStart * s_.mean_request_units;
      node.wait = 0;
      node.rest_until = 0;
      const auto before = holders_.find(e.shard);
      if (fresh && before != holders_.end()) node.usual = before->second->usual;
      node.record = {};
      if (e.started_at > 0) node.usual.Suspend(std::min(now_, e.started_at));  // else it has not started anew
      const double first = Random() * s_.mean_request_units;  // hosts must not all start with a send
      node.cold.Start(e.started_at, now_, node.usual.Rate(now_, born_), first);
    }
    node.target = e.target;
    node.cell = e.shard;
    node.zone = e.zone;
    node.launched = e.started_at;
    node.takes_new = e.accepts_new_objects;
    node.live = e.state == EndpointState::kActive;
    node.gone = e.state == EndpointState::kTerminated;
    if (node.live) holders_[e.shard] = &node;
  }

  void On(const RequestArrived& a) {
    if (s_.rules.retry_budget_window) arrivals_.push_back(now_);
    auto r = std::make_shared<Request>();
    r->id = a.id;
    r->cls = std::clamp(a.request_class, 0, int(s_.classes.size()) - 1);
    const RequestClass& c = s_.classes[r->cls];
    r->key = a.key;
    r->units = a.units;
    r->came = now_;
    r->deadline = now_ + a.ttl;
    // The aim runs from the first try. A client that waits shorter than that is in a hurry, not late; but
    // what it repeats is late: its last try was too long for it, and such clients repeat many times.
    r->aim_at = a.ttl < c.latency_objective ? (a.is_client_retry ? now_ : r->deadline)
                                            : r->deadline - c.deadline + c.latency_objective;
    r->free = a.shard < 0;
    requests_[r->id] = r;
    if (c.ordered_by_key && !r->key.empty()) keys_[r->key].chain.push_back(r);
    Volume& volume = VolumeOf(a);
    volume.came += r->units;
    volume.last = now_;
    Enqueue(r, &volume, r->free ? Place(*r) : a.shard);
    if (Node* node = Holder(r->stream->cell)) Pump(*node);
    // Rule: no request lost. No timer would see one held in time that has next to no time left.
    if (a.ttl < 2 * kTick && !r->out) Finish(r);
  }

  void On(const AttemptFinished& d) {
    const auto found = requests_.find(d.id);
    const auto at = nodes_.find(d.target);
    if (found == requests_.end() || at == nodes_.end()) return;
    const Ref r = found->second;
    Node& node = at->second;
    if (r->out != &node || d.attempt != r->attempts - 1) return;
    r->out = nullptr;
    EndAttempt(*r, d, node);
    LearnUse(*r, d, node);
    LearnLatency(*r, d, node);
    const bool maybe_ran = !NeverRan(d.outcome);
    const RequestClass& c = s_.classes[r->cls];
    if (maybe_ran && r->risk < 0) {
      r->risk = r->sent;
      r->risk_cell = node.cell;
      r->risk_zone = node.zone;
    }
    const bool may_linger = d.outcome == Outcome::kTimedOut || d.outcome == Outcome::kConnectionReset ||
                            d.outcome == Outcome::kCancelled;
    if (may_linger && c.ordered_by_key && !r->key.empty() && s_.rules.key_quarantine) {
      keys_[r->key].rest_until = std::max(keys_[r->key].rest_until, now_ + *s_.rules.key_quarantine);
    }
    if (d.request_finished || r->ended) {
      NoteStay(*r, false);
      r->ended = true;
      requests_.erase(d.id);
    } else if (MayTryAgain(*r, d.outcome)) {
      const bool bound =
          r->risk >= 0 && c.idempotency == Idempotency::kIdempotentWithKey;  // to those that drop its repeats
      Enqueue(r, r->stream->volume, r->free && !bound ? Place(*r) : r->stream->cell);
    } else {
      Finish(r);
    }
    if (d.outcome == Outcome::kCompleted) CallBack(node);
    Pump(node);
    if (r->stream && r->stream->cell != node.cell && !r->ended) {
      if (Node* other = Holder(r->stream->cell)) Pump(*other);
    }
  }

  void On(const ClientDisconnected& a) {
    const auto found = requests_.find(a.id);
    if (found == requests_.end()) return;
    const Ref r = found->second;
    NoteStay(*r, true);
    r->ended = true;
    Drop(r);
    // Nobody waits for it any more: a node that drops waiting work is spared it.
    if (r->out && s_.can_cancel) actions_.push_back(CancelAttempt{r->id, r->attempts - 1});
    if (!r->out) requests_.erase(found);
  }

  void On(const ResponseStarted& e) {  // the attempt is the client's now: nothing more is owed
    const auto found = requests_.find(e.id);
    if (found != requests_.end()) found->second->ended = true;
  }

  void On(const HealthCheckFinished&) {}

  void On(const FleetSize& f) {
    s_.instances = std::max(1, f.live_instances);
    s_.traffic_fraction = f.traffic_fraction;
    list_calls_.SetInstanceCount(s_.instances);
  }

  // A node that drops nothing still does what was called back or timed out. Such an attempt stays in the
  // count for as long again as it has waited, times kLinger, unless a later one is answered before. Guards
  // against clients that leave early, time-outs, and hung nodes alike: without it the bound looks free and
  // hundreds of hosts refill a queue that nobody waits for. It could hurt where nodes drop such work: they
  // idle so long.
  void EndAttempt(const Request& r, const AttemptFinished& d, Node& node) {
    const auto at = std::find_if(node.out.begin(), node.out.end(),
                                 [&](const Attempt& a) { return a.request.get() == &r && a.until == 0; });
    if (at == node.out.end()) return;
    const bool lingers = d.outcome == Outcome::kTimedOut || d.outcome == Outcome::kCancelled;
    if (lingers && !Lost(*at, node)) {
      at->until = now_ + Time(kLinger * double(now_ - at->sent)) + 1;
    } else {
      node.out.erase(at);
    }
    std::erase_if(node.out, [&](const Attempt& a) { return a.until > 0 && Gone(a, node); });
  }

  bool Gone(const Attempt& a, const Node& node) const { return now_ >= a.until || Lost(a, node); }

  // A client that is in a hurry, or was answered too late, tells nothing of when others leave.
  void NoteStay(const Request& r, bool left) {
    const double aim = double(s_.classes[r.cls].latency_objective);
    const double age = double(now_ - r.came) / aim;
    if (!r.ended && (!left || age < 1) && double(r.deadline - r.came) >= aim)
      leaving_.Record(age, left, now_);
  }

  Time LateAt(const Request& r) const {
    return std::min(r.aim_at, r.came + Time(patience_ * double(s_.classes[r.cls].latency_objective)));
  }

  // ---- streams and queues ----

  Volume& VolumeOf(const RequestArrived& a) {
    auto [it, fresh] = volumes_.try_emplace(a.volume);
    Volume& v = it->second;
    v.plan = &s_.plans[std::clamp(a.plan, 0, int(s_.plans.size()) - 1)];
    v.mounts = std::max(1, a.initiator_count);
    if (fresh) {
      v.number = ++last_volume_;
      v.filled = now_;
      v.reserve = ReserveCap(v);
      // Rule: limits. An earlier life of this instance may have spent the store, and nothing tells; so it
      // starts empty and holds what has filled since the start of this one.
      v.store = std::min(v.plan->burst, v.plan->limit * (now_ - born_) / kSecond) / v.mounts;
    }
    return v;
  }

  double ReservePart(const Volume& v) const { return s_.reports_remote_usage ? 1.0 : 1.0 / v.mounts; }

  double ReserveCap(const Volume& v) const {
    return v.plan->reserved_rate > 0 ? v.plan->reserved_rate * ReservePart(v) + s_.max_request_units : 0;
  }

  void Fill(Volume& v) const {
    const double span = (now_ - v.filled) / kSecond;
    v.filled = now_;
    v.reserve = std::min(ReserveCap(v), v.reserve + v.plan->reserved_rate * ReservePart(v) * span);
    v.store = std::min(v.plan->burst / v.mounts, v.store + v.plan->limit / v.mounts * span);
  }

  void Fill(Stream& st) const {
    if (st.limit <= 0) return;
    const double cap = std::max(s_.max_request_units, st.limit * kBucketSpan);
    st.tokens = std::min(cap, st.tokens + st.limit * (now_ - st.filled) / kSecond);
    st.filled = now_;
  }

  void Enqueue(const Ref& r, Volume* volume, int cell) {
    auto [it, fresh] = cells_[cell].try_emplace(volume->number);
    Stream& st = it->second;
    if (fresh) {
      st.volume = volume;
      st.cell = cell;
      st.queues.resize(s_.classes.size());
    }
    if (r->attempts == 0) st.came += r->units;
    st.last = now_;
    r->stream = &st;
    ++cells_[cell].held;
    const Node* node = Holder(cell);
    r->tag_floor = node ? node->vtime : 0;
    auto& queue = st.queues[r->cls];
    if (r->attempts > 0) {
      queue.push_front(r);
    } else {
      queue.push_back(r);
    }
  }

  void Drop(const Ref& r) {
    if (!r->stream) return;
    cells_[r->stream->cell].held -= std::erase(r->stream->queues[r->cls], r);
  }

  Node* Holder(int cell) {
    const auto it = holders_.find(cell);
    return it != holders_.end() && it->second->live ? it->second : nullptr;
  }

  // A new object goes where it is likely to be done first; its later reads follow it.
  int Place(const Request& r) {
    int best = -1;
    double best_cost = 0;
    for (const auto& [cell, node] : holders_) {
      if (!node->live || !node->takes_new) continue;
      const double follow = node->placed.Now(now_, kPlacedFades);
      double cost = ExpectedWait(*node) + (UnitsOut(*node) + r.units + follow) * node->unit_time;
      cost += cells_[cell].held * s_.mean_request_units * node->unit_time;
      if (node->rest_until > now_) cost += double(node->rest_until - now_);
      cost += kRisk * tightest_aim_ * routing::FailureProbability(node->record, zones_[node->zone], now_);
      if (node->cold.IsActive(s_, now_)) cost += tightest_aim_;
      cost *= 1 + kSpread * Random();
      if (best < 0 || cost < best_cost) {
        best = cell;
        best_cost = cost;
      }
    }
    if (best >= 0) holders_[best]->placed.Add(r.units, now_, kPlacedFades);
    return best;
  }

  // ---- what leaves ----

  bool KeyFree(const Request& r) {
    if (!s_.classes[r.cls].ordered_by_key || r.key.empty()) return true;
    Key& key = keys_[r.key];
    key.Settle();
    if (key.chain.empty() || key.chain.front().get() != &r) return false;
    return r.attempts > 0 || now_ >= key.rest_until;
  }

  bool Feasible(const Request& r, const Node& node) const {
    return now_ + ExpectedWait(node) + r.units * node.unit_time <= LateAt(r);
  }

  // What a unit earns if it leaves now: full inside the reserve, less in the share, little too late. Bands of
  // a factor of two; within a band the start tags decide.
  int Band(const Request& r, const Stream& st, bool reserved) const {
    const RequestClass& c = s_.classes[r.cls];
    double worth =
        c.priority_weight * st.volume->plan->priority_factor * (reserved ? 1 : s_.fair_share_weight);
    return -int(std::floor(std::log2(std::max(1e-6, worth))));
  }

  void Pump(Node& node) {
    Streams& streams = cells_[node.cell];
    if (streams.held == 0 || !node.live || now_ < node.rest_until || Holder(node.cell) != &node) return;
    while (true) {
      Ref best;
      int best_grade = 0;
      bool best_reserved = false, best_late = false;
      double best_tag = 0;
      for (auto& [number, st] : streams) {
        Volume* volume = st.volume;
        bool filled = false;
        for (auto& queue : st.queues) {
          for (const Ref& r : queue) {
            if (!KeyFree(*r) || !RepeatIsSafe(*r, node.cell, node.zone)) continue;
            if (!filled) Fill(*volume), Fill(st);
            filled = true;
            if (st.limit > 0 && st.tokens < r->units) break;
            if (volume->plan->limit > 0 && !r->drawn && volume->store < r->units) break;
            const bool reserved = volume->reserve >= r->units / 2;
            const bool late = !Feasible(*r, node);
            const int grade = Band(*r, st, reserved) + (late ? kLate : 0);
            const double tag = std::max(st.finish, r->tag_floor);
            const bool better =
                !best || grade < best_grade ||
                (grade == best_grade && (tag < best_tag || (tag == best_tag && r->came < best->came)));
            if (better) {
              best = r, best_grade = grade, best_tag = tag;
              best_reserved = reserved, best_late = late;
            }
            break;
          }
        }
      }
      if (!best) return;
      // What is likely to be late takes only room that nothing else is using.
      const double out = UnitsOut(node);
      // A node that looks stuck gets a trial now and then: nothing else can show that it answers again, or
      // that what is out there was swallowed. Covers hung, paused and lossy nodes alike; a truly hung node
      // costs those few requests.
      const bool trial = out > 0 && now_ - node.last_send > TrialGap(node);
      const bool unheard = now_ - node.heard > kWaitFades;  // then it may only look idle
      const double wait = ExpectedWait(node);
      const bool busy =
          !trial && (out > 0 || (best_late && unheard) || wait > kAimForWait * patience_ * tightest_aim_);
      Bound& bound = best_reserved ? node.reserve : node.share;
      Bound& all = best_reserved ? reserve_ : share_;
      const double units = unheard ? std::min(bound.units, all.units) : bound.units;
      // Of hundreds of hosts each always having one request out swamps a node: below that, sends are paced.
      const double gap = (best->units / units - 1) * (best->units * node.unit_time + node.wait);
      const bool full = out > 0 ? out + best->units > units : double(now_ - node.last_send) < gap;
      if ((busy && best_late) || (!trial && full)) {
        bound.hit = all.hit = true;
        return;
      }
      const double demand = node.cold.IsActive(s_, now_) ? Demanded(node) : 0;
      if (!node.cold.Admits(s_, best->units, demand, now_)) return;
      Dispatch(best, node, best_reserved, best_tag);
    }
  }

  void Dispatch(const Ref& r, Node& node, bool reserved, double tag) {
    Stream& st = *r->stream;
    Volume& v = *st.volume;
    Drop(r);
    if (reserved) {
      v.reserve -= r->units;
    } else {
      node.vtime = std::max(node.vtime, tag);
      st.finish = tag + r->units / v.plan->weight;
    }
    if (st.limit > 0) st.tokens -= r->units;
    if (!r->drawn && v.plan->limit > 0) v.store -= r->units;
    r->drawn = true;
    if (r->attempts > 0 && s_.rules.retry_budget_window) further_.push_back(now_);
    ++r->attempts;
    r->out = &node;
    r->sent = now_;
    node.out.push_back({r, now_, r->units});
    node.last_send = now_;
    node.cold.OnSent(s_, r->units, now_);
    // Past its aim an answer earns little, and its place in the queue costs those behind it: nodes that drop
    // what has timed out clear themselves. Not for work in order, where a time-out makes the key rest.
    const RequestClass& c = s_.classes[r->cls];
    const Time until = r->aim_at + (c.idempotency == Idempotency::kNotIdempotent ? 0 : c.latency_objective);
    const bool cut = s_.can_cancel && !c.ordered_by_key && now_ < r->aim_at;
    const bool bound = r->risk >= 0 && c.idempotency == Idempotency::kIdempotentWithKey;
    actions_.push_back(SendAttempt{r->id, node.target, cut ? until - now_ : 0, bound ? RepeatUntil(*r) : 0});
  }

  // ---- cold nodes ----

  // Units a second that this host would be served at the node if what all nodes serve it were dealt out by
  // what it is asked now: leads pass from host to host, and a host that has none must not keep room for one.
  double Demanded(const Node& node) {
    double here = 0, all = 1e-9;
    const auto asked = [](const auto& item) { return item.second.rate + item.second.came / 2; };
    for (const auto& stream : cells_[node.cell]) here += asked(stream);
    for (const auto& volume : volumes_) all += asked(volume);
    return usual_all_ * here / std::max(here, all);
  }

  // ---- what outcomes teach ----

  void LearnUse(const Request& r, const AttemptFinished& d, Node& node) {
    if (!r.stream) return;
    Stream& st = *r.stream;
    Volume& v = *st.volume;
    if (d.reported_usage > 0) {
      v.use = (d.reported_usage - 1) / 100.0;
      v.use_at = now_;
    }
    if (d.units_served_elsewhere > 0) {  // served elsewhere: the reserve first, then the share at this node
      Fill(v);
      const double reserved = std::clamp(v.reserve, 0.0, d.units_served_elsewhere);
      v.reserve -= reserved;
      st.finish = std::max(st.finish, node.vtime) + (d.units_served_elsewhere - reserved) / v.plan->weight;
    }
    if (d.outcome == Outcome::kCompleted && !node.cold.IsActive(s_, now_)) node.usual.Record(r.units, now_);
    if (d.outcome == Outcome::kTimedOut || d.outcome == Outcome::kConnectFailed) node.usual.Suspend(now_);
  }

  void LearnLatency(const Request& r, const AttemptFinished& d, Node& node) {
    if (d.outcome == Outcome::kOverloaded) {
      node.rest_until = now_ + (kFullRest << std::min(node.fulls++, kFullDoublings));
      node.wait = std::max(ExpectedWait(node), tightest_aim_);  // its whole queue must drain
      node.heard = now_;
      for (Bound* b : {&node.share, &node.reserve})
        b->units = std::max(kPaceLeast * s_.mean_request_units, b->units / 2);
    } else if (d.outcome == Outcome::kConnectFailed) {
      node.rest_until = now_ + (kDownRest << std::min(node.refusals++, kDownDoublings));
    } else if (d.outcome == Outcome::kCompleted) {
      node.refusals = node.fulls = 0;
    }
    const bool answered = d.outcome == Outcome::kCompleted || d.outcome == Outcome::kErrored;
    if (answered || d.outcome == Outcome::kTimedOut || d.outcome == Outcome::kConnectFailed) {
      node.record.Record(d.outcome != Outcome::kCompleted, now_);
      zones_[node.zone].Record(!answered, now_);
    }
    if (d.outcome != Outcome::kCompleted && d.outcome != Outcome::kTimedOut) return;  // errors tell nothing
    if (d.outcome == Outcome::kTimedOut && Lost({nullptr, r.sent, r.units}, node)) return;
    const double per_unit = double(d.latency) / r.units;
    node.unit_time += (per_unit < node.unit_time ? kBaseFall : kBaseRise) * (per_unit - node.unit_time);
    const double queueing = std::max(0.0, d.latency - r.units * node.unit_time);
    // Of hosts that hear seldom the newest answer is all that counts.
    const double fresh = 1 - (1 - kWaitGain) * std::exp(-double(now_ - node.heard) / kWaitFades);
    node.heard = now_;
    if (d.outcome == Outcome::kCompleted) node.passed = std::max(node.passed, r.sent);
    node.wait += fresh * (queueing - node.wait);
    node.excess += queueing;
    node.work += r.units * node.unit_time;
    ++node.samples;
    if (d.outcome == Outcome::kCompleted) {  // a lost zone's silence says nothing of the other nodes
      waits_.Add(std::min(queueing, tightest_aim_), now_, kFleetFades);
      heard_.Add(1, now_, kFleetFades);
      told_.excess += queueing;
      ++told_.samples;
    }
    if (r.stream) {
      r.stream->lateness += double(now_ - r.came) / s_.classes[r.cls].latency_objective;
      ++r.stream->samples;
    }
  }

  // Nodes take work in turn of arrival: an attempt is lost, not waiting, once one that was sent well after it
  // has come back. Guards against nodes that swallow single requests or answers, and against their stuck
  // slots; it could hurt where a node serves very uneven work side by side.
  bool Lost(const Attempt& a, const Node& node) const {
    return double(node.passed - a.sent) > kLostAfter * a.units * node.unit_time + kAimForLost * tightest_aim_;
  }

  // How long after the last send to a node that looks stuck one more is tried: longer where answers were slow
  // already (it is slow, not stuck), doubling with each attempt that is out, and never so often that the
  // trials of all hosts are more than one request at a time: hundreds of hosts kept slow nodes jammed by
  // trials alone. Covers hung, paused and lossy nodes alike; it hurts where few of many hosts use a node that
  // recovers.
  double TrialGap(const Node& node) const {
    const auto alive =
        std::count_if(node.out.begin(), node.out.end(), [&](auto& a) { return !Lost(a, node); });
    const double doublings = std::clamp(double(alive) - 1, 0.0, 10.0);
    const double gap = (kTrialAfter * tightest_aim_ + kTrialWaits * node.wait) * std::exp2(doublings);
    return std::max(gap, s_.instances * s_.mean_request_units * node.unit_time);
  }

  double UnitsOut(const Node& node) const {
    double units = 0;
    for (const Attempt& a : node.out) units += Lost(a, node) ? 0 : a.units;
    return units;
  }

  // What a request sent now is likely to wait at the node: at least the age of what is stuck there.
  double ExpectedWait(const Node& node) const {
    // Other hosts keep a node busy too, and a queue drains no faster than time passes.
    const double quiet = double(now_ - node.heard);
    double wait = std::max(node.wait * std::exp(-std::min(20.0, quiet / kWaitFades)), node.wait - quiet);
    // Of a node not heard of lately the others tell: hundreds of hosts are behind at all nodes or at none.
    const double mean = waits_.Now(now_, kFleetFades) / (1 + heard_.Now(now_, kFleetFades));
    wait = std::max(wait, mean * -std::expm1(-quiet / kWaitFades));
    for (const Attempt& a : node.out) {
      if (a.sent <= node.passed) continue;  // overtaken: it does not stand in the queue before a new one
      wait = std::max(wait, double(now_ - a.sent) - a.units * node.unit_time);
      break;
    }
    return wait;
  }

  // The bound follows latency: up while waiting stays under what is allowed, down in proportion beyond it.
  void AdaptDepth() {
    next_depth_ = now_ + kDepthEvery;
    usual_all_ = 0;
    for (auto& [cell, node] : holders_) usual_all_ += node->usual.Rate(now_, born_);
    for (auto& [target, node] : nodes_) {
      std::erase_if(node.out, [&, &n = node](const Attempt& a) { return a.until > 0 && Gone(a, n); });
      for (const Attempt& a : node.out) {  // what is stuck counts as at least its age
        if (Lost(a, node)) continue;
        const double stuck = (now_ - a.sent) - a.units * node.unit_time;
        if (stuck > kAimForWait * tightest_aim_) {
          node.excess += stuck;
          node.work += a.units * node.unit_time;
          ++node.samples;
        }
      }
      if (node.samples == 0) continue;
      AdaptBoth(node.share, node.reserve, kReserveSpan * node.reserved_rate, node.excess / node.samples,
                node.work / node.samples);
      node.excess = node.work = 0;
      node.samples = 0;
    }
    if (told_.samples > 0) AdaptBoth(share_, reserve_, 0, told_.excess / told_.samples, 0);
    told_ = {};
  }

  void AdaptBoth(Bound& share, Bound& reserve, double least, double excess, double work) const {
    const double aim = tightest_aim_ * patience_;
    const double uneven = kUneven * work / aim;
    Adapt(share, 0,
          excess / aim / (share.units > s_.mean_request_units ? kAimForWait : kAimForPace + uneven));
    Adapt(reserve, least, excess / aim / kAimForReserve);
  }

  // `ratio` is the wait over what is allowed. What bounds drift up is shared by the hosts: where each of
  // hundreds adds a part of its own bound they settle, all together, where the wait is well over what is
  // allowed.
  void Adapt(Bound& bound, double least, double ratio) const {
    const double part = s_.mean_request_units * std::min(1.0, kDriftHosts / s_.instances);
    const double drift = kDepthDrift * std::min(bound.units, part);
    const double wanted = bound.units / std::max(0.5, ratio) + drift;
    if (wanted < bound.units || bound.hit) bound.units += kDepthGain * (wanted - bound.units);
    least = std::max(least, kPaceLeast * std::min(1.0, kPaceHosts / s_.instances) * s_.mean_request_units);
    bound.units = std::clamp(bound.units, least, kDepthMost * s_.mean_request_units);
    bound.hit = false;
  }

  // ---- the control loop (SLEDS) ----

  double Promised(const Volume& v) const {
    return (v.plan->reserved_rate > 0 ? v.plan->reserved_rate : v.plan->rate) * kMargin;
  }

  bool AboveRate(const Volume& v) const {
    if (v.use_at >= 0 && now_ - v.use_at < kFresh) return v.use > 1;
    return v.rate > v.plan->rate / v.mounts;
  }

  void ControlLoop() {
    const double span = std::max<Time>(kTick, now_ - next_interval_ + kInterval) / kSecond;
    next_interval_ = now_ + kInterval;
    for (auto& [name, v] : volumes_) {
      v.rate += 0.5 * (v.came / span - v.rate);
      v.came = 0;
    }
    for (auto& [cell, streams] : cells_) {
      Node* node = Holder(cell);
      if (node) {
        node->reserved_rate = 0;
        for (const auto& [number, st] : streams)
          node->reserved_rate += std::min(st.rate, st.volume->plan->reserved_rate);
        for (const auto& [r, sent, units, until] : node->out) {  // one older than its aim counts as its age
          const double lateness = double(now_ - r->came) / s_.classes[r->cls].latency_objective;
          if (lateness > 1) r->stream->lateness += lateness, ++r->stream->samples;
        }
      }
      Steer(streams, span);
    }
    for (auto it = keys_.begin(); it != keys_.end();) {
      it->second.Settle();
      it = it->second.chain.empty() && it->second.rest_until <= now_ ? keys_.erase(it) : std::next(it);
    }
    Prune();
  }

  // Forgets nodes that are gone and have been replaced, and volumes that have asked for nothing for so long
  // that what is remembered of them says no more than a fresh start. Guards against tables that grow with
  // each id ever seen.
  void Prune() {
    std::set<const Node*> holding;
    std::set<const Stream*> used;
    std::set<const Volume*> asking;
    for (const auto& [cell, node] : holders_) holding.insert(node);
    for (const auto& [id, r] : requests_) used.insert(r->stream);
    for (const auto& [target, node] : nodes_) {
      for (const Attempt& a : node.out) used.insert(a.request->stream);
    }
    std::erase_if(nodes_, [&](const auto& item) {
      return item.second.gone && item.second.out.empty() && !holding.contains(&item.second);
    });
    for (auto& [cell, streams] : cells_) {
      std::erase_if(streams, [&](const auto& item) {
        return !used.contains(&item.second) && now_ - item.second.last > kForget;
      });
      for (const auto& [number, st] : streams) asking.insert(st.volume);
    }
    std::erase_if(volumes_, [&](const auto& item) {  // a limit's store is full again by then
      const Plan& p = *item.second.plan;
      const Time full = p.limit > 0 ? Time(p.burst / p.limit * kSecond) : 0;
      return !asking.contains(&item.second) && now_ - item.second.last > std::max(kForget, full);
    });
  }

  void Steer(Streams& streams, double span) {
    std::vector<Stream*> victims, above_met, above_missed, moderate;
    int active = 0;
    for (auto& [number, st] : streams) {
      st.rate += 0.5 * (st.came / span - st.rate);
      st.came = 0;
      if (st.samples == 0) continue;
      ++active;
      const bool misses = st.lateness / st.samples > 1;
      const bool above = AboveRate(*st.volume);
      (above ? (misses ? above_missed : above_met) : misses ? victims : moderate).push_back(&st);
    }
    for (Stream* st : victims) st->limit = 0;
    // Every stream missing and none above its rate: the node is slow, and squeezing would only add to it.
    const bool slow_node = int(victims.size() + above_missed.size()) == active && above_missed.empty();
    if (!victims.empty() && !slow_node) {
      auto& guilty = !above_met.empty() ? above_met : !above_missed.empty() ? above_missed : moderate;
      for (Stream* st : guilty) {
        const double part = st->volume->rate > 0 ? std::min(1.0, st->rate / st->volume->rate) : 1.0;
        const double floor = Promised(*st->volume) * part;
        const double from = st->limit > 0 ? std::min(st->limit, st->rate) : st->rate;
        if (st->limit <= 0) st->filled = now_, st->tokens = 0;
        st->limit = std::max({floor, kTighten * from, 0.01});
      }
    } else {
      for (auto& [number, st] : streams) {
        if (st.limit <= 0) continue;
        Fill(st);
        st.limit *= kLoosen;
        if (st.limit > kRelease * std::max(st.rate, st.volume->plan->rate)) st.limit = 0;
      }
    }
    for (auto& [number, st] : streams) st.lateness = 0, st.samples = 0;
  }

  // ---- further attempts and final answers ----

  // Rule: ration of further attempts, in its sliding window.
  bool RationLeft() {
    if (!s_.rules.retry_budget_window || !s_.rules.retry_budget_ratio) return true;
    const Time since = now_ - *s_.rules.retry_budget_window;
    while (!arrivals_.empty() && arrivals_.front() <= since) arrivals_.pop_front();
    while (!further_.empty() && further_.front() < since) further_.pop_front();
    int waiting = 0;
    for (const auto& [id, r] : requests_) waiting += r->attempts > 0 && !r->out && !r->ended;
    const double allowed =
        s_.rules.retry_budget_minimum + *s_.rules.retry_budget_ratio * double(arrivals_.size());
    return double(further_.size()) + waiting + 1 <= allowed;
  }

  // Calls back what later attempts have overtaken, while another one can still meet the aim: its outcome is
  // what sends it again. Guards against connections that fall silent and answers that stop short, which would
  // end by time-out only once the aim is over. Uneven work may be called back in vain; it is rare.
  void CallBack(const Node& node) {
    if (!s_.can_cancel) return;
    for (const Attempt& a : node.out) {
      Request& r = *a.request;
      const RequestClass& c = s_.classes[r.cls];
      const double overtaken =
          kAgainAfter * a.units * node.unit_time + kAimForAgain * double(c.latency_objective);
      if (double(node.passed - a.sent) <= overtaken || a.until > 0 || r.ended || r.out != &node) continue;
      if (c.idempotency != Idempotency::kIdempotent || c.ordered_by_key || r.called_back == r.attempts)
        continue;
      if (r.attempts >= s_.max_attempts || !Feasible(r, node) || !RationLeft()) continue;
      r.called_back = r.attempts;
      actions_.push_back(CancelAttempt{r.id, r.attempts - 1});
    }
  }

  bool MayTryAgain(const Request& r, Outcome outcome) {
    if (r.attempts >= s_.max_attempts || now_ >= r.aim_at || outcome == Outcome::kNotSent) return false;
    if (now_ + 2 * kTick >= r.deadline) return false;  // rule: no request lost; no timer would see it in time
    return RationLeft() && RepeatIsSafe(r, r.risk_cell, r.risk_zone);
  }

  // Rule: no effect twice. What may have run is sent again only if it is safe, or keyed and to a target that
  // drops its repeats while that target still remembers it.
  bool RepeatIsSafe(const Request& r, int cell, int zone) const {
    const RequestClass& c = s_.classes[r.cls];
    if (r.risk < 0 || c.idempotency == Idempotency::kIdempotent) return true;
    if (c.idempotency == Idempotency::kNotIdempotent || now_ >= RepeatUntil(r)) return false;
    return c.deduplication_scope == DeduplicationScope::kAll ||
           (c.deduplication_scope == DeduplicationScope::kShard ? cell == r.risk_cell : zone == r.risk_zone);
  }

  Time RepeatUntil(const Request& r) const {
    return r.risk + s_.classes[r.cls].deduplication_window - kWindowSlack;
  }

  bool RefusalIsSafe(const Request& r) const {
    const RequestClass& c = s_.classes[r.cls];
    if (r.out) return c.idempotency == Idempotency::kIdempotent;
    return r.risk < 0 || c.idempotency == Idempotency::kIdempotent ||
           (c.idempotency == Idempotency::kIdempotentWithKey &&
            c.deduplication_scope == DeduplicationScope::kAll);
  }

  // When a refused client may come back: once what waits at the node is done and the node's rest is over.
  // Where no target holds the data, news of the list are what it waits for.
  Time ComeBack(const Request& r) const {
    const auto holder = r.stream ? holders_.find(r.stream->cell) : holders_.end();
    if (holder == holders_.end() || !holder->second->live) return s_.max_retry_after;
    const Node& node = *holder->second;
    const Time wait = std::max(Time(ExpectedWait(node)), node.rest_until - now_);
    return std::clamp(wait, std::min(kTick, s_.max_retry_after), s_.max_retry_after);
  }

  void Finish(const Ref& r) {
    if (r->ended) return;
    NoteStay(*r, false);
    r->ended = true;
    Drop(r);
    if (RefusalIsSafe(*r)) {
      actions_.push_back(RejectRequest{r->id, s_.sends_retry_after ? ComeBack(*r) : 0});
    } else {
      actions_.push_back(FailRequest{r->id});
    }
    if (!r->out) requests_.erase(r->id);
  }

  // Held work that can no longer meet its aim, and for which there was no room just now, is given up at once.
  void Sweep() {
    std::vector<Ref> lost;
    for (auto& [cell, streams] : cells_) {
      if (streams.held == 0) continue;
      const Node* node = Holder(cell);
      const double unit_time = node ? node->unit_time : kFirstUnitTime;
      for (auto& [number, st] : streams) {
        for (auto& queue : st.queues) {
          for (const Ref& r : queue) {
            const Time soonest = now_ + Time(r->units * unit_time);
            if (soonest > LateAt(*r) || now_ + 2 * kTick >= r->deadline) lost.push_back(r);
          }
        }
      }
    }
    for (const Ref& r : lost) Finish(r);
    std::vector<Ref> due;  // a last guard: the outcome at the deadline should have come by now
    for (const auto& [target, node] : nodes_) {
      for (const Attempt& a : node.out) {
        if (!a.request->ended && now_ >= a.request->deadline) due.push_back(a.request);
      }
    }
    for (const Ref& r : due) Finish(r);
  }

  void Track() {
    actions_.push_back(WatchEndpoints{});
    list_calls_.OnPoll(now_);
    track_at_ = now_ + kTrackPatience;  // an ask that is never answered is asked again
  }

  double Random() { return double(rng_() >> 11) * 0x1.0p-53; }

  Settings s_;
  std::mt19937_64 rng_;
  Time now_ = 0, born_ = 0, next_interval_ = 0, next_depth_ = 0, track_at_ = -1;
  limits::PollBackoff list_calls_{s_.instances, kTrackSeldom};
  double tightest_aim_ = 0;
  double usual_all_ = 0;  // units a second that this host is served at all nodes
  limits::AbandonmentEstimate leaving_;
  double patience_ = 1;  // the part of an aim that clients wait, as of the last tick
  Bound share_{kDepthStart * s_.mean_request_units},
      reserve_ = share_;  // of a node not heard of lately, by the answers of all: among hundreds of hosts
                          // one node's answers come too seldom to follow a surge
  struct {
    double excess = 0;
    int samples = 0;
  } told_;                         // by answers of all nodes since the last step
  DecayingCounter waits_, heard_;  // queueing at all nodes lately, us, and how many answers told it
  std::vector<Action> actions_;
  std::map<TargetId, Node> nodes_;
  std::map<int, Node*> holders_;
  std::map<int, routing::OutcomeHistory> zones_;
  std::map<std::string, Volume> volumes_;
  std::map<int, Streams> cells_;
  std::unordered_map<RequestId, Ref> requests_;
  std::map<std::string, Key> keys_;
  std::deque<Time> arrivals_, further_;
  int last_volume_ = 0;
};

std::size_t Scheduler::Impl::Remembered() const {
  std::size_t count = nodes_.size() + volumes_.size() + requests_.size() + keys_.size() + arrivals_.size();
  for (const auto& [cell, streams] : cells_) count += streams.size();
  for (const auto& [target, node] : nodes_) count += node.out.size() + node.cold.table_entries();
  return count + further_.size();
}

Scheduler::Scheduler(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

std::size_t Scheduler::table_entries() const { return impl_->Remembered(); }

std::vector<Action> Scheduler::Handle(const Event& event, Time now) { return impl_->Handle(event, now); }

}  // namespace walnutspur

#include "lab/sim/world.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>

#include "lab/random.h"
#include "lab/sim/policies.h"

namespace walnutspur::lab {
namespace {

constexpr Time kEpoch = 1'000'000;    // us: what happens before the first request
constexpr Time kToppled = 2'000'000;  // us until a toppled box runs again
constexpr Time kBroken = 200'000;     // us until a broken connection is known
constexpr double kLateBy = 10;        // times the usual that a reordered message takes
constexpr std::size_t kRecent = 64;   // objects of a volume that were placed lately
constexpr int kMounts = 4;            // initiators that a volume's requests come through
constexpr double kTipSlack = 1.1;     // chance is no fault of anybody's
constexpr Time kAfter = 1'000'000;    // us after the last deadline, for what is still at boxes

enum class Happens {
  kAsk,       // the next request of the fleet
  kArrives,   // an attempt at its box
  kReplies,   // an answer at its initiator
  kFinishes,  // work in a slot
  kLimit,     // an attempt's time is over
  kDeadline,  // a request's time is over
  kRings,     // a timer of the module
  kCancels,   // a cancellation at its box
  kProbes,    // a probe's answer at its initiator
  kHears,     // news of a box at an initiator
  kFault,     // a fault's step for one box
  kPause,     // a box pauses
  kStarts     // a box's process runs again
};

struct Item {
  Time at = 0;
  std::uint64_t order = 0;  // of what happens at the same time
  Happens what = Happens::kAsk;
  int who = 0, box = 0, trial = 0;
  std::int64_t number = 0, extra = 0;
  bool operator>(const Item& other) const { return at != other.at ? at > other.at : order > other.order; }
};

}  // namespace

double Outcomes::service() const {
  double due = 0;
  double earned = 0;
  for (const Second& s : seconds) {
    due += s.due, earned += s.earned;
  }
  return due > 0 ? earned / due : 1;
}

double Outcomes::worst(int span) const {
  double least = 1;
  const std::size_t width = std::min(seconds.size(), static_cast<std::size_t>(span));
  for (std::size_t from = 0; width > 0 && from + width <= seconds.size(); ++from) {
    double due = 0;
    double earned = 0;
    for (std::size_t i = from; i < from + width; ++i) {
      due += seconds[i].due, earned += seconds[i].earned;
    }
    if (due > 0) {
      least = std::min(least, earned / due);
    }
  }
  return least;
}

double Outcomes::percentile(double part) const {
  if (latencies.empty()) {
    return 0;
  }
  std::vector<float> sorted = latencies;
  const auto index =
      std::min(sorted.size() - 1, static_cast<std::size_t>(part * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index), sorted.end());
  return sorted[index];
}

class World::Impl {
 public:
  Impl(const Experiment& experiment, Log* log, Meddling meddling)
      : e_(experiment),
        log_(log),
        meddling_(std::move(meddling)),
        arrivals_(e_.seed, "arrivals"),
        choices_(e_.seed, "choices"),
        network_(e_.seed, "network"),
        list_(e_.seed, "list"),
        work_(e_.seed, "work") {}

  Outcomes Run(const std::function<void(double)>& progress);

 private:
  struct Work {
    std::int64_t request = 0;
    int trial = 0, initiator = 0;
    std::int64_t units = 0;  // thousandths
    std::uint64_t ticket = 0;
  };
  struct Box {
    int number = 0, cell = 0, zone = 0;
    double speed = 1;
    bool up = true, draining = false, gone = false;
    Time started = 0;  // 0: long ago
    std::deque<Work> queue;
    std::vector<Work> working;
    double factor = 1;  // of its speed
    double taken = 0;   // part of its slots
    Time frozen = 0;    // until
    bool errors = false, silent = false;
    std::deque<std::pair<Time, double>> lately;  // units that came while it was cold
    double lately_units = 0;
  };
  struct Initiator {
    std::unique_ptr<core::Engine> engine;
    int zone = 0;
    double rate = 1;  // of its clock
    Time offset = 0;
  };
  struct Trial {
    int box = -1;
    bool known = false;
    Time sent = 0;
  };
  struct Request {
    int initiator = 0, cls = 0;
    Time asked = 0, deadline = 0;
    std::int64_t units = 0;
    bool answered = false;
    bool served = false;
    bool fresh = false;
    int plan = 0, volume = 0;
    std::string key;
    std::vector<Trial> trials;
  };
  struct Volume {
    int plan = 0;
    std::string name;
    std::deque<std::pair<std::string, int>> recent;  // key and cell
  };

  void Put(Time at, Happens what, int who, int box = 0, int trial = 0, std::int64_t number = 0,
           std::int64_t extra = 0) {
    todo_.push({std::max(at, now_), next_order_++, what, who, box, trial, number, extra});
  }
  void Note(What what, int initiator = -1, std::int64_t request = -1, int trial = -1, int box = -1,
            std::int64_t a = 0, std::int64_t b = 0) {
    Entry entry{now_, what, initiator, request, trial, box, a, b};
    if (meddling_.entry && !meddling_.entry(&entry)) {
      return;
    }
    log_->Put(entry);
  }

  void Prepare();
  void Play(const Item& item);
  Time Local(const Initiator& i, Time at) const {
    return i.offset + static_cast<Time>(static_cast<double>(at) * i.rate);
  }
  Time Delay() {
    double time = static_cast<double>(e_.delay) + static_cast<double>(e_.jitter) * network_.Part();
    if (e_.reorder > 0 && network_.Chance(e_.reorder)) {
      time *= kLateBy;
    }
    return static_cast<Time>(time);
  }
  bool Cut(int zone_a, int zone_b) const {
    return zone_a != zone_b && (cut_.contains(zone_a) || cut_.contains(zone_b));
  }

  void Ask();
  void Feed(int initiator, const core::Input& input);
  void Do(int initiator, std::vector<core::Output> outputs);
  void Send(int initiator, const core::StartAttempt& attempt);
  void Report(int initiator, std::int64_t request, int trial, Outcome outcome);
  void Answer(int initiator, const core::Response& answer);
  void Forget(std::int64_t request);

  void Arrive(const Item& item);
  void Reply(const Box& box, const Work& work, Outcome outcome);
  void Begin(Box& box);
  void Finish(Box& box, std::uint64_t ticket);
  void Drop(Box& box, const Work& work, bool begun);
  void End(Box& box);
  void Start(Box& box, bool cold);
  double Power(const Box& box) const;  // part of the full one
  void Tell(const Box& box, EndpointState phase);
  void Fault(const FaultPlan& fault, int step, bool begins);
  TargetId Id(int box) const { return "b" + std::to_string(box); }

  const Experiment e_;
  Log* log_;
  Meddling meddling_;
  Random arrivals_, choices_, network_, list_, work_;
  Time now_ = 0;
  std::uint64_t next_order_ = 0, next_ticket_ = 1;
  std::int64_t next_request_ = 1;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> todo_;
  std::vector<Initiator> initiators_;
  std::deque<Box> boxes_;     // replaced ones stay, as gone
  std::vector<int> by_cell_;  // the box that holds it
  std::vector<Volume> volumes_;
  std::vector<std::vector<double>> zipf_;  // of each plan, summed up
  std::vector<std::vector<int>> of_plan_;  // its volumes
  std::vector<double> surges_;             // of each plan
  std::set<int> cut_;                      // zones
  bool deaf_ = false;
  std::vector<std::pair<int, EndpointState>> untold_;
  std::unordered_map<std::int64_t, Request> requests_;
  Time last_ask_ = 0;
  Outcomes outcomes_;
};

void World::Impl::Prepare() {
  Note(What::kRules, -1, -1, -1, -1, e_.try_limit, e_.rules.drain_grace);
  for (std::size_t i = 0; i < e_.classes.size(); ++i) {
    Note(What::kClass, -1, static_cast<std::int64_t>(i), -1, -1,
         static_cast<std::int64_t>(e_.classes[i].writes), e_.classes[i].cls.deadline);
  }
  Random speeds(e_.seed, "speeds");
  for (int b = 0; b < e_.boxes; ++b) {
    Box box;
    box.number = box.cell = b;
    box.zone = b % e_.zones;
    box.speed = 1 + e_.speed_spread * speeds.Between(-1, 1);
    boxes_.push_back(box);
    by_cell_.push_back(b);
    Note(What::kUp, -1, -1, -1, b, 0);
    if (e_.pause_every > 0) {
      Put(static_cast<Time>(work_.Exponential(static_cast<double>(e_.pause_every))), Happens::kPause, 0, b);
    }
  }
  for (std::size_t p = 0; p < e_.tenants.size(); ++p) {
    of_plan_.emplace_back();
    zipf_.emplace_back();
    surges_.push_back(1);
    double sum = 0;
    for (int v = 0; v < e_.tenants[p].volumes; ++v) {
      of_plan_.back().push_back(static_cast<int>(volumes_.size()));
      volumes_.push_back({static_cast<int>(p), e_.tenants[p].name + "/" + std::to_string(v), {}});
      sum += 1 / std::pow(v + 1, e_.zipf);
      zipf_.back().push_back(sum);
    }
  }
  const Settings settings = e_.SettingsOf();
  Random clocks(e_.seed, "clocks");
  for (int i = 0; i < e_.initiators; ++i) {
    Initiator initiator;
    const std::uint64_t seed = e_.seed * 1'000'003 + static_cast<std::uint64_t>(i);
    core::DecisionFunction decide = MakePolicy(e_.policy, settings, seed);
    if (meddling_.decide) {
      decide = meddling_.decide(std::move(decide));
    }
    initiator.engine = std::make_unique<core::Engine>(settings, std::move(decide));
    initiator.zone = i % e_.zones;
    initiator.rate = 1 + e_.drift * clocks.Between(-1, 1);
    initiator.offset = 1'000'000'000 + static_cast<Time>(clocks.Below(1'000'000));
    initiators_.push_back(std::move(initiator));
  }
  for (int i = 0; i < e_.initiators; ++i) {
    Initiator& initiator = initiators_[static_cast<std::size_t>(i)];
    Do(i, initiator.engine->Start(Local(initiator, now_)));
    EndpointUpdate list;
    for (const Box& box : boxes_) {
      Endpoint entry;
      entry.target = Id(box.number);
      entry.shard = box.cell;
      entry.zone = box.zone;
      list.endpoints.push_back(entry);
      Note(What::kTold, i, -1, -1, box.number, static_cast<int>(EndpointState::kActive), box.cell);
    }
    Feed(i, core::EndpointsUpdated{std::move(list)});
  }
  for (std::size_t f = 0; f < e_.faults.size(); ++f) {
    const FaultPlan& fault = e_.faults[f];
    const bool each = fault.trouble != Trouble::kDeaf;
    for (int step = 0; step < (each ? fault.count : 1); ++step) {
      const Time at = kEpoch + fault.at + step * fault.apart;
      Put(at, Happens::kFault, step, 1, 0, static_cast<std::int64_t>(f));
      Put(at + fault.lasts, Happens::kFault, step, 0, 0, static_cast<std::int64_t>(f));
    }
  }
  last_ask_ = kEpoch + e_.length;
  Put(kEpoch, Happens::kAsk, 0);
}

Outcomes World::Impl::Run(const std::function<void(double)>& progress) {
  Prepare();
  Time longest = 0;
  for (const ClassPlan& c : e_.classes) {
    longest = std::max(longest, c.cls.deadline);
  }
  const Time end = last_ask_ + longest + kAfter;
  int told = 0;
  while (!todo_.empty() && todo_.top().at <= end) {
    const Item item = todo_.top();
    todo_.pop();
    now_ = item.at;
    ++outcomes_.events;
    Play(item);
    const int percent = static_cast<int>(100 * now_ / end);
    if (progress && percent > std::exchange(told, percent)) {
      progress(percent / 100.0);
    }
  }
  now_ = end;
  for (const Box& box : boxes_) {
    std::int64_t held = 0;
    for (const Work& work : box.queue) {
      held += work.units;
    }
    for (const Work& work : box.working) {
      held += work.units;
    }
    Note(What::kLeft, -1, -1, -1, box.number, 0, held);
  }
  Note(What::kEnd);
  return std::move(outcomes_);
}

void World::Impl::Play(const Item& item) {
  switch (item.what) {
    case Happens::kAsk:
      return Ask();
    case Happens::kArrives:
      return Arrive(item);
    case Happens::kReplies:
      return Report(item.who, item.number, item.trial, static_cast<Outcome>(item.extra));
    case Happens::kFinishes:
      return Finish(boxes_[static_cast<std::size_t>(item.box)], static_cast<std::uint64_t>(item.number));
    case Happens::kLimit:
      return Report(item.who, item.number, item.trial, Outcome::kTimedOut);
    case Happens::kDeadline: {
      const auto at = requests_.find(item.number);
      if (at == requests_.end() || at->second.answered) {
        return;
      }
      return Feed(item.who, core::DeadlineExpired{static_cast<core::RequestNumber>(item.number)});
    }
    case Happens::kRings:
      return Feed(item.who, core::TimerExpired{item.number});
    case Happens::kCancels: {
      Box& box = boxes_[static_cast<std::size_t>(item.box)];
      const auto at = std::find_if(box.queue.begin(), box.queue.end(), [&](const Work& w) {
        return w.request == item.number && w.trial == item.trial && w.initiator == item.who;
      });
      if (at == box.queue.end()) {
        return;  // it is worked on, or over
      }
      const Work work = *at;
      box.queue.erase(at);
      return Drop(box, work, false);
    }
    case Happens::kProbes: {
      HealthCheckFinished done;
      done.target = Id(item.box);
      done.outcome =
          boxes_[static_cast<std::size_t>(item.box)].up ? Outcome::kCompleted : Outcome::kConnectFailed;
      done.latency = item.extra;
      return Feed(item.who, core::HealthCheckResult{done});
    }
    case Happens::kHears: {
      const Box& box = boxes_[static_cast<std::size_t>(item.box)];
      EndpointUpdate list;
      list.kind = EndpointUpdateKind::kDelta;
      Endpoint entry;
      entry.target = Id(item.box);
      entry.state = static_cast<EndpointState>(item.number);
      entry.shard = box.cell;
      entry.zone = box.zone;
      const Initiator& hearer = initiators_[static_cast<std::size_t>(item.who)];
      if (box.started > 0) {
        entry.started_at = Local(hearer, box.started);
      }
      list.endpoints.push_back(entry);
      Note(What::kTold, item.who, -1, -1, item.box, item.number, box.cell);
      return Feed(item.who, core::EndpointsUpdated{std::move(list)});
    }
    case Happens::kFault:
      return Fault(e_.faults[static_cast<std::size_t>(item.number)], item.who, item.box != 0);
    case Happens::kPause: {
      Box& box = boxes_[static_cast<std::size_t>(item.box)];
      box.frozen =
          std::max(box.frozen, now_ + static_cast<Time>(work_.Exponential(static_cast<double>(e_.pause))));
      Put(box.frozen, Happens::kStarts, 1, item.box);
      if (now_ < last_ask_) {
        Put(now_ + static_cast<Time>(work_.Exponential(static_cast<double>(e_.pause_every))), Happens::kPause,
            0, item.box);
      }
      return;
    }
    case Happens::kStarts: {
      Box& box = boxes_[static_cast<std::size_t>(item.box)];
      if (item.who == 1) {
        return Begin(box);  // a pause is over
      }
      if (!box.up && !box.gone) {
        Start(box, true);
      }
      return;
    }
  }
}

// ---- clients ----

void World::Impl::Ask() {
  double weights = 0;
  for (std::size_t p = 0; p < e_.tenants.size(); ++p) {
    weights += e_.tenants[p].weight * surges_[p];
  }
  double plain = 0;
  for (const TenantPlan& tenant : e_.tenants) {
    plain += tenant.weight;
  }
  const double part = static_cast<double>(now_ - kEpoch) / static_cast<double>(e_.length);
  const double grown = 1 + (e_.ramp_to - 1) * part;
  const double rate = e_.RequestsASecond() * grown * (plain > 0 ? weights / plain : 1);
  const Time next = now_ + static_cast<Time>(arrivals_.Exponential(1e6 / std::max(rate, 1e-6)));
  if (next < last_ask_) {
    Put(next, Happens::kAsk, 0);
  }
  // Which plan, volume, class and piece.
  double pick = arrivals_.Part() * weights;
  std::size_t plan = 0;
  while (plan + 1 < e_.tenants.size() && pick >= e_.tenants[plan].weight * surges_[plan]) {
    pick -= e_.tenants[plan].weight * surges_[plan], ++plan;
  }
  const auto& sums = zipf_[plan];
  const auto in_plan = static_cast<std::size_t>(
      std::upper_bound(sums.begin(), sums.end(), arrivals_.Part() * sums.back()) - sums.begin());
  const int number = of_plan_[plan][std::min(in_plan, sums.size() - 1)];
  Volume& volume = volumes_[static_cast<std::size_t>(number)];
  double shares = 0;
  for (const ClassPlan& c : e_.classes) {
    shares += c.share;
  }
  pick = arrivals_.Part() * shares;
  std::size_t cls = 0;
  while (cls + 1 < e_.classes.size() && pick >= e_.classes[cls].share) {
    pick -= e_.classes[cls].share, ++cls;
  }
  const ClassPlan& chosen = e_.classes[cls];

  const std::int64_t id = next_request_++;
  Request& request = requests_[id];
  const int mounts = std::min(kMounts, e_.initiators);
  const auto base = Random::Hash(volume.name);
  request.initiator = static_cast<int>((base + arrivals_.Below(static_cast<std::uint64_t>(mounts))) %
                                       static_cast<std::uint64_t>(e_.initiators));
  request.cls = static_cast<int>(cls);
  request.asked = now_;
  request.deadline = now_ + chosen.cls.deadline;
  request.plan = static_cast<int>(plan);
  request.volume = number;
  const double drawn = chosen.units * (0.5 + arrivals_.Exponential(0.5));
  request.units = std::llround(1000 * std::clamp(drawn, 0.1, e_.largest_units));
  core::RequestReceived arrived;
  arrived.request = static_cast<core::RequestNumber>(id);
  RequestArrived& what = arrived.attributes;
  what.request_class = request.cls;
  what.plan = request.plan;
  what.volume = volume.name;
  what.units = static_cast<double>(request.units) / 1000;
  what.initiator_count = mounts;
  // As many draws whatever has happened before: what is asked must not hang on how it was answered.
  const double special = arrivals_.Part();
  const std::uint64_t piece = arrivals_.Below(std::uint64_t{1} << 40);
  if (chosen.writes && special < e_.fresh) {
    request.fresh = true;
    what.key = volume.name + "/new" + std::to_string(id);
    what.shard = -1;
  } else if (!chosen.writes && !volume.recent.empty() && special < e_.reread) {
    const auto& [key, cell] = volume.recent[piece % volume.recent.size()];
    what.key = key;
    what.shard = cell;
  } else {
    what.key = volume.name + "/" + std::to_string(piece % static_cast<std::uint64_t>(e_.pieces));
    what.shard = static_cast<int>(Random::Hash(what.key) % static_cast<std::uint64_t>(e_.boxes));
  }
  request.key = what.key;
  ++outcomes_.requests;
  const auto second = static_cast<std::size_t>((now_ - kEpoch) / 1'000'000);
  if (outcomes_.seconds.size() <= second) {
    outcomes_.seconds.resize(second + 1);
  }
  outcomes_.seconds[second].due += chosen.cls.priority_weight;
  ++outcomes_.seconds[second].asked;
  Note(What::kAsk, request.initiator, id, -1, what.shard, request.cls, request.units);
  const Initiator& initiator = initiators_[static_cast<std::size_t>(request.initiator)];
  const int at = request.initiator;
  const Time deadline = request.deadline;
  arrived.deadline = Local(initiator, deadline);
  Feed(at, std::move(arrived));
  Put(deadline, Happens::kDeadline, at, 0, 0, id);
}

void World::Impl::Answer(int initiator, const core::Response& answer) {
  const auto id = static_cast<std::int64_t>(answer.request);
  Note(What::kAnswer, initiator, id, -1, -1, static_cast<int>(answer.status));
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.answered) {
    return;
  }
  Request& request = at->second;
  request.answered = true;
  const auto second = static_cast<std::size_t>((request.asked - kEpoch) / 1'000'000);
  Second& s = outcomes_.seconds[second];
  const RequestClass& cls = e_.classes[static_cast<std::size_t>(request.cls)].cls;
  switch (answer.status) {
    case core::ResponseStatus::kServed: {
      request.served = true;
      const Time took = now_ - request.asked;
      outcomes_.latencies.push_back(static_cast<float>(static_cast<double>(took) / 1000));
      ++s.served;
      if (took <= cls.latency_objective) {
        s.earned += cls.priority_weight;
      }
      if (took > cls.latency_objective) {
        ++s.late, s.earned += cls.priority_weight * cls.late_weight_fraction;
      }
      break;
    }
    case core::ResponseStatus::kRejected:
      ++s.refused;
      break;
    case core::ResponseStatus::kTimedOut:
      ++s.timed_out;
      break;
    default:
      ++s.failed;
  }
  Forget(id);
}

void World::Impl::Forget(std::int64_t id) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || !at->second.answered) {
    return;
  }
  const auto& trials = at->second.trials;
  if (std::all_of(trials.begin(), trials.end(), [](const Trial& t) { return t.known; })) {
    requests_.erase(at);
  }
}

// ---- initiators ----

void World::Impl::Feed(int number, const core::Input& input) {
  Initiator& initiator = initiators_[static_cast<std::size_t>(number)];
  Do(number, initiator.engine->Handle(input, Local(initiator, now_)));
}

void World::Impl::Do(int number, std::vector<core::Output> outputs) {
  if (meddling_.outputs) {
    meddling_.outputs(number, now_, &outputs);
  }
  const Initiator& initiator = initiators_[static_cast<std::size_t>(number)];
  const auto lasts = [&](Time local) {
    return static_cast<Time>(static_cast<double>(local) / initiator.rate);
  };
  for (const core::Output& output : outputs) {
    if (const auto* attempt = std::get_if<core::StartAttempt>(&output)) {
      Send(number, *attempt);
    } else if (const auto* cancel = std::get_if<core::AbortAttempt>(&output)) {
      const auto id = static_cast<std::int64_t>(cancel->request);
      const auto at = requests_.find(id);
      if (at == requests_.end() || cancel->attempt >= static_cast<int>(at->second.trials.size())) {
        continue;
      }
      const int box = at->second.trials[static_cast<std::size_t>(cancel->attempt)].box;
      if (box >= 0 && box < static_cast<int>(boxes_.size()) &&
          !Cut(initiator.zone, boxes_[static_cast<std::size_t>(box)].zone)) {
        Put(now_ + Delay(), Happens::kCancels, number, box, cancel->attempt, id);
      }
      Put(now_, Happens::kReplies, number, box, cancel->attempt, id, static_cast<int>(Outcome::kCancelled));
    } else if (const auto* answer = std::get_if<core::Response>(&output)) {
      Answer(number, *answer);
    } else if (const auto* ring = std::get_if<core::ArmTimer>(&output)) {
      Put(now_ + lasts(ring->delay), Happens::kRings, number, 0, 0, ring->timer_id);
    } else if (const auto* check = std::get_if<core::StartHealthCheck>(&output)) {
      const int box = std::stoi(check->target.substr(1));
      const Time there = Delay() + Delay();
      Put(now_ + there, Happens::kProbes, number, box, 0, 0, there);
    }
    // Watching is what every initiator does here; withdrawn attempts are on their way already.
  }
}

void World::Impl::Send(int number, const core::StartAttempt& attempt) {
  const auto id = static_cast<std::int64_t>(attempt.request);
  const int box = std::stoi(attempt.target.substr(1));
  const Initiator& initiator = initiators_[static_cast<std::size_t>(number)];
  ++outcomes_.attempts;
  Note(What::kSend, number, id, attempt.attempt, box);
  const auto at = requests_.find(id);
  if (at == requests_.end()) {
    return;
  }
  auto& trials = at->second.trials;
  if (trials.size() <= static_cast<std::size_t>(attempt.attempt)) {
    trials.resize(static_cast<std::size_t>(attempt.attempt) + 1);
  }
  trials[static_cast<std::size_t>(attempt.attempt)].box = box;
  trials[static_cast<std::size_t>(attempt.attempt)].sent = now_;
  const auto limit = static_cast<Time>(static_cast<double>(attempt.timeout) / initiator.rate);
  Put(now_ + limit, Happens::kLimit, number, box, attempt.attempt, id);
  if (box < 0 || box >= static_cast<int>(boxes_.size())) {  // nobody is there
    Put(now_ + Delay(), Happens::kReplies, number, 0, attempt.attempt, id,
        static_cast<int>(Outcome::kConnectFailed));
    return;
  }
  if (Cut(initiator.zone, boxes_[static_cast<std::size_t>(box)].zone)) {
    return;
  }
  if (e_.loss > 0 && network_.Chance(e_.loss)) {  // before the box has it, or after
    Put(now_ + kBroken, Happens::kReplies, number, box, attempt.attempt, id,
        static_cast<int>(Outcome::kConnectionReset));
    if (network_.Chance(0.5)) {
      return;
    }
  }
  Put(now_ + Delay(), Happens::kArrives, number, box, attempt.attempt, id, at->second.units);
}

// The first that is heard of an attempt counts, as at a connector; what comes later is dropped there.
void World::Impl::Report(int number, std::int64_t id, int trial, Outcome outcome) {
  const auto at = requests_.find(id);
  if (at == requests_.end()) {
    return;
  }
  Trial& known = at->second.trials[static_cast<std::size_t>(trial)];
  if (std::exchange(known.known, true)) {
    return;
  }
  Note(What::kOutcome, number, id, trial, known.box, static_cast<int>(outcome));
  if (outcome == Outcome::kCompleted && at->second.fresh) {
    auto& recent = volumes_[static_cast<std::size_t>(at->second.volume)].recent;
    recent.emplace_back(at->second.key, boxes_[static_cast<std::size_t>(known.box)].cell);
    if (recent.size() > kRecent) {
      recent.pop_front();
    }
  }
  core::AttemptResult ended;
  ended.request = static_cast<core::RequestNumber>(id);
  ended.attempt = trial;
  ended.outcome = outcome;
  ended.latency = now_ - known.sent;
  Feed(number, ended);
  Forget(id);
}

// ---- boxes ----

double World::Impl::Power(const Box& box) const {
  if (box.started == 0) {
    return 1;
  }
  const double part = std::min(1.0, static_cast<double>(now_ - box.started) /
                                        static_cast<double>(std::max<Time>(1, e_.rules.slow_start_duration)));
  return e_.rules.slow_start_fraction + (1 - e_.rules.slow_start_fraction) * part;
}

void World::Impl::Reply(const Box& box, const Work& work, Outcome outcome) {
  if (Cut(box.zone, initiators_[static_cast<std::size_t>(work.initiator)].zone)) {
    return;
  }
  Put(now_ + Delay(), Happens::kReplies, work.initiator, box.number, work.trial, work.request,
      static_cast<int>(outcome));
}

void World::Impl::Arrive(const Item& item) {
  Box& box = boxes_[static_cast<std::size_t>(item.box)];
  const Work work{item.number, item.trial, item.who, item.extra, next_ticket_++};
  if (!box.up) {
    return Reply(box, work, Outcome::kConnectFailed);
  }
  if (box.errors && choices_.Chance(box.factor)) {
    // Half of such have done the work before they say that it has failed.
    Note(What::kTaken, work.initiator, work.request, work.trial, box.number, 0, work.units);
    if (choices_.Chance(0.5)) {
      Note(What::kBegin, work.initiator, work.request, work.trial, box.number);
      Note(What::kRan, work.initiator, work.request, work.trial, box.number, 0, work.units);
    } else {
      Note(What::kDropped, work.initiator, work.request, work.trial, box.number, 0, work.units);
    }
    return Reply(box, work, Outcome::kErrored);
  }
  // What is sent to it counts, not what it takes: turning away is work as well.
  const double power = Power(box);
  if (box.started > 0 && power < 1) {
    const Time from = now_ - e_.rules.overload_window;
    box.lately.emplace_back(now_, static_cast<double>(work.units) / 1000);
    box.lately_units += box.lately.back().second;
    while (box.lately.front().first < from) {
      box.lately_units -= box.lately.front().second;
      box.lately.pop_front();
    }
    const double bears = e_.power() * box.speed * power * e_.rules.overload_threshold *
                         static_cast<double>(e_.rules.overload_window) / 1e6 * kTipSlack;
    if (box.lately_units > bears) {
      Note(What::kTopple, -1, -1, -1, box.number);
      ++outcomes_.toppled;
      End(box);
      Put(now_ + kToppled, Happens::kStarts, 0, box.number);
      return;
    }
  }
  if (static_cast<int>(box.queue.size()) >= e_.queue) {
    Note(What::kFull, work.initiator, work.request, work.trial, box.number);
    return Reply(box, work, Outcome::kOverloaded);
  }
  Note(What::kTaken, work.initiator, work.request, work.trial, box.number, 0, work.units);
  box.queue.push_back(work);
  Begin(box);
}

void World::Impl::Begin(Box& box) {
  if (!box.up || now_ < box.frozen) {
    return;
  }
  const int slots = std::max(1, static_cast<int>(std::lround(e_.slots * (1 - box.taken))));
  while (static_cast<int>(box.working.size()) < slots && !box.queue.empty()) {
    const Work work = box.queue.front();
    box.queue.pop_front();
    box.working.push_back(work);
    Note(What::kBegin, work.initiator, work.request, work.trial, box.number);
    const double speed = box.speed * Power(box) * (box.errors ? 1 : box.factor);
    // Work differs by a fifth from what its units say.
    const double time = static_cast<double>(work.units) / 1000 * static_cast<double>(e_.unit) /
                        std::max(speed, 1e-3) * work_.Between(0.8, 1.2);
    Put(now_ + static_cast<Time>(time), Happens::kFinishes, 0, box.number, 0,
        static_cast<std::int64_t>(work.ticket));
  }
}

void World::Impl::Finish(Box& box, std::uint64_t ticket) {
  const auto at =
      std::find_if(box.working.begin(), box.working.end(), [&](const Work& w) { return w.ticket == ticket; });
  if (at == box.working.end()) {
    return;  // lost with the process
  }
  if (now_ < box.frozen) {
    return Put(box.frozen, Happens::kFinishes, 0, box.number, 0, static_cast<std::int64_t>(ticket));
  }
  const Work work = *at;
  box.working.erase(at);
  Note(What::kRan, work.initiator, work.request, work.trial, box.number, 0, work.units);
  outcomes_.done += static_cast<std::uint64_t>(work.units);
  const auto request = requests_.find(work.request);
  if (request == requests_.end() || request->second.answered) {
    outcomes_.wasted += static_cast<std::uint64_t>(work.units);
  }
  if (!box.silent) {
    Reply(box, work, Outcome::kCompleted);
  }
  Begin(box);
}

void World::Impl::Drop(Box& box, const Work& work, bool begun) {
  Note(What::kDropped, work.initiator, work.request, work.trial, box.number, static_cast<std::int64_t>(begun),
       work.units);
}

// The process ends: its connections do, and whoever waits on one knows it soon.
void World::Impl::End(Box& box) {
  if (!box.up) {
    return;
  }
  box.up = false;
  Note(What::kDown, -1, -1, -1, box.number);
  for (const bool begun : {false, true}) {
    for (const Work& work : begun ? box.working : std::vector<Work>(box.queue.begin(), box.queue.end())) {
      Drop(box, work, begun);
      Reply(box, work, Outcome::kConnectionReset);
    }
  }
  box.queue.clear();
  box.working.clear();
  box.lately.clear();
  box.lately_units = 0;
  Tell(box, EndpointState::kTerminated);
}

void World::Impl::Start(Box& box, bool cold) {
  box.up = true;
  box.draining = false;
  box.frozen = 0;
  box.started = cold ? now_ : 0;
  Note(What::kUp, -1, -1, -1, box.number, static_cast<std::int64_t>(cold));
  Tell(box, EndpointState::kActive);
}

void World::Impl::Tell(const Box& box, EndpointState phase) {
  if (deaf_) {
    untold_.emplace_back(box.number, phase);
    return;
  }
  for (int i = 0; i < e_.initiators; ++i) {
    const Time late = e_.list_delay + static_cast<Time>(list_.Part() * static_cast<double>(e_.list_jitter));
    Put(now_ + late, Happens::kHears, i, box.number, 0, static_cast<int>(phase));
  }
}

// ---- faults ----

void World::Impl::Fault(const FaultPlan& fault, int step, bool begins) {
  const int cell = fault.first + step;
  const auto box_of = [&]() -> Box& {
    return boxes_[static_cast<std::size_t>(by_cell_[static_cast<std::size_t>(cell)])];
  };
  switch (fault.trouble) {
    case Trouble::kSlow:
      box_of().factor = begins ? std::max(0.01, fault.factor) : 1;
      break;
    case Trouble::kFreeze:
      if (begins) {
        Box& box = box_of();
        box.frozen = std::max(box.frozen, now_ + fault.lasts);
        Put(box.frozen, Happens::kStarts, 1, box.number);
      }
      break;
    case Trouble::kErrors:
      box_of().errors = begins;
      box_of().factor = begins ? fault.factor : 1;
      break;
    case Trouble::kNeighbour:
      box_of().taken = begins ? std::min(0.95, fault.factor) : 0;
      Begin(box_of());
      break;
    case Trouble::kCut:
      begins ? static_cast<void>(cut_.insert(cell)) : static_cast<void>(cut_.erase(cell));
      break;
    case Trouble::kRestart:
      begins ? End(box_of()) : Put(now_, Happens::kStarts, 0, box_of().number);
      break;
    case Trouble::kReplace: {
      if (begins) {
        Box& old = box_of();
        old.draining = true;
        Tell(old, EndpointState::kDraining);
        break;
      }
      Box& old = box_of();
      old.gone = true;
      End(old);
      Box next;
      next.number = static_cast<int>(boxes_.size());
      next.cell = cell;
      next.zone = old.zone;
      next.speed = old.speed;
      next.up = false;
      boxes_.push_back(next);
      by_cell_[static_cast<std::size_t>(cell)] = next.number;
      Start(boxes_.back(), true);
      break;
    }
    case Trouble::kSilence:
      box_of().silent = begins;
      break;
    case Trouble::kDeaf:
      deaf_ = begins;
      if (!begins) {
        for (const auto& [box, phase] : std::exchange(untold_, {})) {
          Tell(boxes_[static_cast<std::size_t>(box)], phase);
        }
      }
      break;
    case Trouble::kSurge:
      surges_[static_cast<std::size_t>(cell)] = begins ? fault.factor : 1;
      break;
  }
}

World::World(const Experiment& experiment, Log* log, Meddling meddling)
    : impl_(std::make_unique<Impl>(experiment, log, std::move(meddling))) {}
World::~World() = default;
Outcomes World::Run(const std::function<void(double)>& progress) { return impl_->Run(progress); }

}  // namespace walnutspur::lab

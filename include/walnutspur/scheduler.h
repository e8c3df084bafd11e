// walnutspur: the decisions of a host-side I/O scheduler for a shared disk pool.
//
// This file is the whole interface: settings, events, actions and the class Scheduler. One Scheduler serves
// one initiator. It owns no thread, clock or socket: the initiator hands it each event with the time at
// which it happened, and carries out the actions that come back, in their order. Equal settings, seed and
// events give equal actions.
//
// All times are integer microseconds of one clock that never runs backwards.
#ifndef WALNUTSPUR_SCHEDULER_H_
#define WALNUTSPUR_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace walnutspur {

using Time = std::int64_t;
using RequestId = std::string;
using TargetId = std::string;

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Group { kAll, kZone, kCell };  // the targets that drop a keyed request's repeats
enum class Discovery { kAutomatic, kSubscribe };
enum class Phase { kLive, kQuiescing, kDead };
enum class Mode { kDelta, kFull, kCached, kFailed };
enum class Outcome {
  kCompleted,
  kErrored,      // may have run
  kSaturated,    // never ran: turned away unseen
  kOverdue,      // may have run, may still run
  kRefusedConn,  // never ran: no connection in time
  kSevered,      // may have run
  kRecalled,     // may have run
  kSuperseded,   // never ran: not sent
  kDamaged       // may have run: what came back fails its checksum
};

// A class of requests.
struct RequestClass {
  Time aim = 0;       // an answer in this time earns the full worth
  Time deadline = 0;  // what a client waits over all its tries
  Effect effect = Effect::kSafe;
  Group group = Group::kAll;
  Time memory_span = 0;  // keyed: how long repeats are dropped, from the first send that may have run
  double worth = 1;
  double late_worth = 0;  // the part of the worth that a late answer earns
  bool serial_by_key = false;
};

// A plan on which volumes stand; figures are units a second for one volume over all initiators and targets.
struct Plan {
  double rate = 0;
  double floor_rate = 0;  // reserved: earns the full worth
  double limit = 0;       // 0: none
  double burst = 0;       // the store behind the limit
  double parts = 1;       // weight in what a target does beyond the reserves
  double value_factor = 1;
};

struct Rules {
  Time ask_every = 0;
  Time drain_grace = 0;
  Time grace_to_answer = 0;
  double cold_share = 1;
  Time warm_up = 0;
  double tip_multiple = 1;
  Time overload_for = 0;
  std::optional<Time> key_rest;
  std::optional<Time> budget_span;  // with further_ratio: the ration of further attempts
  std::optional<double> further_ratio;
  double extra_floor = 0;
};

struct Settings {
  int instances = 1;
  double part = 0;  // of all initiators' requests that come to this one; 0: not known, an even part
  Discovery discovery = Discovery::kAutomatic;
  Time granularity = 0;  // the shortest time between two batches of events
  std::vector<RequestClass> classes;
  std::vector<Plan> plans;
  Rules rules;
  int try_limit = 1;
  bool may_cancel = false;
  bool may_probe = false;
  bool retry_after = false;  // clients are told a hold-off
  Time max_retry_after = 0;
  double cold_units = 0;     // what a cold target bears in overload_for from all initiators
  double usual_units = 1;    // mean units of a request
  double largest_units = 1;  // the most units of a request
  double fair_worth = 1;     // part of the worth earned inside the share, beyond the reserve
  double beyond_worth = 1;   // part earned beyond the share
  Time meter_period = 0;     // 0: answers do not tell the use of a volume
  bool counts_others = false;
  std::vector<std::string> report_fields;
};

// ---- events ----

struct Started {};  // once, before all else

struct ListEntry {
  TargetId target;
  Phase phase = Phase::kLive;
  int cell = 0;  // the shard that the target holds
  int zone = 0;
  int kind = 0;
  double scale = 1;
  Time launched = 0;      // 0: long ago
  bool takes_new = true;  // a new object may be placed there
};

struct Membership {
  Mode mode = Mode::kFull;
  std::vector<ListEntry> entries;
};

struct Arrival {
  RequestId id;
  int request_class = 0;
  int plan = 0;
  std::string key;     // the piece of data; empty: none
  std::string volume;  // by which reserve, limit and share are counted
  Time ttl = 0;        // before the client stops waiting
  double units = 1;
  int cell = -1;        // where the data lies; -1: a new object, any target may take it
  int mounts = 1;       // initiators that the volume's requests come through
  bool repeat = false;  // the client marks it as a further try of its own
};

struct Done {
  RequestId id;
  int trial = 0;
  TargetId target;
  Outcome outcome = Outcome::kCompleted;
  Time delay = 0;
  bool settled = false;  // the request is over
  int seen_use = 0;      // 1 + the volume's use everywhere in percent of its rate; 0: not told
  double others_got = 0;
  std::vector<double> report;
};

struct Bell {
  std::int64_t mark = 0;
};

struct ProbeDone {
  TargetId target;
  Outcome outcome = Outcome::kCompleted;
  Time delay = 0;
  std::vector<double> report;
};

struct Abandoned {
  RequestId id;
};

struct Streaming {
  RequestId id;
};

// How many initiators there are and what part of all requests comes to this one, where somebody knows: in
// place of Settings::instances and an even part. The fleet's view tells it (src/fleet/view/).
struct FleetSize {
  int live = 1;
  double part = 1;
};

using Event =
    std::variant<Started, Membership, Arrival, Done, Bell, ProbeDone, Abandoned, Streaming, FleetSize>;

// ---- actions ----

struct Send {
  RequestId id;
  TargetId target;
  Time try_for = 0;   // 0: until the client stops waiting
  Time begin_by = 0;  // the repeat of a keyed request: when its target drops such no more; 0: no such bound
};
struct Refuse {  // final: no, and a new try does no harm
  RequestId id;
  Time hold_off = 0;
};
struct Fail {  // final: failed, the effect is unknown
  RequestId id;
};
struct Wake {
  std::int64_t mark = 0;
  Time after = 0;
};
struct Retract {
  RequestId id;
  int trial = 0;
};
struct Probe {
  TargetId target;
};
struct Subscribe {};  // asks discovery for changes from now on

using Action = std::variant<Send, Refuse, Fail, Wake, Retract, Probe, Subscribe>;

class Scheduler {
 public:
  Scheduler(const Settings& settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Takes one event that happens at `now` and returns what to do, in order. Ids that are no longer held and
  // targets that were never listed are passed over.
  std::vector<Action> Handle(const Event& event, Time now);

  // Entries in all tables: what is over must leave none behind.
  std::size_t remembered() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace walnutspur

#endif  // WALNUTSPUR_SCHEDULER_H_

// The engine: requests, attempts and outcomes, and the table of both. It knows no wire.
//
// Fronts turn what clients ask into `Arrived`, connectors carry out `Attempt` and report `Ended`. The engine
// plays these to the Scheduler as events and turns its actions into outputs. It guards what the Scheduler
// relies on: one final answer to a request, attempts numbered in order, one outcome to an attempt.
#ifndef WALNUTSPUR_CORE_ENGINE_H_
#define WALNUTSPUR_CORE_ENGINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::core {

using Serial = std::uint64_t;  // numbers the requests that one process has taken

// Whose front and connector a request belongs to; kOwn: the program's own work on what NBD reaches.
enum class Wire { kHttp, kNbd, kOwn };

// What passes through unchanged. Only the fronts and connectors of one wire look inside.
struct Payload {
  virtual ~Payload() = default;
};
using PayloadRef = std::shared_ptr<const Payload>;

// ---- inputs ----

struct Arrived {
  Serial serial = 0;
  Wire wire = Wire::kHttp;
  Arrival what;       // id and ttl are filled in by the engine
  std::string name;   // the client's own id of it; empty: it has none that others could repeat
  Time deadline = 0;  // when the client stops waiting
  PayloadRef payload;
};
struct Departed {  // the client has closed its connection
  Serial serial = 0;
};
struct Expired {  // the deadline of the client has passed
  Serial serial = 0;
};
struct Ended {
  Serial serial = 0;
  int trial = 0;
  Outcome outcome = Outcome::kCompleted;
  Time delay = 0;
  int seen_use = 0;
  double others_got = 0;
  std::vector<double> report;
  PayloadRef payload;  // the answer, if completed; what is whole of it, if damaged
};
struct Listed {
  Membership list;
};
struct Rang {
  std::int64_t mark = 0;
};
struct Probed {
  ProbeDone result;
};
struct Fleet {  // what the view of the fleet tells
  FleetSize size;
};
using Input = std::variant<Arrived, Departed, Expired, Ended, Listed, Rang, Probed, Fleet>;

// ---- outputs ----

struct Attempt {
  Serial serial = 0;
  int trial = 0;
  Wire wire = Wire::kHttp;
  TargetId target;
  Time limit = 0;  // how long to wait for the answer
  PayloadRef payload;
  Time begin_by = 0;  // not to be sent later than this; 0: no such bound
};
struct Cancel {
  Serial serial = 0;
  int trial = 0;
  Wire wire = Wire::kHttp;
};
struct Withdraw {  // nothing that is not on its way yet may go to the target any more
  TargetId target;
};
struct Welcome {  // work may go to the target, for the first time or again
  TargetId target;
  Time launched = 0;  // as discovery tells it; 0: long ago
};
enum class Verdict { kServed, kRefused, kFailed, kTimedOut, kRepeated };
struct Answer {
  Serial serial = 0;
  Wire wire = Wire::kHttp;
  Verdict verdict = Verdict::kFailed;
  Time hold_off = 0;    // refused: when to come back
  PayloadRef payload;   // of a read that met damage and is not served: what is whole of it
  bool in_aim = false;  // served within its class's aim
  double waiting = 0;   // part of the open requests that wait in the module for a box's bound
};
struct Ring {
  std::int64_t mark = 0;
  Time after = 0;
};
struct Watch {};
struct Check {
  TargetId target;
};
using Output = std::variant<Attempt, Cancel, Withdraw, Welcome, Answer, Ring, Watch, Check>;

// What the engine asks for decisions: Scheduler::Handle, or another's in its place.
using Decide = std::function<std::vector<Action>(const Event&, Time)>;

class Engine {
 public:
  Engine(const Settings& settings, std::uint64_t seed);
  // With other decisions than the module's: baselines that it is held against.
  Engine(const Settings& settings, Decide decide);

  std::vector<Output> Start(Time now);
  // Takes one input that happens at `now`; returns what to do, in order.
  std::vector<Output> Handle(const Input& input, Time now);

  std::size_t open() const { return requests_.size(); }  // requests with something outstanding
  // Entries in all tables, the module's too.
  std::size_t remembered() const {
    return (scheduler_ ? scheduler_->remembered() : 0) + requests_.size() + names_.size() + live_.size() +
           pending_.size();
  }

 private:
  struct Request {
    Wire wire = Wire::kHttp;
    std::string name;
    Time deadline = 0;
    PayloadRef payload;
    bool answered = false;
    Time aim = 0;        // until when an answer is in time
    PayloadRef partial;  // of the last attempt that met damage
    int attempts = 0;
    std::map<int, TargetId> out;  // attempts without an outcome, by number
  };
  using Requests = std::unordered_map<Serial, Request>;

  void On(const Arrived& input);
  void On(const Departed& input);
  void On(const Expired& input);
  void On(const Ended& input);
  void On(const Listed& input);
  void On(const Rang& input);
  void On(const Probed& input);
  void On(const Fleet& input) { Play(input.size); }

  void Do(const Send& action);
  void Do(const Refuse& action);
  void Do(const Fail& action);
  void Do(const Wake& action);
  void Do(const Retract& action);
  void Do(const Probe& action);
  void Do(const Subscribe& action);

  void Play(const Event& event);
  void Report(Requests::iterator at, const Ended& input);
  void Finish(Serial serial, Verdict verdict, Time hold_off, PayloadRef payload);
  void Forget(Serial serial);
  Requests::iterator Find(const RequestId& id);

  std::unique_ptr<Scheduler> scheduler_;  // null: others decide
  Decide decide_;
  int try_limit_;
  std::vector<Time> aims_;  // by class
  std::size_t out_ = 0;     // attempts without an outcome, of all requests
  Time now_ = 0;
  Requests requests_;
  std::set<std::string> names_;  // of those requests
  std::set<TargetId> live_;      // in the list
  std::vector<Output> outputs_;
  std::vector<Event> pending_;  // events that actions caused, played after them
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_ENGINE_H_

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

using RequestNumber = std::uint64_t;  // numbers the requests that one process has taken

// Whose front and connector a request belongs to; kOwn: the program's own work on what NBD reaches.
enum class Protocol { kHttp, kNbd, kInternal };

// What passes through unchanged. Only the fronts and connectors of one wire look inside.
struct Payload {
  virtual ~Payload() = default;
};
using PayloadRef = std::shared_ptr<const Payload>;

// ---- inputs ----

struct RequestReceived {
  RequestNumber request = 0;
  Protocol protocol = Protocol::kHttp;
  RequestArrived attributes;      // id and ttl are filled in by the engine
  std::string client_request_id;  // the client's own id of it; empty: it has none that others could repeat
  Time deadline = 0;              // when the client stops waiting
  PayloadRef payload;
};
struct ClientClosed {  // the client has closed its connection
  RequestNumber request = 0;
};
struct DeadlineExpired {  // the deadline of the client has passed
  RequestNumber request = 0;
};
struct AttemptResult {
  RequestNumber request = 0;
  int attempt = 0;
  Outcome outcome = Outcome::kCompleted;
  Time latency = 0;
  int reported_usage = 0;
  double units_served_elsewhere = 0;
  std::vector<double> load_report;
  PayloadRef payload;  // the answer, if completed; what is whole of it, if damaged
};
struct EndpointsUpdated {
  EndpointUpdate update;
};
struct TimerExpired {
  std::int64_t timer_id = 0;
};
struct HealthCheckResult {
  HealthCheckFinished result;
};
struct FleetResized {  // what the view of the fleet tells
  FleetSize size;
};
using Input = std::variant<RequestReceived, ClientClosed, DeadlineExpired, AttemptResult, EndpointsUpdated,
                           TimerExpired, HealthCheckResult, FleetResized>;

// ---- outputs ----

struct StartAttempt {
  RequestNumber request = 0;
  int attempt = 0;
  Protocol protocol = Protocol::kHttp;
  TargetId target;
  Time timeout = 0;  // how long to wait for the answer
  PayloadRef payload;
  Time not_after = 0;  // not to be sent later than this; 0: no such bound
};
struct AbortAttempt {
  RequestNumber request = 0;
  int attempt = 0;
  Protocol protocol = Protocol::kHttp;
};
struct DrainTarget {  // nothing that is not on its way yet may go to the target any more
  TargetId target;
};
struct ActivateTarget {  // work may go to the target, for the first time or again
  TargetId target;
  Time started_at = 0;  // as discovery tells it; 0: long ago
};
enum class ResponseStatus { kServed, kRejected, kFailed, kTimedOut, kDuplicate };
struct Response {
  RequestNumber request = 0;
  Protocol protocol = Protocol::kHttp;
  ResponseStatus status = ResponseStatus::kFailed;
  Time retry_after = 0;        // refused: when to come back
  PayloadRef payload;          // of a read that met damage and is not served: what is whole of it
  bool met_objective = false;  // served within its class's aim
  double queued_fraction = 0;  // part of the open requests that wait in the module for a box's bound
};
struct ArmTimer {
  std::int64_t timer_id = 0;
  Time delay = 0;
};
struct OpenWatch {};
struct StartHealthCheck {
  TargetId target;
};
using Output = std::variant<StartAttempt, AbortAttempt, DrainTarget, ActivateTarget, Response, ArmTimer,
                            OpenWatch, StartHealthCheck>;

// What the engine asks for decisions: Scheduler::Handle, or another's in its place.
using DecisionFunction = std::function<std::vector<Action>(const Event&, Time)>;

class Engine {
 public:
  Engine(const Settings& settings, std::uint64_t seed);
  // With other decisions than the module's: baselines that it is held against.
  Engine(const Settings& settings, DecisionFunction decide);

  std::vector<Output> Start(Time now);
  // Takes one input that happens at `now`; returns what to do, in order.
  std::vector<Output> Handle(const Input& input, Time now);

  std::size_t open_requests() const { return requests_.size(); }  // requests with something outstanding
  // Entries in all tables, the module's too.
  std::size_t table_entries() const {
    return (scheduler_ ? scheduler_->table_entries() : 0) + requests_.size() + names_.size() + live_.size() +
           pending_.size();
  }

 private:
  struct Request {
    Protocol wire = Protocol::kHttp;
    std::string name;
    Time deadline = 0;
    PayloadRef payload;
    bool answered = false;
    Time aim = 0;        // until when an answer is in time
    PayloadRef partial;  // of the last attempt that met damage
    int attempts = 0;
    std::map<int, TargetId> out;  // attempts without an outcome, by number
  };
  using Requests = std::unordered_map<RequestNumber, Request>;

  void On(const RequestReceived& input);
  void On(const ClientClosed& input);
  void On(const DeadlineExpired& input);
  void On(const AttemptResult& input);
  void On(const EndpointsUpdated& input);
  void On(const TimerExpired& input);
  void On(const HealthCheckResult& input);
  void On(const FleetResized& input) { Play(input.size); }

  void Do(const SendAttempt& action);
  void Do(const RejectRequest& action);
  void Do(const FailRequest& action);
  void Do(const StartTimer& action);
  void Do(const CancelAttempt& action);
  void Do(const CheckHealth& action);
  void Do(const WatchEndpoints& action);

  void Play(const Event& event);
  void Report(Requests::iterator at, const AttemptResult& input);
  void Finish(RequestNumber serial, ResponseStatus verdict, Time hold_off, PayloadRef payload);
  void Forget(RequestNumber serial);
  Requests::iterator Find(const RequestId& id);

  std::unique_ptr<Scheduler> scheduler_;  // null: others decide
  DecisionFunction decide_;
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

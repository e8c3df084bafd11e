// Tracks open requests and their attempts between the front ends and the Scheduler, independent of any
// protocol.
//
// The engine translates inputs into Scheduler events and Scheduler actions into outputs. It ensures the
// invariants that the Scheduler relies on: one final response to each request, attempts numbered in order,
// one outcome for each attempt. Owned by SchedulerThread and used on that thread only.
#ifndef WALNUTSPUR_CORE_ENGINE_H_
#define WALNUTSPUR_CORE_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/messages.h"
#include "decision/cordon_table.h"
#include "limits/expiring_ids.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::core {

// Returns the actions for one event: Scheduler::Handle, or a policy that replaces it.
using DecisionFunction = std::function<std::vector<Action>(const Event&, Time)>;

// Class Engine holds the state of all open requests of a process.
class Engine {
 public:
  // Creates an engine with a Scheduler of its own, whose random draws start from `seed`.
  Engine(const Settings& settings, std::uint64_t seed);
  // Creates an engine that takes its decisions from `decide`; for the baseline policies that the Scheduler is
  // compared with.
  Engine(const Settings& settings, DecisionFunction decide);

  // Passes the first event, Started, to the decisions; must be called once, before Handle. Returns the
  // outputs, in order.
  std::vector<Output> Start(Time now);
  // Handles one input that happens at `now` (us). Returns the outputs, in order.
  std::vector<Output> Handle(const Input& input, Time now);

  // Returns the number of requests without a response or with an attempt that has no outcome.
  std::size_t open_requests() const { return requests_.size(); }
  // Returns the number of entries of all tables, including those of the Scheduler, as a measure of memory in
  // use.
  std::size_t table_entries() const {
    return (scheduler_ ? scheduler_->table_entries() : 0) + requests_.size() + client_request_ids_.size() +
           executed_ids_.size() + served_ids_.size() + active_targets_.size() + pending_events_.size() +
           cordons_.table_entries();
  }

 private:
  struct RequestState {
    Protocol protocol = Protocol::kHttp;
    std::string client_request_id;
    Time deadline = 0;  // us
    PayloadRef payload;
    bool finished = false;                  // a response was sent, or the client has disconnected
    bool is_idempotent = true;              // may run again under the same id
    bool may_have_run = false;              // an attempt has ended without proof that it never ran
    bool was_served = false;                // its client has the response of a target
    Time objective_deadline = 0;            // latest time of a response within the latency objective, us
    PayloadRef partial_payload;             // intact part of the latest corrupted response
    int attempts = 0;                       // number of the next attempt
    std::map<int, TargetId> open_attempts;  // attempts without an outcome, by number
  };
  using RequestTable = std::unordered_map<RequestNumber, RequestState>;

  void HandleInput(const RequestReceived& input);
  void HandleInput(const ClientClosed& input);
  void HandleInput(const DeadlineExpired& input);
  void HandleInput(const AttemptResult& input);
  void HandleInput(const EndpointsUpdated& input);
  void HandleInput(const TimerExpired& input);
  void HandleInput(const HealthCheckResult& input);
  void HandleInput(const FleetResized& input) { ProcessEvent(input.size); }
  void HandleInput(const CordonRequested& input);
  void HandleInput(const SettingsChanged& input);
  void ReadSettings(const Settings& settings);

  void ExecuteAction(const SendAttempt& action);
  void ExecuteAction(const RejectRequest& action);
  void ExecuteAction(const FailRequest& action);
  void ExecuteAction(const StartTimer& action);
  void ExecuteAction(const CancelAttempt& action);
  void ExecuteAction(const CheckHealth& action);
  void ExecuteAction(const WatchEndpoints& action);

  // Changes the cordon table. Returns the endpoints that change, or nullopt if the target is unknown.
  std::optional<EndpointUpdate> ChangeCordon(const CordonRequested& input);
  // Passes an update to the decisions and outputs which targets are activated and drained.
  void UpdateEndpoints(const EndpointUpdate& update);
  // Passes an event to the decisions, executes the resulting actions, and processes the events that those
  // cause.
  void ProcessEvent(const Event& event);
  // Times out each attempt of a request that has no outcome yet.
  void TimeOutAttempts(RequestNumber number);
  // Passes the outcome of an attempt to the decisions, unless the attempt already has an outcome.
  void CompleteAttempt(RequestTable::iterator position, const AttemptResult& input);
  // Outputs the final response, unless the request is finished.
  void SendResponse(RequestNumber number, ResponseStatus status, Time retry_after, PayloadRef payload);
  // Removes a request that is finished and has no attempt without an outcome.
  void EraseIfClosed(RequestNumber number);
  // Keeps the id of a request that must not run again. If the request was served, only until its client can
  // have the response.
  void RememberId(RequestNumber number, const RequestState& request);
  void RememberId(const std::string& id);
  // Handles a client that had left before it could have the response of its served request.
  void OnResponseUndelivered(RequestNumber number);
  RequestTable::iterator FindRequest(const RequestId& id);

  std::unique_ptr<Scheduler> scheduler_;  // null if the caller passed a decision function
  DecisionFunction decide_;
  int max_attempts_ = 1;
  std::vector<Time> latency_objectives_;  // us, by request class
  std::vector<bool> are_idempotent_;      // by request class
  std::size_t max_flows_ = 0;
  std::size_t open_attempts_ = 0;  // attempts without an outcome, of all requests
  Time now_ = 0;                   // time of the current input, us
  RequestTable requests_;
  std::set<std::string> client_request_ids_;  // ids of the open requests
  limits::ExpiringIds executed_ids_;          // ids of requests that may have run and must not run again
  // The id of a request that was served, while its client may turn out to have left before.
  struct ServedId {
    RequestNumber request = 0;
    std::string id;
    Time served_at = 0;
  };
  std::deque<ServedId> served_ids_;
  std::set<TargetId> active_targets_;
  decision::CordonTable cordons_;
  std::vector<Output> outputs_;        // caused by the current input
  std::vector<Event> pending_events_;  // caused by actions; processed after the current event
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_ENGINE_H_

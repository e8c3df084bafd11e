// Checks the invariants of the platform against an event log, and against nothing else: the checker shares no
// state with the simulation, so that a fault in the one cannot hide a fault in the other. tests/lab violate
// each invariant on purpose. Owned by whoever reads the log; used on one thread.
#ifndef WALNUTSPUR_LAB_SIM_INVARIANT_CHECKER_H_
#define WALNUTSPUR_LAB_SIM_INVARIANT_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/sim/event_log.h"

namespace walnutspur::lab {

// How long after its deadline a request may be answered, us.
constexpr Time kResponseGrace = 20'000;

// An invariant that the log violates.
struct Violation {
  std::string rule;         // name of the invariant
  LogEntry entry;           // that shows it
  std::string description;  // one line
};

class InvariantChecker {
 public:
  // Checks the next entry of the log.
  void Observe(const LogEntry& entry);

  // The first violation of each invariant, in the order of the log.
  const std::vector<Violation>& violations() const { return first_violations_; }
  // Number of violations by name of the invariant.
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }
  bool clean() const { return counts_.empty(); }

 private:
  struct Attempt {
    int server = -1;
    bool ended = false;         // its outcome is known
    bool may_have_run = false;  // by that outcome
    bool started = false;       // by what the server did
  };
  struct Request {
    std::int64_t shard = -1;  // -1: a new object, on any
    Time deadline = 0;        // us
    bool not_idempotent = false;
    bool answered = false;
    bool started = false;  // by any server
    int completions = 0;   // times that work on it was finished
    std::vector<Attempt> attempts;
  };
  // What an initiator was last notified of a server.
  struct Endpoint {
    EndpointState state = EndpointState::kTerminated;
    Time since = 0;  // us
    std::int64_t shard = -1;
  };
  struct Class {
    bool not_idempotent = false;
    Time deadline = 0;  // us
  };

  void Report(const char* rule, const LogEntry& entry, std::string description);
  Request* Find(const LogEntry& entry);
  // nullptr if the request is settled or has no such attempt.
  Attempt* FindAttempt(const LogEntry& entry);
  void CheckOrder(const LogEntry& entry);

  void OnRequest(const LogEntry& entry);
  void OnSend(const LogEntry& entry);
  void CheckAttemptNumber(const LogEntry& entry, const Request& request);
  void CheckEndpoint(const LogEntry& entry, const Request& request);
  void OnOutcome(const LogEntry& entry);
  void OnResponse(const LogEntry& entry);
  void OnAccepted(const LogEntry& entry);
  void OnWorkStarted(const LogEntry& entry);
  void OnWorkFinished(const LogEntry& entry);
  void OnEndpointNotified(const LogEntry& entry);
  void OnUnfinished(const LogEntry& entry);
  void OnEnd(const LogEntry& entry);
  void EraseIfSettled(std::int64_t number);

  Time now_ = 0;
  std::int64_t max_attempts_ = 1;
  Time drain_grace_ = 0;  // us
  bool ended_ = false;
  std::map<std::int64_t, Class> classes_;
  std::unordered_map<std::int64_t, Request> requests_;
  std::unordered_map<std::int64_t, Endpoint> endpoints_;  // by EndpointKey
  std::map<int, std::int64_t> held_units_;                // by server, thousandths of a unit
  std::vector<Violation> first_violations_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_SIM_INVARIANT_CHECKER_H_

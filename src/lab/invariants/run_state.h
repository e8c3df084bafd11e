// Class RunState holds the state that results from the events of a record so far: the requests, their
// attempts, the endpoints each initiator was notified of, the work that servers hold and the histories of the
// processes. The invariants read it; it checks nothing itself.
//
// Owned by an InvariantChecker; used on one thread.
#ifndef WALNUTSPUR_LAB_INVARIANTS_RUN_STATE_H_
#define WALNUTSPUR_LAB_INVARIANTS_RUN_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lab/invariants/event.h"

namespace walnutspur::lab::invariants {

struct AttemptState {
  int server = kNoServer;
  bool ended = false;         // the initiator has learned its outcome
  bool may_have_run = false;  // by that outcome
  bool started = false;       // by what the server did

  // Returns whether the initiator must assume that the attempt had its effect.
  bool PossiblyRan() const { return !ended || may_have_run; }
};

struct Disconnect {
  Time at = 0;
  DisconnectReason reason = DisconnectReason::kClientDisconnected;
};

struct RequestState {
  int initiator = -1;
  std::int64_t shard = kAnyShard;
  Time sent_at = 0;
  Time deadline = 0;  // absolute
  bool is_idempotent = true;
  bool has_response = false;
  bool started = false;  // by any server
  int completions = 0;   // times that work on it was finished
  std::optional<Disconnect> disconnect;
  std::vector<AttemptState> attempts;
};

// The state of a server of which an initiator was last notified.
struct KnownEndpoint {
  bool is_active = false;
  Time inactive_since = 0;  // time of the first notification since it was active
  Time notified_at = 0;     // time of the last notification
  std::int64_t shard = kAnyShard;
};

// When an initiator's process was started and signalled, in order of time.
struct ProcessHistory {
  std::vector<Time> starts;
  std::vector<Time> terminations;
  std::vector<Time> kills;
};

class RunState {
 public:
  // Whether a request is discarded once it has a response, all its attempts have ended and it may run again.
  // Otherwise a record of millions of requests does not fit into memory.
  enum class Retention { kAllRequests, kUnsettledRequests };
  explicit RunState(Retention retention) : retention_(retention) {}

  // Updates the state with the next event of the record.
  void Apply(const Event& event);

  Time now() const { return now_; }  // the latest time of an event
  bool ended() const { return ended_; }
  const RunLimits& limits() const { return limits_; }
  const std::unordered_map<RequestId, RequestState>& requests() const { return requests_; }

  // Each returns nullptr if the record has no event of it so far, or if it was discarded.
  const RequestState* FindRequest(RequestId request) const;
  const AttemptState* FindAttempt(RequestId request, int attempt) const;
  const KnownEndpoint* FindEndpoint(int initiator, int server) const;
  const ProcessHistory* FindProcess(int initiator) const;

  // Returns the work that a server has accepted and neither finished nor dropped, thousandths of a unit.
  std::int64_t HeldUnits(int server) const;

 private:
  void Take(const RunLimits& event, Time at);
  void Take(const RequestSent& event, Time at);
  void Take(const AttemptSent& event, Time at);
  void Take(const AttemptEnded& event, Time at);
  void Take(const ResponseReceived& event, Time at);
  void Take(const ClientDisconnected& event, Time at);
  void Take(const EndpointNotified& event, Time at);
  void Take(const AttemptAccepted& event, Time at);
  void Take(const WorkStarted& event, Time at);
  void Take(const WorkFinished& event, Time at);
  void Take(const WorkDropped& event, Time at);
  void Take(const ProcessStarted& event, Time at);
  void Take(const ProcessTerminated& event, Time at);
  void Take(const ProcessKilled& event, Time at);
  void Take(const RunEnded& event, Time at);
  template <typename Unstored>
  void Take(const Unstored& /*event*/, Time /*at*/) {}

  RequestState* MutableRequest(RequestId request);
  AttemptState* MutableAttempt(RequestId request, int attempt);
  void ForgetIfSettled(RequestId request);

  Retention retention_;
  Time now_ = 0;
  bool ended_ = false;
  RunLimits limits_;
  std::unordered_map<RequestId, RequestState> requests_;
  std::unordered_map<std::int64_t, KnownEndpoint> endpoints_;  // by EndpointKey
  std::unordered_map<int, std::int64_t> held_units_;           // by server
  std::map<int, ProcessHistory> processes_;                    // by initiator
};

}  // namespace walnutspur::lab::invariants

#endif  // WALNUTSPUR_LAB_INVARIANTS_RUN_STATE_H_

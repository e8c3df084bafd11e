// An invariant: a promise of the platform, with a name, and a pure function that judges one event of a record
// by what the record has said before it.
#ifndef WALNUTSPUR_LAB_INVARIANTS_INVARIANT_H_
#define WALNUTSPUR_LAB_INVARIANTS_INVARIANT_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "lab/invariants/event.h"
#include "lab/invariants/run_state.h"

namespace walnutspur::lab::invariants {

// How far a record may be from a promise without a violation, us. All 0 and false: the record's times are
// those of the events themselves. Whoever makes a record states its tolerances with their reasons.
struct Tolerances {
  Time response_grace = 0;    // after a request's deadline, for its response
  Time drain_slack = 0;       // after the drain grace, for an attempt
  Time deadline_slack = 0;    // by which a stated time may exceed what a request has left
  Time disconnect_slack = 0;  // after a client has left, for an attempt
  Time kill_slack = 0;        // after a client's wait ended without a response, for the kill that explains it
  // After SIGTERM, the time in which a request still has to be answered.
  Time shutdown_service = 0;
  // Whether the drain grace counts from the last notice of an inactive server, in place of the first.
  bool last_notice_counts = false;
};

// An event of a record and what the record has said before it.
struct Observation {
  const Event& event;
  const RunState& run;
  const Tolerances& tolerances;
  const RequestState* request;  // that the event is about; nullptr: none, or not known
  const AttemptState* attempt;  // that the event is about; nullptr: none, or not known
};

// What an invariant says of a violation.
struct Finding {
  std::string description;
  RequestId request = kNoRequest;  // where it is not the event's own
};
using FindingSink = std::function<void(Finding)>;

// The records on which an invariant can be judged.
enum class Scope {
  kSimulation,  // needs what only the simulation can record
  kProcesses,   // concerns what the simulation does not model
  kAllRecords
};

// A source of records.
enum class RecordSource { kSimulation, kProcesses };

struct Invariant {
  std::string_view name;
  std::string_view promise;  // one sentence
  Scope scope = Scope::kAllRecords;
  // Calls the sink for each violation that the event shows.
  void (*check)(const Observation& observation, const FindingSink& report) = nullptr;

  bool AppliesTo(RecordSource source) const {
    return scope == Scope::kAllRecords ||
           (scope == Scope::kSimulation) == (source == RecordSource::kSimulation);
  }
};

// The body of the observed event, nullptr if it is of another type.
template <typename Body>
const Body* As(const Observation& observation) {
  return std::get_if<Body>(&observation.event.body);
}

}  // namespace walnutspur::lab::invariants

#endif  // WALNUTSPUR_LAB_INVARIANTS_INVARIANT_H_

// Defines an invariant: a named rule of the platform with a pure function that checks one event of a record
// against the events before it.
#ifndef WALNUTSPUR_LAB_INVARIANTS_INVARIANT_H_
#define WALNUTSPUR_LAB_INVARIANTS_INVARIANT_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "lab/invariants/event.h"
#include "lab/invariants/run_state.h"

namespace walnutspur::lab::invariants {

// How far the times of a record may deviate from a rule without a violation, us. All 0 and false: the times
// of the record are those of the events themselves. The source of a record defines its tolerances and their
// reasons.
struct Tolerances {
  Time response_grace = 0;    // after a request's deadline, for its response
  Time drain_slack = 0;       // after the drain grace, for an attempt
  Time deadline_slack = 0;    // by which a stated time may exceed what a request has left
  Time disconnect_slack = 0;  // after a client has disconnected, for an attempt
  Time kill_slack = 0;        // after a client's wait ended without a response, for the kill that explains it
  // Whether the drain grace starts at the last notice of an inactive server instead of the first.
  bool last_notice_counts = false;
};

// An event of a record, with the state that results from the events before it.
struct Observation {
  const Event& event;
  const RunState& run;
  const Tolerances& tolerances;
  const RequestState* request;  // that the event is about; nullptr: none, or not known
  const AttemptState* attempt;  // that the event is about; nullptr: none, or not known
};

// A violation found by an invariant.
struct Finding {
  std::string description;
  RequestId request = kNoRequest;  // if it differs from the request of the event
};
using FindingSink = std::function<void(Finding)>;

// The records on which an invariant can be checked.
enum class Scope {
  kSimulation,  // needs events that only the simulation can record
  kProcesses,   // concerns what the simulation does not model
  kAllRecords
};

// A source of records.
enum class RecordSource { kSimulation, kProcesses };

struct Invariant {
  std::string_view name;
  std::string_view promise;  // one sentence
  Scope scope = Scope::kAllRecords;
  // Calls the sink for each violation that the event reveals.
  void (*check)(const Observation& observation, const FindingSink& report) = nullptr;

  bool AppliesTo(RecordSource source) const {
    return scope == Scope::kAllRecords ||
           (scope == Scope::kSimulation) == (source == RecordSource::kSimulation);
  }
};

// Returns the body of the observed event, or nullptr if it is of another type.
template <typename Body>
const Body* As(const Observation& observation) {
  return std::get_if<Body>(&observation.event.body);
}

}  // namespace walnutspur::lab::invariants

#endif  // WALNUTSPUR_LAB_INVARIANTS_INVARIANT_H_

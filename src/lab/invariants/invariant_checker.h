// Checks a record, event by event, against all invariants that apply to its source.
//
// Its only input is the record: it shares no state with the source of the record, so that a fault in one
// cannot hide a fault in the other. tests/lab violate each invariant of the simulation on purpose. Used on
// one thread.
#ifndef WALNUTSPUR_LAB_INVARIANTS_INVARIANT_CHECKER_H_
#define WALNUTSPUR_LAB_INVARIANTS_INVARIANT_CHECKER_H_

#include <functional>
#include <string>
#include <vector>

#include "lab/invariants/event.h"
#include "lab/invariants/invariant.h"
#include "lab/invariants/run_state.h"

namespace walnutspur::lab::invariants {

// An invariant that the record violates.
struct Violation {
  std::string invariant;           // its name, of invariant_names.h
  Time at = 0;                     // of the event that shows it, us
  RequestId request = kNoRequest;  // that is concerned; kNoRequest: none
  int server = kNoServer;          // that an attempt was sent to; kNoServer: no attempt
  std::string description;         // one line
};

class InvariantChecker {
 public:
  using ViolationHandler = std::function<void(const Violation&)>;

  // `on_violation` is called from Observe, once for each finding.
  InvariantChecker(RecordSource source, const Tolerances& tolerances, ViolationHandler on_violation);

  // Checks the next event of the record.
  void Observe(const Event& event);

 private:
  Tolerances tolerances_;
  ViolationHandler on_violation_;
  std::vector<const Invariant*> invariants_;  // that apply to the source
  RunState run_;
};

}  // namespace walnutspur::lab::invariants

#endif  // WALNUTSPUR_LAB_INVARIANTS_INVARIANT_CHECKER_H_

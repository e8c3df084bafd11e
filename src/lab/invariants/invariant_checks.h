// Declares the checks of the invariants, one function each. The table in invariant_table.cpp states the rule
// of each check. Pure functions; any thread.
#ifndef WALNUTSPUR_LAB_INVARIANTS_INVARIANT_CHECKS_H_
#define WALNUTSPUR_LAB_INVARIANTS_INVARIANT_CHECKS_H_

#include "lab/invariants/invariant.h"

namespace walnutspur::lab::invariants {

// record_invariants.cpp
void CheckRecordEnd(const Observation& observation, const FindingSink& report);
void CheckRecordOrder(const Observation& observation, const FindingSink& report);
void CheckKnownRequest(const Observation& observation, const FindingSink& report);

// attempt_invariants.cpp
void CheckAttemptAfterResponse(const Observation& observation, const FindingSink& report);
void CheckAttemptAfterDisconnect(const Observation& observation, const FindingSink& report);
void CheckAttemptNumber(const Observation& observation, const FindingSink& report);
void CheckMaxAttempts(const Observation& observation, const FindingSink& report);
void CheckAttemptDeadline(const Observation& observation, const FindingSink& report);
void CheckUnsafeRetry(const Observation& observation, const FindingSink& report);
void CheckUnknownTarget(const Observation& observation, const FindingSink& report);
void CheckDrainGrace(const Observation& observation, const FindingSink& report);
void CheckWrongShard(const Observation& observation, const FindingSink& report);
void CheckOneOutcome(const Observation& observation, const FindingSink& report);
void CheckFalseNotRun(const Observation& observation, const FindingSink& report);

// response_invariants.cpp
void CheckOneResponse(const Observation& observation, const FindingSink& report);
void CheckResponseDeadline(const Observation& observation, const FindingSink& report);
void CheckFalseServed(const Observation& observation, const FindingSink& report);
void CheckFalseRejected(const Observation& observation, const FindingSink& report);
void CheckMissingResponse(const Observation& observation, const FindingSink& report);

// server_invariants.cpp
void CheckMisdelivered(const Observation& observation, const FindingSink& report);
void CheckRepeatedWork(const Observation& observation, const FindingSink& report);
void CheckUnaccountedWork(const Observation& observation, const FindingSink& report);
void CheckSlowStart(const Observation& observation, const FindingSink& report);
void CheckProcessCrash(const Observation& observation, const FindingSink& report);

}  // namespace walnutspur::lab::invariants

#endif  // WALNUTSPUR_LAB_INVARIANTS_INVARIANT_CHECKS_H_

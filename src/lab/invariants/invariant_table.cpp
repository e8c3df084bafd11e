#include "lab/invariants/invariant_table.h"

#include <array>

#include "lab/invariants/invariant_checks.h"
#include "lab/invariants/invariant_names.h"

namespace walnutspur::lab::invariants {
namespace {

constexpr std::array kInvariants = {
    Invariant{name::kRecordEnd, "Nothing follows the end of the run.", Scope::kAllRecords, CheckRecordEnd},
    Invariant{name::kRecordOrder, "Times do not decrease.", Scope::kSimulation, CheckRecordOrder},
    Invariant{name::kKnownRequest, "A request is sent once, before its attempts and its response.",
              Scope::kAllRecords, CheckKnownRequest},
    Invariant{name::kAttemptAfterResponse, "No attempt is sent once the client has its response.",
              Scope::kSimulation, CheckAttemptAfterResponse},
    Invariant{name::kAttemptAfterDisconnect, "No attempt is sent once the client has left.",
              Scope::kProcesses, CheckAttemptAfterDisconnect},
    Invariant{name::kAttemptNumber, "Attempts are numbered from 0 in the order in which they are sent.",
              Scope::kSimulation, CheckAttemptNumber},
    Invariant{name::kMaxAttempts, "A request has at most as many attempts as are allowed.",
              Scope::kSimulation, CheckMaxAttempts},
    Invariant{name::kAttemptDeadline, "An attempt states no more time than is left until the deadline.",
              Scope::kProcesses, CheckAttemptDeadline},
    Invariant{name::kUnsafeRetry, "What is not idempotent is not sent again while it may have run.",
              Scope::kAllRecords, CheckUnsafeRetry},
    Invariant{name::kUnknownTarget, "An attempt goes to a server that the initiator was notified of.",
              Scope::kSimulation, CheckUnknownTarget},
    Invariant{name::kDrainGrace, "No attempt goes to a server past the grace after the notice of its drain.",
              Scope::kAllRecords, CheckDrainGrace},
    Invariant{name::kWrongShard, "An attempt goes to a server of the request's shard.", Scope::kSimulation,
              CheckWrongShard},
    Invariant{name::kOneOutcome, "An attempt has one outcome.", Scope::kSimulation, CheckOneOutcome},
    Invariant{name::kFalseNotRun, "What is said not to have run was begun by no server.", Scope::kSimulation,
              CheckFalseNotRun},
    Invariant{name::kOneResponse, "A request has at most one response.", Scope::kAllRecords,
              CheckOneResponse},
    Invariant{name::kResponseDeadline, "A response comes by the request's deadline.", Scope::kSimulation,
              CheckResponseDeadline},
    Invariant{name::kFalseServed, "What is said to be served was completed by a server.", Scope::kSimulation,
              CheckFalseServed},
    Invariant{name::kFalseRejected, "What is rejected and not idempotent has not run.", Scope::kSimulation,
              CheckFalseRejected},
    Invariant{name::kMisdelivered, "An attempt is accepted by the server that it was sent to.",
              Scope::kSimulation, CheckMisdelivered},
    Invariant{name::kRepeatedWork, "Work on what is not idempotent begins once.", Scope::kSimulation,
              CheckRepeatedWork},
    Invariant{name::kSlowStart, "No server is overloaded while it is warming up.", Scope::kSimulation,
              CheckSlowStart},
    Invariant{name::kUnaccountedWork, "Accepted units are finished, dropped or still held at the end.",
              Scope::kSimulation, CheckUnaccountedWork},
    Invariant{name::kMissingResponse, "A request is answered while its client waits.", Scope::kAllRecords,
              CheckMissingResponse},
    Invariant{name::kProcessCrash, "A process ends by the run's signals alone.", Scope::kProcesses,
              CheckProcessCrash},
};

}  // namespace

std::span<const Invariant> AllInvariants() { return kInvariants; }

}  // namespace walnutspur::lab::invariants

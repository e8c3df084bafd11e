// Defines the names of the invariants, which the lab programs print and their tests use.
#ifndef WALNUTSPUR_LAB_INVARIANTS_INVARIANT_NAMES_H_
#define WALNUTSPUR_LAB_INVARIANTS_INVARIANT_NAMES_H_

#include <string_view>

namespace walnutspur::lab::invariants::name {

// The record itself.
inline constexpr std::string_view kRecordEnd = "record-end";
inline constexpr std::string_view kRecordOrder = "record-order";
inline constexpr std::string_view kKnownRequest = "known-request";

// Attempts.
inline constexpr std::string_view kAttemptAfterResponse = "attempt-after-response";
inline constexpr std::string_view kAttemptAfterDisconnect = "attempt-after-disconnect";
inline constexpr std::string_view kAttemptNumber = "attempt-number";
inline constexpr std::string_view kMaxAttempts = "max-attempts";
inline constexpr std::string_view kAttemptDeadline = "attempt-deadline";
inline constexpr std::string_view kUnsafeRetry = "unsafe-retry";
inline constexpr std::string_view kUnknownTarget = "unknown-target";
inline constexpr std::string_view kDrainGrace = "drain-grace";
inline constexpr std::string_view kWrongShard = "wrong-shard";
inline constexpr std::string_view kOneOutcome = "one-outcome";
inline constexpr std::string_view kFalseNotRun = "false-not-run";

// Responses.
inline constexpr std::string_view kOneResponse = "one-response";
inline constexpr std::string_view kResponseDeadline = "response-deadline";
inline constexpr std::string_view kFalseServed = "false-served";
inline constexpr std::string_view kFalseRejected = "false-rejected";
inline constexpr std::string_view kMissingResponse = "missing-response";

// Storage servers and processes.
inline constexpr std::string_view kMisdelivered = "misdelivered";
inline constexpr std::string_view kRepeatedWork = "repeated-work";
inline constexpr std::string_view kUnaccountedWork = "unaccounted-work";
inline constexpr std::string_view kSlowStart = "slow-start";
inline constexpr std::string_view kProcessCrash = "process-crash";

}  // namespace walnutspur::lab::invariants::name

#endif  // WALNUTSPUR_LAB_INVARIANTS_INVARIANT_NAMES_H_

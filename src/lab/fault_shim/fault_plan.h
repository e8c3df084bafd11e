// Parses the plan of the fault shim, which states which system calls fail, how, and when. The text comes from
// an environment variable.
//
//   PLAN = FAULT[;FAULT...]      FAULT = CALL@FROM[-UNTIL]=EFFECT[/PROBABILITY]
//
// CALL is "clock" (the wall clock) or the name of a function of the C library. FROM and UNTIL are
// milliseconds since the process started; without UNTIL the fault does not end. EFFECT is the name of an
// errno; "short" (reads and writes move one byte); "delay" with a number of milliseconds, as in "delay150";
// or, for the clock, a step in milliseconds with its sign, as in "+3600000".
//
// No I/O, clock or thread.
#ifndef WALNUTSPUR_LAB_FAULT_SHIM_FAULT_PLAN_H_
#define WALNUTSPUR_LAB_FAULT_SHIM_FAULT_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::lab {

enum class SystemFaultKind { kError, kShort, kDelay, kClockStep };

struct SystemFault {
  std::string call;
  std::int64_t from_ms = 0;
  std::int64_t until_ms = -1;  // -1: no end
  SystemFaultKind kind = SystemFaultKind::kError;
  int error = 0;               // kError: the errno
  std::int64_t amount_ms = 0;  // kDelay, kClockStep
  double probability = 1;

  bool IsActive(std::int64_t now_ms) const {
    return now_ms >= from_ms && (until_ms < 0 || now_ms < until_ms);
  }
};

// Returns the number of an errno by its name, or nullopt if the shim does not support it.
std::optional<int> ErrnoNamed(std::string_view name);

// Returns the faults of a plan, or nullopt if the text is not a valid plan.
std::optional<std::vector<SystemFault>> ParseFaultPlan(std::string_view text);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAULT_SHIM_FAULT_PLAN_H_

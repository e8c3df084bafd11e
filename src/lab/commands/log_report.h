// Prints the violations found in an event log.
#ifndef WALNUTSPUR_LAB_COMMANDS_LOG_REPORT_H_
#define WALNUTSPUR_LAB_COMMANDS_LOG_REPORT_H_

#include "lab/commands/command.h"
#include "lab/sim/log_checker.h"

namespace walnutspur::lab {

using Printable = unsigned long long;  // NOLINT(google-runtime-int): the type of printf's %llu

void PrintViolation(const sim::LogViolation& violation);

// Prints the first violation of each invariant; returns kExitViolation if there is one, otherwise kExitOk.
ExitCode ReportViolations(const sim::LogChecker& checker);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_COMMANDS_LOG_REPORT_H_

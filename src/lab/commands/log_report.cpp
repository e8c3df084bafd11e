#include "lab/commands/log_report.h"

#include <cstdio>

namespace walnutspur::lab {

using sim::FormatEntry;
using sim::LogChecker;
using sim::LogViolation;

void PrintViolation(const LogViolation& violation) {
  std::printf("broken %s: %s, by: %s", violation.invariant.c_str(), violation.description.c_str(),
              FormatEntry(violation.entry).c_str());
}

ExitCode ReportViolations(const LogChecker& checker) {
  for (const LogViolation& violation : checker.violations()) {
    PrintViolation(violation);
  }
  return checker.clean() ? kExitOk : kExitViolation;
}

}  // namespace walnutspur::lab

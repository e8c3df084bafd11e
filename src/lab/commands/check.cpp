// walnutspur-lab check: checks the invariants on an event log written by `simulate --log`.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <string>

#include "lab/commands/command.h"
#include "lab/commands/log_report.h"
#include "lab/sim/event_log.h"
#include "lab/sim/log_checker.h"

namespace walnutspur::lab {
namespace {

using sim::EventLogError;
using sim::LogChecker;
using sim::LogEntry;
using sim::ParseEntry;

ExitCode CheckLog(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw EventLogError("cannot read " + path);
  }
  LogChecker checker;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const std::optional<LogEntry> entry = ParseEntry(line);
    if (!entry) {
      throw EventLogError(path + ":" + std::to_string(number) + ": not a valid event log entry");
    }
    checker.Observe(*entry);
  }
  for (const auto& [invariant, count] : checker.counts()) {
    std::printf("%s: %llu\n", invariant.c_str(), Printable{count});
  }
  return ReportViolations(checker);
}

}  // namespace

Command DeclareCheck(CLI::App& program) {
  const auto path = std::make_shared<std::string>();
  CLI::App* const cli =
      program.add_subcommand("check", "Check the invariants on an event log, without running the simulation");
  cli->add_option("LOG", *path, "Event log written by simulate --log")->required();
  return {cli, [path] { return CheckLog(*path); }};
}

}  // namespace walnutspur::lab

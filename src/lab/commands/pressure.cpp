// walnutspur-lab pressure: runs a process with usual clients beside clients that press it, and prints its
// memory and the usual clients' waits.
#include <CLI/CLI.hpp>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>

#include "lab/commands/command.h"
#include "lab/pressure/pressure_run.h"

namespace walnutspur::lab {
namespace {

using pressure::kAllPressureKinds;
using pressure::NameOf;
using pressure::ParsePressureKind;
using pressure::PressureKind;
using pressure::PressureReport;
using pressure::PressureRunOptions;

constexpr std::size_t kBytesPerMebibyte = 1 << 20;
constexpr int kMicrosecondsPerSecond = 1'000'000;

struct PressureCommand {
  PressureRunOptions run;
  std::string kind = "partial-bodies";
  int seconds = 4;
  bool shows_log = false;
};

ExitCode RunPressureCommand(PressureCommand command) {
  command.run.kind = ParsePressureKind(command.kind).value_or(PressureKind::kPartialBodies);
  command.run.duration = Time{command.seconds} * kMicrosecondsPerSecond;
  const PressureReport report = RunPressure(command.run);
  std::printf("%s\n", Describe(command.run, report).c_str());
  if (command.shows_log) {
    std::printf("%s", report.log.c_str());
  }
  const std::size_t limit = static_cast<std::size_t>(command.run.memory_mb) * kBytesPerMebibyte;
  return report.is_running && report.peak_bytes <= limit ? kExitOk : kExitViolation;
}

}  // namespace

Command DeclarePressure(CLI::App& program) {
  const auto options = std::make_shared<PressureCommand>();
  CLI::App* const cli = program.add_subcommand(
      "pressure", "Press a process with clients and print its memory and how long other clients wait");
  std::vector<std::string> kinds;
  for (const PressureKind kind : kAllPressureKinds) {
    kinds.emplace_back(NameOf(kind));
  }
  cli->add_option("--program", options->run.program, "Path of the walnutspur program")
      ->required()
      ->check(CLI::ExistingFile);
  cli->add_option("--kind", options->kind, "What the pressing clients send")->check(CLI::IsMember(kinds));
  cli->add_option("--connections", options->run.connections,
                  "Connections that press; 0: the usual clients only")
      ->check(CLI::Range(0, 5'000));
  cli->add_option("--memory-mb", options->run.memory_mb, "memory_mb of the process");
  cli->add_option("--sockets", options->run.sockets, "Descriptors of the process");
  cli->add_option("--usual", options->run.usual_connections, "Connections of usual clients");
  cli->add_option("--body-bytes", options->run.usual_body_bytes, "Body of the usual clients' writes");
  cli->add_option("--response-bytes", options->run.response_bytes,
                  "Body of the responses to clients that press");
  cli->add_option("--seconds", options->seconds, "Duration of the pressure")->check(CLI::Range(1, 600));
  cli->add_flag("--show-log", options->shows_log, "Print the log of the process");
  return {cli, [options] { return RunPressureCommand(*options); }};
}

}  // namespace walnutspur::lab

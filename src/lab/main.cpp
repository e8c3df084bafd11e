// walnutspur-lab: runs the scheduler under faults in simulations and on real processes, checks the invariants
// on these runs, and provides fakes for manual tests. lab/commands contains the sub-commands.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <vector>

#include "lab/commands/command.h"

namespace {

using walnutspur::lab::Command;
using walnutspur::lab::kExitUsage;

std::vector<Command> DeclareCommands(CLI::App& program) {
  program.require_subcommand(1);
  program.footer(
      "Exit codes: 0 success and every invariant holds; 1 an invariant is violated or a claim is missed; 2 "
      "the command line or an experiment file is invalid, or the run could not be started.");
  return {walnutspur::lab::DeclareSimulate(program),      walnutspur::lab::DeclareExplore(program),
          walnutspur::lab::DeclareCheck(program),         walnutspur::lab::DeclareKeys(program),
          walnutspur::lab::DeclareInvariants(program),    walnutspur::lab::DeclareSoak(program),
          walnutspur::lab::DeclareStorageServer(program), walnutspur::lab::DeclareBench(program),
          walnutspur::lab::DeclarePressure(program)};
}

int RunParsed(const std::vector<Command>& commands) {
  try {
    for (const Command& command : commands) {
      if (command.subcommand->parsed()) {
        return command.run();
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "walnutspur-lab: %s\n", error.what());
  }
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App program{"walnutspur-lab: run experiments on the scheduler in virtual time and on real processes."};
  const std::vector<Command> commands = DeclareCommands(program);
  try {
    program.parse(argc, argv);
  } catch (const CLI::Success& help) {
    return program.exit(help);
  } catch (const CLI::ParseError& error) {
    std::fprintf(stderr, "walnutspur-lab: %s (see walnutspur-lab --help)\n", error.what());
    return kExitUsage;
  }
  return RunParsed(commands);
}

// walnutspur-lab invariants: prints the table of the invariants.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

#include "lab/commands/command.h"
#include "lab/invariants/invariant_table.h"

namespace walnutspur::lab {
namespace {

const char* NameOf(invariants::Scope scope) {
  switch (scope) {
    case invariants::Scope::kSimulation:
      return "simulation";
    case invariants::Scope::kProcesses:
      return "processes";
    case invariants::Scope::kAllRecords:
      return "both";
  }
  return "";
}

ExitCode PrintInvariants() {
  for (const invariants::Invariant& invariant : invariants::AllInvariants()) {
    std::printf("%-26s%-12s%s\n", std::string(invariant.name).c_str(), NameOf(invariant.scope),
                std::string(invariant.promise).c_str());
  }
  return kExitOk;
}

}  // namespace

Command DeclareInvariants(CLI::App& program) {
  const CLI::App* const cli = program.add_subcommand(
      "invariants", "Print the invariants and the kinds of runs on which each is checked");
  return {cli, PrintInvariants};
}

}  // namespace walnutspur::lab

// The sub-commands of walnutspur-lab, one file each. Each declares its options and the function to run.
#ifndef WALNUTSPUR_LAB_COMMANDS_COMMAND_H_
#define WALNUTSPUR_LAB_COMMANDS_COMMAND_H_

#include <CLI/App.hpp>
#include <functional>

namespace walnutspur::lab {

enum ExitCode : int {
  kExitOk = 0,
  kExitViolation = 1,  // an invariant is violated, or a claim of the bench is missed
  kExitUsage = 2       // the command line or a file that it names is wrong, or nothing could be started
};

// A declared sub-command.
struct Command {
  const CLI::App* subcommand = nullptr;  // owned by the program's CLI::App
  std::function<ExitCode()> run;         // may throw std::exception: kExitUsage, with what() as the reason
};

Command DeclareSimulate(CLI::App& program);
Command DeclareExplore(CLI::App& program);
Command DeclareCheck(CLI::App& program);
Command DeclareKeys(CLI::App& program);
Command DeclareInvariants(CLI::App& program);
Command DeclareSoak(CLI::App& program);
Command DeclareStorageServer(CLI::App& program);
Command DeclareBench(CLI::App& program);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_COMMANDS_COMMAND_H_

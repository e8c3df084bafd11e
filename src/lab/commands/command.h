// Declares the sub-commands of walnutspur-lab, one source file each. Each Declare function adds a sub-command
// with its options to the program and returns it with the function that runs it.
#ifndef WALNUTSPUR_LAB_COMMANDS_COMMAND_H_
#define WALNUTSPUR_LAB_COMMANDS_COMMAND_H_

#include <CLI/App.hpp>
#include <functional>

namespace walnutspur::lab {

enum ExitCode : int {
  kExitOk = 0,
  kExitViolation = 1,  // an invariant is violated, or a claim of the bench is missed
  kExitUsage = 2       // the command line or a file that it names is invalid, or the run could not start
};

// A declared sub-command.
struct Command {
  const CLI::App* subcommand = nullptr;  // owned by the program's CLI::App
  std::function<ExitCode()> run;  // may throw std::exception; main prints what() and returns kExitUsage
};

Command DeclareSimulate(CLI::App& program);
Command DeclareExplore(CLI::App& program);
Command DeclareCheck(CLI::App& program);
Command DeclareKeys(CLI::App& program);
Command DeclareInvariants(CLI::App& program);
Command DeclareSoak(CLI::App& program);
Command DeclarePressure(CLI::App& program);
Command DeclareStorageServer(CLI::App& program);
Command DeclareBench(CLI::App& program);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_COMMANDS_COMMAND_H_

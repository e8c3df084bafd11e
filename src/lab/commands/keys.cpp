// walnutspur-lab keys: prints an example experiment file with the description and default of every key.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "config/schema.h"
#include "lab/commands/command.h"
#include "lab/sim/experiment_file.h"

namespace walnutspur::lab {

using sim::ExperimentKeys;

Command DeclareKeys(CLI::App& program) {
  const CLI::App* const cli =
      program.add_subcommand("keys", "Print all keys of an experiment file with their defaults");
  return {cli, [] {
            std::fputs(config::FormatExample(ExperimentKeys()).c_str(), stdout);
            return kExitOk;
          }};
}

}  // namespace walnutspur::lab

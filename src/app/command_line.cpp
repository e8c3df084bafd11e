#include "app/command_line.h"

#include <CLI/CLI.hpp>
#include <algorithm>

namespace walnutspur::app {
namespace {

constexpr int kUsage = 2;  // exit code of a command line that cannot be understood

}  // namespace

Command ParseCommand(std::vector<std::string> arguments) {
  Command command;
  CLI::App cli{
      "walnutspur: an initiator for a shared pool of disk boxes.\n"
      "Without a command it serves, as BALANCER_CONFIG describes.\n",
      "walnutspur"};
  cli.require_subcommand(0, 1);
  cli.fallthrough();
  cli.footer(
      "Examples:\n"
      "  BALANCER_CONFIG=config.json walnutspur\n"
      "  walnutspur serve --config config.json --settings walnutspur.toml\n"
      "  walnutspur check deploy/walnutspur.toml deploy/nbd.toml\n"
      "Exit codes: 0 done, 1 it could not be done or a file is wrong, 2 the command line is wrong.");
  cli.add_option("--config", command.config, "The platform's configuration (JSON), before BALANCER_CONFIG");
  cli.add_option("--settings", command.settings, "Our own settings (TOML); see `walnutspur example`");
  cli.add_option("--nbd", command.options.nbd, "Open the NBD front that this file (TOML) describes");
  cli.add_option("--record", command.options.record, "Write what the fronts receive and send to this pcap");
  cli.add_option("--replay", command.options.replay,
                 "Play the clients' side of this pcap to the fronts, then end");
  cli.add_subcommand("serve", "Serve until SIGTERM (this is what happens without a command)");
  CLI::App* check = cli.add_subcommand("check", "Say all that is wrong with settings' files, a line each");
  check->add_option("FILE", command.files, "JSON of the platform, TOML of the NBD front, or our settings")
      ->required();
  CLI::App* example = cli.add_subcommand("example", "Print our settings with their defaults, commented");
  CLI::App* version = cli.add_subcommand("version", "Print the version");
  try {
    std::reverse(arguments.begin(), arguments.end());  // as the library wants a vector
    cli.parse(std::move(arguments));
  } catch (const CLI::Success&) {  // --help, of the program or of a command
    const auto chosen = cli.get_subcommands();
    command.action = Action::kSaid;
    command.said = chosen.empty() ? cli.help() : chosen.front()->help();
    return command;
  } catch (const CLI::ParseError& error) {
    command.action = Action::kSaid;
    command.said = std::string("walnutspur: ") + error.what() + " (see walnutspur --help)\n";
    command.code = kUsage;
    return command;
  }
  if (check->parsed()) command.action = Action::kCheck;
  if (example->parsed()) command.action = Action::kExample;
  if (version->parsed()) command.action = Action::kVersion;
  return command;
}

}  // namespace walnutspur::app

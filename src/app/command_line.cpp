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
      "  walnutspur integrity format 127.0.0.1:10810 clinic-calendar\n"
      "  walnutspur integrity status /var/lib/walnutspur\n"
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
  CLI::App* integrity = cli.add_subcommand(
      "integrity", "Checksummed exports, offline or of a running process, and the damage ledger");
  integrity->require_subcommand(1);
  const auto on_export = [&](const char* name, const char* what) {
    CLI::App* sub = integrity->add_subcommand(name, what);
    sub->add_option("ADDRESS", command.integrity.address, "Where the box speaks NBD: 127.0.0.1:10810")
        ->required();
    sub->add_option("EXPORT", command.integrity.remote, "The export's name at the box")->required();
    return sub;
  };
  CLI::App* format = on_export("format", "Lay out tags and journal; the export's data is lost");
  format->add_option("--journal", command.integrity.journal, "Bytes of the journal")
      ->check(CLI::Range(std::uint64_t{4} << 20, std::uint64_t{1} << 30))
      ->capture_default_str();
  format->add_flag("--force", command.integrity.force, "Even if it is formatted already");
  CLI::App* super = on_export("show", "Print the superblock");
  CLI::App* verify =
      on_export("verify", "Read every block and hold it against its tag; exit code 1 if one is damaged");
  CLI::App* ledger = integrity->add_subcommand("ledger", "Print the damage ledger of a folder");
  ledger->add_option("FOLDER", command.integrity.folder, "The settings' integrity.folder")->required();
  CLI::App* ask = integrity->add_subcommand("status", "What a running process knows, as JSON");
  ask->add_option("FOLDER", command.integrity.folder, "The process's integrity.folder")->required();
  CLI::App* scrub = integrity->add_subcommand("scrub", "Tell a running process's scrub something");
  scrub->add_option("FOLDER", command.integrity.folder, "The process's integrity.folder")->required();
  scrub->add_option("WORDS", command.integrity.words, "pause, resume, or recheck EXPORT BLOCK")->required();
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
  if (format->parsed()) command.action = Action::kFormat;
  if (super->parsed()) command.action = Action::kSuper;
  if (verify->parsed()) command.action = Action::kVerify;
  if (ask->parsed()) command.integrity.words = {"status"};
  if (ask->parsed() || scrub->parsed()) command.action = Action::kAsk;
  if (ledger->parsed()) command.action = Action::kLedger;
  return command;
}

}  // namespace walnutspur::app

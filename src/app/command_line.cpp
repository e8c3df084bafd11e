#include "app/command_line.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <utility>

namespace walnutspur::app {
namespace {

constexpr int kUsageExitCode = 2;
constexpr std::uint64_t kMinJournalBytes = std::uint64_t{4} << 20;
constexpr std::uint64_t kMaxJournalBytes = std::uint64_t{1} << 30;

constexpr const char* kDescription =
    "walnutspur: an initiator for a shared pool of storage targets.\n"
    "Without a command, it serves clients with the configuration file that BALANCER_CONFIG names.\n";

constexpr const char* kFooter =
    "Examples:\n"
    "  BALANCER_CONFIG=config.json walnutspur\n"
    "  walnutspur serve --config config.json --settings walnutspur.toml\n"
    "  walnutspur check deploy/walnutspur.toml deploy/nbd.toml\n"
    "  walnutspur integrity format 127.0.0.1:10810 clinic-calendar\n"
    "  walnutspur integrity status /var/lib/walnutspur\n"
    "Exit codes: 0 success; 1 failure, invalid file or corruption found; 2 invalid command line.";

// Defines the grammar of the command line and parses arguments into a Command.
class Parser {
 public:
  Parser() {
    cli_.require_subcommand(0, 1);
    cli_.fallthrough();
    cli_.footer(kFooter);
    AddServe();
    AddTools();
    AddIntegrity();
  }

  Command Parse(std::vector<std::string> arguments) {
    try {
      std::reverse(arguments.begin(), arguments.end());  // the library expects the last argument first
      cli_.parse(std::move(arguments));
    } catch (const CLI::Success&) {  // --help, of the program or of a command
      const auto chosen = cli_.get_subcommands();
      command_.message = chosen.empty() ? cli_.help() : chosen.front()->help();
      command_.action = Action::kPrintMessage;
      return command_;
    } catch (const CLI::ParseError& error) {
      command_.message = std::string("walnutspur: ") + error.what() + " (see walnutspur --help)\n";
      command_.action = Action::kPrintMessage;
      command_.exit_code = kUsageExitCode;
      return command_;
    }
    ChooseAction();
    return command_;
  }

 private:
  // A command of the program and the action that it selects.
  struct Subcommand {
    const CLI::App* app;
    Action action;
  };

  CLI::App* Add(CLI::App* parent, const std::string& name, const std::string& description, Action action) {
    CLI::App* app = parent->add_subcommand(name, description);
    subcommands_.push_back({app, action});
    return app;
  }

  void AddServe() {
    cli_.add_option("--config", command_.config,
                    "Platform configuration file (JSON); overrides BALANCER_CONFIG");
    cli_.add_option("--settings", command_.settings,
                    "Settings file of walnutspur (TOML); see `walnutspur example`");
    cli_.add_option("--nbd", command_.options.nbd, "Open the NBD front end that this file (TOML) configures");
    cli_.add_option("--record", command_.options.record,
                    "Record the traffic of all clients to this pcap file");
    cli_.add_option("--replay", command_.options.replay,
                    "Replay the client side of this pcap file to the front ends, then exit");
    Add(&cli_, "serve", "Serve clients until SIGTERM (the default without a command)", Action::kServe);
  }

  void AddTools() {
    CLI::App* check =
        Add(&cli_, "check", "Check configuration and settings files and print every error, one per line",
            Action::kCheck);
    check
        ->add_option(
            "FILE", command_.files,
            "Platform configuration (JSON), NBD front end configuration (TOML) or settings file (TOML)")
        ->required();
    Add(&cli_, "example", "Print a commented settings file with all keys and their defaults",
        Action::kExample);
    Add(&cli_, "version", "Print the version", Action::kVersion);
  }

  void AddIntegrity() {
    CLI::App* integrity = cli_.add_subcommand(
        "integrity",
        "Manage checksummed exports, offline or in a running process, and print the corruption log");
    integrity->require_subcommand(1);
    CLI::App* format = AddOnExport(
        integrity, "format", "Write the tags and journal of an export; erases its data", Action::kFormat);
    format->add_option("--journal", command_.integrity.journal_bytes, "Size of the journal in bytes")
        ->check(CLI::Range(kMinJournalBytes, kMaxJournalBytes))
        ->capture_default_str();
    format->add_flag("--force", command_.integrity.force,
                     "Format the export even if it is already formatted");
    AddOnExport(integrity, "show", "Print the superblock of an export", Action::kShowSuperblock);
    AddOnExport(integrity, "verify",
                "Read every block of an export and compare it with its tag; exit with 1 if one is corrupted",
                Action::kVerify);
    AddOnFolder(integrity, "ledger",
                "Print the corruption log of a folder; exit with 1 if it lists corrupted blocks",
                "Folder that integrity.folder names in the settings file", Action::kShowCorruptionLog);
    status_ = AddOnFolder(integrity, "status", "Print the status of a running process as JSON",
                          "Folder that integrity.folder names in the process's settings file",
                          Action::kSendCommand);
    CLI::App* scrub = AddOnFolder(
        integrity, "scrub", "Pause, resume or direct the scrub of a running process",
        "Folder that integrity.folder names in the process's settings file", Action::kSendCommand);
    scrub
        ->add_option("WORDS", command_.integrity.words,
                     "Command for the scrub: pause, resume or recheck EXPORT BLOCK")
        ->required();
  }

  CLI::App* AddOnExport(CLI::App* parent, const std::string& name, const std::string& description,
                        Action action) {
    CLI::App* app = Add(parent, name, description, action);
    app->add_option("ADDRESS", command_.integrity.address,
                    "Address of the target's NBD listener, for example 127.0.0.1:10810")
        ->required();
    app->add_option("EXPORT", command_.integrity.export_name, "Name of the export at the target")->required();
    return app;
  }

  CLI::App* AddOnFolder(CLI::App* parent, const std::string& name, const std::string& description,
                        const std::string& folder_description, Action action) {
    CLI::App* app = Add(parent, name, description, action);
    app->add_option("FOLDER", command_.integrity.folder, folder_description)->required();
    return app;
  }

  void ChooseAction() {
    for (const Subcommand& subcommand : subcommands_) {
      if (subcommand.app->parsed()) {
        command_.action = subcommand.action;
      }
    }
    if (status_->parsed()) {
      command_.integrity.words = {"status"};
    }
  }

  CLI::App cli_{kDescription, "walnutspur"};
  Command command_;
  std::vector<Subcommand> subcommands_;
  const CLI::App* status_ = nullptr;  // `integrity status`
};

}  // namespace

Command ParseCommand(std::vector<std::string> arguments) { return Parser().Parse(std::move(arguments)); }

}  // namespace walnutspur::app

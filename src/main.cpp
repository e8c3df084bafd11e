// walnutspur: runs one initiator as the platform's configuration describes it, or executes a command for
// operators.
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "app/command_line.h"
#include "app/errors.h"
#include "app/initiator.h"
#include "app/platform.h"
#include "app/process_signals.h"
#include "app/settings.h"

namespace {

using walnutspur::app::Action;
using walnutspur::app::Command;

// Returns the path of the platform's configuration.
std::string ConfigPath(const Command& command) {
  if (!command.config.empty()) {
    return command.config;
  }
  const char* path = std::getenv("BALANCER_CONFIG");
  if (path == nullptr) {
    throw walnutspur::app::ConfigError("no configuration file is given: set BALANCER_CONFIG or use --config");
  }
  return path;
}

void Serve(const Command& command) {
  walnutspur::app::ProcessSignals::BlockReload();
  const std::string path = ConfigPath(command);
  walnutspur::app::Options options = command.options;
  std::optional<walnutspur::log::Logger> logger;
  walnutspur::http::Config config = walnutspur::app::LoadConfig(path);
  if (!command.settings.empty()) {
    const auto settings = walnutspur::app::LoadSettings(command.settings);
    logger.emplace(settings.log);
    walnutspur::log::SetProcessLogger(&*logger);
    config.digests = settings.digests;
    options.folder = settings.folder;
    options.scrub = settings.scrub;
    options.fleet = settings.fleet;
    if (options.nbd.empty()) {
      options.nbd = settings.nbd;
    }
  }
  walnutspur::app::Initiator initiator(std::move(config), options);
  initiator.EnableReload([path] { return walnutspur::app::LoadConfig(path); });
  initiator.Run();
}

// Prints the problems of all files. Returns the exit code.
int Check(const std::vector<std::string>& files) {
  int exit_code = 0;
  for (const std::string& file : files) {
    for (const std::string& line : walnutspur::app::CheckFile(file)) {
      std::fprintf(stderr, "%s\n", line.c_str());
      exit_code = 1;
    }
  }
  return exit_code;
}

int PrintMessage(const Command& command) {
  std::fputs(command.message.c_str(), command.exit_code == 0 ? stdout : stderr);
  return command.exit_code;
}

// Performs a command. Returns the exit code.
int Execute(const Command& command) {
  switch (command.action) {
    case Action::kServe:
      Serve(command);
      return 0;
    case Action::kCheck:
      return Check(command.files);
    case Action::kExample:
      std::fputs(walnutspur::config::FormatExample(walnutspur::app::SettingsKeys()).c_str(), stdout);
      return 0;
    case Action::kVersion:
      std::puts("walnutspur " WALNUTSPUR_VERSION);
      return 0;
    case Action::kFormat:
      return walnutspur::app::Format(command.integrity, stdout);
    case Action::kShowSuperblock:
      return walnutspur::app::ShowSuperblock(command.integrity, stdout);
    case Action::kVerify:
      return walnutspur::app::Verify(command.integrity, stdout);
    case Action::kSendCommand:
      return walnutspur::app::SendCommand(command.integrity, stdout);
    case Action::kShowCorruptionLog:
      return walnutspur::app::ShowCorruptionLog(command.integrity, stdout);
    case Action::kPrintMessage:
      return PrintMessage(command);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Execute(walnutspur::app::ParseCommand({argv + 1, argv + argc}));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "walnutspur: %s\n", error.what());
    return 1;
  }
}

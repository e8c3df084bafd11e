// walnutspur: one real initiator, as the platform's configuration describes it, and tools around it.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <stdexcept>
#include <utility>

#include "app/command_line.h"
#include "app/initiator.h"
#include "app/platform.h"
#include "app/settings.h"

namespace {

using walnutspur::app::Action;
using walnutspur::app::Command;

void Serve(const Command& command) {
  // Blocked until it can be handled: a SIGHUP that comes during the start must not end the program.
  sigset_t hangup;
  sigemptyset(&hangup);
  sigaddset(&hangup, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &hangup, nullptr);
  const char* named = std::getenv("BALANCER_CONFIG");
  if (command.config.empty() && !named) throw std::runtime_error("BALANCER_CONFIG names no file");
  const std::string path = command.config.empty() ? named : command.config;
  walnutspur::app::Options options = command.options;
  std::optional<walnutspur::log::Logger> logger;
  walnutspur::http::Config config = walnutspur::app::LoadConfig(path);
  if (!command.settings.empty()) {
    const auto settings = walnutspur::app::LoadSettings(command.settings);
    logger.emplace(settings.log);
    walnutspur::log::Use(&*logger);
    config.digests = settings.digests;
    options.folder = settings.folder;
    options.scrub = settings.scrub;
    options.fleet = settings.fleet;
    if (options.nbd.empty()) options.nbd = settings.nbd;
  }
  walnutspur::app::Initiator initiator(std::move(config), options);
  initiator.ReloadBy([path] { return walnutspur::app::LoadConfig(path); });
  initiator.Run();
}

int Check(const std::vector<std::string>& files) {
  int wrong = 0;
  for (const std::string& file : files) {
    for (const std::string& line : walnutspur::app::CheckFile(file)) {
      std::fprintf(stderr, "%s\n", line.c_str());
      wrong = 1;
    }
  }
  return wrong;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const Command command = walnutspur::app::ParseCommand({argv + 1, argv + argc});
    switch (command.action) {
      case Action::kServe:
        Serve(command);
        return 0;
      case Action::kCheck:
        return Check(command.files);
      case Action::kExample:
        std::fputs(walnutspur::config::Example(walnutspur::app::SettingsKeys()).c_str(), stdout);
        return 0;
      case Action::kVersion:
        std::puts("walnutspur " WALNUTSPUR_VERSION);
        return 0;
      case Action::kFormat:
        return walnutspur::app::Format(command.integrity, stdout);
      case Action::kSuper:
        return walnutspur::app::ShowSuperblock(command.integrity, stdout);
      case Action::kVerify:
        return walnutspur::app::Verify(command.integrity, stdout);
      case Action::kAsk:
        return walnutspur::app::AskProcess(command.integrity, stdout);
      case Action::kLedger:
        return walnutspur::app::ShowLedger(command.integrity, stdout);
      case Action::kSaid:
        std::fputs(command.said.c_str(), command.code == 0 ? stdout : stderr);
        return command.code;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "walnutspur: %s\n", error.what());
    return 1;
  }
}

// walnutspur-lab storage-server: the storage server stand-in as a program, until SIGTERM or SIGINT. SIGUSR2
// is a power cut: writes that were not flushed are lost at random, and the process exits at once.
#include "lab/storage_server/storage_server.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "lab/commands/command.h"

namespace walnutspur::lab {
namespace {

constexpr int kPowerCutSignal = SIGUSR2;

// The command line.
struct StorageServerArguments {
  StorageServerOptions options;
  std::string damage;  // a kind's name; empty: no fault
  Fault fault;
};

void AddServerOptions(CLI::App& cli, StorageServerOptions& options) {
  cli.add_option("--export", options.export_name, "The export's name")->capture_default_str();
  cli.add_option("--size", options.size, "Its size in bytes")->capture_default_str();
  cli.add_option("--seed", options.seed, "Of all chance")->capture_default_str();
  cli.add_option("--paths", options.paths, "NBD listeners")->check(CLI::Range(1, 64))->capture_default_str();
  cli.add_flag("--http", options.http, "One more listener, which speaks HTTP");
  cli.add_option("--file", options.file,
                 "The disk's bytes lie in it, and stay there however the process ends");
  cli.add_option("--delay-us", options.delay, "Before each answer")->capture_default_str();
  cli.add_option("--host", options.host, "The address to listen at")->capture_default_str();
  cli.add_option("--port", options.first_port, "Of the first listener, the others follow; 0: free ones")
      ->check(CLI::Range(0, 65000))
      ->capture_default_str();
}

void AddFaultOptions(CLI::App& cli, StorageServerArguments& arguments) {
  std::vector<std::string> names;
  names.reserve(kAllCorruptionKinds.size());
  for (const auto damage : kAllCorruptionKinds) {
    names.emplace_back(NameOf(damage));
  }
  Fault& fault = arguments.fault;
  cli.add_option("--damage", arguments.damage,
                 "What to damage: flip-path, flip-rest, lost, astray, stale or torn")
      ->check(CLI::IsMember(names));
  cli.add_option("--from", fault.from, "The first byte that the damage is about");
  cli.add_option("--to", fault.to, "And the one after the last");
  cli.add_option("--elsewhere", fault.elsewhere, "astray: where the write lands");
  cli.add_option("--path", fault.path, "flip-path, stale: of one listener only");
  cli.add_option("--times", fault.times, "How often; -1: for good")->capture_default_str();
}

// Blocks the signals that end the program, in the threads started later as well. They are then taken by
// sigwait.
sigset_t BlockExitSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, kPowerCutSignal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void InjectFault(StorageServer& server, const StorageServerArguments& arguments) {
  for (const auto damage : kAllCorruptionKinds) {
    if (arguments.damage == NameOf(damage)) {
      Fault fault = arguments.fault;
      fault.kind = damage;
      server.AddFault(fault);
    }
  }
}

void PrintAddresses(const StorageServer& server, const StorageServerOptions& options) {
  for (int path = 0; path < options.paths; ++path) {
    std::printf("nbd %s:%d\n", options.host.c_str(), server.port(path));
  }
  if (options.http) {
    std::printf("http %s:%d\n", options.host.c_str(), server.http_port());
  }
  std::fflush(stdout);
}

ExitCode Serve(const StorageServerArguments& arguments) {
  const sigset_t signals = BlockExitSignals();
  std::signal(SIGPIPE, SIG_IGN);
  StorageServer server(arguments.options);
  InjectFault(server, arguments);
  server.Start();
  PrintAddresses(server, arguments.options);
  int signal = 0;
  sigwait(&signals, &signal);
  if (signal == kPowerCutSignal) {
    server.WithDevice([](BlockDevice& device) {
      device.Crash();
      _exit(kExitOk);  // with the device held, so that no later command reaches it
    });
  }
  return kExitOk;
}

}  // namespace

Command DeclareStorageServer(CLI::App& program) {
  const auto arguments = std::make_shared<StorageServerArguments>();
  CLI::App* const cli = program.add_subcommand(
      "storage-server", "A storage server that keeps bytes, speaks NBD and HTTP, and damages on demand");
  AddServerOptions(*cli, arguments->options);
  AddFaultOptions(*cli, *arguments);
  return {cli, [arguments] { return Serve(*arguments); }};
}

}  // namespace walnutspur::lab

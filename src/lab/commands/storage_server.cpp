// walnutspur-lab storage-server: runs the fake storage server until SIGTERM or SIGINT. SIGUSR2 simulates a
// power cut: a random part of the writes that were not flushed is lost, and the process exits immediately.
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

// Parsed command-line arguments.
struct StorageServerArguments {
  StorageServerOptions options;
  std::string damage;  // name of the kind; empty: injects no fault
  Fault fault;
};

void AddServerOptions(CLI::App& cli, StorageServerOptions& options) {
  cli.add_option("--export", options.export_name, "Name of the export")->capture_default_str();
  cli.add_option("--size", options.size, "Size of the export in bytes")->capture_default_str();
  cli.add_option("--seed", options.seed, "Seed of all random draws")->capture_default_str();
  cli.add_option("--paths", options.paths, "Number of NBD listeners")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  cli.add_flag("--http", options.http, "Add an HTTP listener");
  cli.add_option("--file", options.file,
                 "Store the data in this file, where it persists after the process exits or is killed");
  cli.add_option("--delay-us", options.delay, "Delay before each response, in microseconds")
      ->capture_default_str();
  cli.add_option("--host", options.host, "Address to listen on")->capture_default_str();
  cli.add_option("--port", options.first_port,
                 "Port of the first listener; the others use the following ports; 0: free ports")
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
                 "Kind of corruption to inject: flip-path, flip-rest, lost, astray, stale or torn")
      ->check(CLI::IsMember(names));
  cli.add_option("--from", fault.from, "First byte of the affected range");
  cli.add_option("--to", fault.to, "End of the affected range (exclusive)");
  cli.add_option("--elsewhere", fault.elsewhere, "For astray: the offset to which the write goes instead");
  cli.add_option("--path", fault.path, "For flip-path and stale: the only listener that is affected");
  cli.add_option("--times", fault.times, "Number of times to inject the fault; -1: unlimited")
      ->capture_default_str();
}

// Blocks the signals that stop the program, also for threads started later, so that sigwait receives them.
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
      _exit(kExitOk);  // while the device is locked, so that no later command reaches it
    });
  }
  return kExitOk;
}

}  // namespace

Command DeclareStorageServer(CLI::App& program) {
  const auto arguments = std::make_shared<StorageServerArguments>();
  CLI::App* const cli = program.add_subcommand(
      "storage-server", "Run a fake storage server over NBD and HTTP that can corrupt data on demand");
  AddServerOptions(*cli, arguments->options);
  AddFaultOptions(*cli, *arguments);
  return {cli, [arguments] { return Serve(*arguments); }};
}

}  // namespace walnutspur::lab

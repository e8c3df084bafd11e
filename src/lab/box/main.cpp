// walnutspur_box: a storage box as a program of its own, until SIGTERM. SIGUSR2 is a power cut: what was
// not flushed is lost by chance, and the process ends on the spot.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include "lab/box/box.h"

int main(int argc, char** argv) {
  using namespace walnutspur::lab;
  CLI::App cli{"walnutspur_box: a storage box that keeps bytes, speaks NBD and HTTP, and damages on demand."};
  BoxOptions options;
  std::string damage;
  Fault fault;
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
  cli.add_option("--damage", damage, "What to damage: flip-path, flip-rest, lost, astray, stale or torn")
      ->check(CLI::IsMember({"flip-path", "flip-rest", "lost", "astray", "stale", "torn"}));
  cli.add_option("--from", fault.from, "The first byte that the damage is about");
  cli.add_option("--to", fault.to, "And the one after the last");
  cli.add_option("--elsewhere", fault.elsewhere, "astray: where the write lands");
  cli.add_option("--path", fault.path, "flip-path, stale: of one listener only");
  cli.add_option("--times", fault.times, "How often; -1: for good")->capture_default_str();
  CLI11_PARSE(cli, argc, argv);
  try {
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    sigaddset(&ends, SIGUSR2);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    Box box(options);
    for (const Damage kind : {Damage::kFlipPath, Damage::kFlipRest, Damage::kLost, Damage::kAstray,
                              Damage::kStale, Damage::kTorn}) {
      if (damage != NameOf(kind)) {
        continue;
      }
      fault.damage = kind;
      box.Add(fault);
    }
    box.Start();
    for (int path = 0; path < options.paths; ++path) {
      std::printf("nbd %s:%d\n", options.host.c_str(), box.port(path));
    }
    if (options.http) {
      std::printf("http %s:%d\n", options.host.c_str(), box.http_port());
    }
    std::fflush(stdout);
    int signal = 0;
    sigwait(&ends, &signal);
    if (signal == SIGUSR2) {
      box.WithDisk([](Disk& disk) {
        disk.Crash();
        _exit(0);
      });
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "walnutspur_box: %s\n", error.what());
    return 1;
  }
}

// walnutspur: one real initiator, as $BALANCER_CONFIG describes it.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "app/initiator.h"
#include "app/platform.h"

int main(int argc, char** argv) {
  try {
    // Blocked until it can be handled: a SIGHUP that comes during the start must not end the program.
    sigset_t hangup;
    sigemptyset(&hangup);
    sigaddset(&hangup, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &hangup, nullptr);
    const char* path = std::getenv("BALANCER_CONFIG");
    if (!path) throw std::runtime_error("BALANCER_CONFIG names no file");
    const auto options = walnutspur::app::ParseOptions({argv + 1, argv + argc});
    walnutspur::app::Initiator initiator(walnutspur::app::LoadConfig(path), options);
    initiator.ReloadBy([path] { return walnutspur::app::LoadConfig(path); });
    initiator.Run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "walnutspur: %s\n", error.what());
    return 1;
  }
}

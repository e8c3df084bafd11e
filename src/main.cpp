// walnutspur: one real initiator, as $BALANCER_CONFIG describes it.
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "net/initiator.h"

int main() {
  try {
    const char* path = std::getenv("BALANCER_CONFIG");
    if (!path) throw std::runtime_error("BALANCER_CONFIG names no file");
    walnutspur::net::Initiator initiator(walnutspur::net::LoadConfig(path));
    initiator.Run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "walnutspur: %s\n", error.what());
    return 1;
  }
}

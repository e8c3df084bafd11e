// walnutspur_simulator_adapter: plays the bench's wire on standard input and output to instances of the
// module.
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "simulator/wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  walnutspur::wire::Host host;
  std::string line;
  std::string reply;
  long number = 0;
  while (std::getline(std::cin, line)) {
    ++number;
    if (line.empty()) continue;
    try {
      if (host.Line(line, &reply)) std::cout << reply << std::flush;
    } catch (const std::exception& error) {
      std::cerr << "walnutspur_simulator_adapter: line " << number << ": " << error.what() << '\n';
      return 1;
    }
  }
  if (host.InBatch()) {
    std::cerr << "walnutspur_simulator_adapter: input ended inside a batch\n";
    return 1;
  }
  return 0;
}

// walnutspur_simulator_adapter: runs instances of the Scheduler for the simulator, over standard input and
// output.
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  walnutspur::simulator::Adapter adapter;
  std::string line;
  std::string reply;
  std::uint64_t line_number = 0;
  while (std::getline(std::cin, line)) {
    ++line_number;
    if (line.empty()) {
      continue;
    }
    try {
      if (adapter.HandleLine(line, &reply)) {
        std::cout << reply << std::flush;
      }
    } catch (const std::exception& error) {
      std::cerr << "walnutspur_simulator_adapter: line " << line_number << ": " << error.what() << '\n';
      return 1;
    }
  }
  if (adapter.in_batch()) {
    std::cerr << "walnutspur_simulator_adapter: standard input ended inside a batch\n";
    return 1;
  }
  return 0;
}

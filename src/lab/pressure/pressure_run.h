// Runs one initiator process with usual clients, and beside them clients that press it, and reports the
// memory of the process and how long the usual clients waited.
//
// Blocks while it runs; used by the lab's command and by tests.
#ifndef WALNUTSPUR_LAB_PRESSURE_PRESSURE_RUN_H_
#define WALNUTSPUR_LAB_PRESSURE_PRESSURE_RUN_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "lab/pressure/pressure_client.h"
#include "walnutspur/types.h"

namespace walnutspur::lab::pressure {

struct PressureRunOptions {
  std::string program;  // path of the walnutspur program
  PressureKind kind = PressureKind::kPartialBodies;
  int connections = 0;  // that press; 0: the usual clients only
  int memory_mb = 192;
  int sockets = 1024;
  int usual_connections = 8;
  std::size_t usual_body_bytes = 4;  // of the usual clients' writes
  std::size_t response_bytes = 0;    // to clients that press; 0: a short text
  Time duration = 4'000'000;         // us of pressure
};

// How the usual clients' requests ended that were sent while the others pressed.
struct UsualRequests {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t rejected = 0;
  std::size_t other = 0;  // failed, without a response, or never accepted
  Time median_wait = 0;   // us, of those that were served
  Time p99_wait = 0;
  Time longest_wait = 0;
};

struct PressureReport {
  UsualRequests usual;
  std::size_t peak_bytes = 0;  // resident memory of the process
  bool is_running = false;     // the process still runs at the end
  // Requests of the clients that press.
  std::size_t late_attempts = 0;  // began more than 0.1 s after all of these clients had left
  std::size_t repeated_ids = 0;   // ids that reached a target more than once
  std::uint64_t connects = 0;     // of the clients that press
  std::uint64_t bytes_written = 0;
  std::uint64_t bytes_read = 0;
  std::string log;  // of the process
};

PressureReport RunPressure(const PressureRunOptions& options);

// Returns one line of text.
std::string Describe(const PressureRunOptions& options, const PressureReport& report);

}  // namespace walnutspur::lab::pressure

#endif  // WALNUTSPUR_LAB_PRESSURE_PRESSURE_RUN_H_

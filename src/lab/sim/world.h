// A fleet of initiators, their boxes and clients in virtual time, in one thread: the real core::Engine with
// its decisions round a modelled network. Same experiment, same seed and same build: the same event log to
// the byte.
//
// What is modelled: slots, queues and full answers, speeds that differ, pauses, cold starts and toppling
// over, messages that take their time, overtake each other or break their connection, zones that are cut off,
// clocks that drift, a list that is late and differently so for each initiator, and the faults of the
// experiment. What is not: connections and their cost, caches, writes put off, meters.
#ifndef WALNUTSPUR_LAB_SIM_WORLD_H_
#define WALNUTSPUR_LAB_SIM_WORLD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/engine.h"
#include "lab/experiment.h"
#include "lab/sim/log.h"

namespace walnutspur::lab {

struct Second {                // of the run, by when requests were asked
  double due = 0, earned = 0;  // worth
  std::uint64_t asked = 0, served = 0, late = 0, refused = 0, failed = 0, timed_out = 0;
};

struct Outcomes {
  std::vector<Second> seconds;
  std::vector<float> latencies;  // ms of what was served, in the order of answers
  std::uint64_t requests = 0, attempts = 0, events = 0;
  std::uint64_t wasted = 0;  // thousandths of a unit that boxes ran for nobody
  std::uint64_t done = 0;    // and that they ran in all
  std::uint64_t toppled = 0;
  double service() const;                // worth in time (and late, as far as it counts) over worth due
  double worst(int seconds) const;       // of the worst so many seconds in a row
  double percentile(double part) const;  // ms
};

// What tests break on purpose: each may change what an engine or a box does before it happens.
struct Meddling {
  // Called with what the engine of an initiator wants; may add to it, change or clear it.
  std::function<void(int initiator, Time now, std::vector<core::Output>* outputs)> outputs;
  // In place of the policy's own decisions.
  std::function<core::DecisionFunction(core::DecisionFunction)> decide;
  // May change an entry, or drop it by returning false, before it is logged.
  std::function<bool(Entry* entry)> entry;
};

class World {
 public:
  World(const Experiment& experiment, Log* log, Meddling meddling = {});
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Plays it to the end, and on until every request has its answer. `progress`, if any, hears the part done.
  Outcomes Run(const std::function<void(double)>& progress = {});

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_SIM_WORLD_H_

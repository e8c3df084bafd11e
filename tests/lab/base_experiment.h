// The small experiment that the tests of the simulator use as a base.
#ifndef WALNUTSPUR_TESTS_LAB_BASE_EXPERIMENT_H_
#define WALNUTSPUR_TESTS_LAB_BASE_EXPERIMENT_H_

#include "lab/sim/experiment.h"
#include "lab/sim/experiment_file.h"

namespace walnutspur::lab::sim {

// Returns an experiment with 4 s of the default load on 4 initiators and 6 storage servers.
inline Experiment BaseExperiment() {
  return ParseExperiment(
      "length_s = 4.0\n[fleet]\ninitiators = 4\n[boxes]\ncount = 6\nunit_ms = 16.0\n[rules]\nwarm_up_s = "
      "2.0\n",
      "base");
}

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_TESTS_LAB_BASE_EXPERIMENT_H_

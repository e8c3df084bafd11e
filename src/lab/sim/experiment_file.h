// Experiments as TOML files. Every key has a range and a default; a file with an unknown key, a value out of
// range or a contradiction is rejected with file, line and key, before anything is started.
#ifndef WALNUTSPUR_LAB_SIM_EXPERIMENT_FILE_H_
#define WALNUTSPUR_LAB_SIM_EXPERIMENT_FILE_H_

#include <string>
#include <vector>

#include "config/schema.h"
#include "lab/sim/experiment.h"

namespace walnutspur::lab::sim {

// All keys of an experiment file, in the order of its documentation.
const std::vector<config::Key>& ExperimentKeys();

// Parses the text of a file; `file` is its name in errors. Throws ExperimentError with the first problem as
// one line: file, line, key, what is wrong, what is allowed.
Experiment ParseExperiment(const std::string& text, const std::string& file);
// Reads and parses a file. Throws ExperimentError.
Experiment LoadExperiment(const std::string& path);
// The text of a file that ParseExperiment parses to the same experiment.
std::string FormatExperiment(const Experiment& experiment);

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_EXPERIMENT_FILE_H_

// Reads and writes experiments as TOML files. Every key has a range and most have a default. A file with an
// unknown key, a value out of range or inconsistent values is rejected before a run starts, with an error
// that names the file, line and key.
#ifndef WALNUTSPUR_LAB_SIM_EXPERIMENT_FILE_H_
#define WALNUTSPUR_LAB_SIM_EXPERIMENT_FILE_H_

#include <string>
#include <vector>

#include "config/schema.h"
#include "lab/sim/experiment.h"

namespace walnutspur::lab::sim {

// Returns all keys of an experiment file, in the order in which they are documented.
const std::vector<config::Key>& ExperimentKeys();

// Parses the text of a file; `file` is its name in errors. Throws ExperimentError with a one-line message
// for the first error: file, line, key, the error and the allowed values.
Experiment ParseExperiment(const std::string& text, const std::string& file);
// Reads and parses a file. Throws ExperimentError.
Experiment LoadExperiment(const std::string& path);
// Returns the text of a file that ParseExperiment parses to the same experiment.
std::string FormatExperiment(const Experiment& experiment);

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_EXPERIMENT_FILE_H_

// Writes what is known of a run that violated an invariant to a folder: the plan, the violations, the record,
// the load of the machine and the logs of the processes.
//
// Stateless; any thread.
#ifndef WALNUTSPUR_LAB_SOAK_EVIDENCE_H_
#define WALNUTSPUR_LAB_SOAK_EVIDENCE_H_

#include <string>

#include "lab/soak/plan.h"
#include "lab/soak/run.h"

namespace walnutspur::lab::soak {

// Creates a folder for the run below `parent`, writes the evidence to it and returns its path.
std::string WriteEvidence(const std::string& parent, const SoakPlan& plan, const SoakResult& result);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_EVIDENCE_H_

// Measures the corruption that checksums detect and their cost (make bench-integrity). The program under test
// is a child process; storage servers and discovery are fakes. SEED= selects another run, SHORT=1 a brief
// one. Prints each claim with its figure and one JSON object last; the exit code is 1 if a claim is missed.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "parts.h"
#include "run.h"

namespace {

using walnutspur::bench::Run;
using walnutspur::bench::RunOptions;

constexpr int kUsageError = 2;

RunOptions ReadOptions(int argc, char** argv) {
  RunOptions options;
  options.program = argv[1];
  options.lab_program = options.program + "-lab";
  if (const char* seed = std::getenv("SEED")) {
    options.seed = std::strtoull(seed, nullptr, 10);
  }
  const char* brief = std::getenv("SHORT");
  options.brief = brief != nullptr && *brief != '\0';
  options.parts = {argv + 2, argv + argc};
  return options;
}

void MeasureParts(Run& run) {
  struct Part {
    const char* name;
    void (*measure)(Run&);
  };
  constexpr Part kParts[] = {
      {"nbd", walnutspur::bench::MeasureNbdCorruption}, {"http", walnutspur::bench::MeasureHttpCorruption},
      {"clean", walnutspur::bench::MeasureCleanBlocks}, {"kills", walnutspur::bench::MeasureCrashes},
      {"scrub", walnutspur::bench::MeasureScrub},       {"cost", walnutspur::bench::MeasureCost}};
  for (const Part& part : kParts) {
    if (run.Includes(part.name)) {
      part.measure(run);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: walnutspur-bench-integrity PROGRAM [PART...]\n");
    return kUsageError;
  }
  std::signal(SIGPIPE, SIG_IGN);  // writes to connections of killed processes must not end this one
  Run run(ReadOptions(argc, argv));
  try {
    MeasureParts(run);
  } catch (const std::exception& error) {
    run.Fail(error.what());
  }
  run.PrintSummary();
  return run.missed() ? 1 : 0;
}

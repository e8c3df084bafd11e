// Class Run represents one run of the benchmark: its options from the command line and the environment, and
// the claims it reports.
//
// Owned by main and used on its thread.
#ifndef WALNUTSPUR_BENCH_INTEGRITY_RUN_H_
#define WALNUTSPUR_BENCH_INTEGRITY_RUN_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

namespace walnutspur::bench {

// Thrown if a part of the benchmark cannot continue.
class BenchError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct RunOptions {
  std::string program;      // the initiator
  std::string lab_program;  // path of walnutspur-lab, in the folder of `program`
  std::uint64_t seed = 1;
  bool brief = false;
  std::set<std::string> parts;  // names of the parts to run; empty: all
};

class Run {
 public:
  explicit Run(RunOptions options) : options_(std::move(options)) {}

  const RunOptions& options() const { return options_; }
  std::uint64_t seed() const { return options_.seed; }
  bool Includes(const std::string& part) const {
    return options_.parts.empty() || options_.parts.contains(part);
  }
  // Returns the amount of work: `full` in a full run, `brief` in a brief one.
  int Amount(int full, int brief) const { return options_.brief ? brief : full; }

  // Prints and records a claim with its figure.
  void Claim(const std::string& name, bool met, const std::string& figure);
  // Reports an error that ended a part.
  void Fail(const std::string& error);
  // Prints all claims as one JSON object.
  void PrintSummary() const;
  // Returns whether a claim is not met or a part has failed.
  bool missed() const { return missed_; }

 private:
  RunOptions options_;
  nlohmann::json figures_ = nlohmann::json::object();
  bool missed_ = false;
};

}  // namespace walnutspur::bench

#endif  // WALNUTSPUR_BENCH_INTEGRITY_RUN_H_

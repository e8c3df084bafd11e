// Tests that invalid experiment files are rejected with an error that names the file, line and key.
#include "lab/sim/experiment_file.h"

#include <doctest/doctest.h>

#include <string>

namespace walnutspur::lab::sim {
namespace {

// Returns the error of an experiment file, or "nothing" if it is accepted.
std::string ErrorOf(const std::string& text) {
  try {
    ParseExperiment(text, "e.toml");
  } catch (const ExperimentError& error) {
    return error.what();
  }
  return "nothing";
}

TEST_CASE(
    "Experiment file: an invalid file is rejected with a one-line error that names the file and place") {
  CHECK(ErrorOf("seed = 1\n[load]\nrat = 3.0\n").starts_with("e.toml:3: load.rat: "));
  CHECK(ErrorOf("[load]\nrate = -3.0\n").starts_with("e.toml:2: load.rate: "));
  CHECK(ErrorOf("[[fault]]\nkind = \"quake\"\n")
            .starts_with("e.toml:2: fault[].kind: \"quake\" is not allowed"));
  CHECK(ErrorOf("[[fault]]\nat_s = 1.0\n").starts_with("e.toml:1: "));
  CHECK(ErrorOf("[boxes]\ncount = 4\n[[fault]]\nkind = \"slow\"\nfirst = 3\ncount = 2\n") ==
        "e.toml:4: fault slow: first + count is 5; must be at most 4");
  CHECK(ErrorOf("length_s = 5.0\n[[fault]]\nkind = \"slow\"\nat_s = 9.0\n") ==
        "e.toml:3: fault slow: at_s must be less than length_s");
  CHECK(ErrorOf("[[fault]]\nkind = \"restart\"\nat_s = 1.0\n[[fault]]\nkind = \"replace\"\nat_s = 2.0\n") ==
        "e.toml:5: fault replace: overlaps the earlier fault restart: both stop the same boxes at the same "
        "time");
  CHECK(ErrorOf("[[class]]\nname = \"a\"\naim_ms = 10.0\ndeadline_ms = 5.0\n") ==
        "e.toml: class 'a': aim_ms must be at most deadline_ms");
  for (const std::string& line : {ErrorOf("[load]\nrate = -3.0\n"), ErrorOf("seed = [")}) {
    CHECK(line.find('\n') == std::string::npos);
  }
}

}  // namespace
}  // namespace walnutspur::lab::sim

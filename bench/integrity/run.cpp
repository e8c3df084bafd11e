#include "run.h"

#include <cstdio>

namespace walnutspur::bench {

void Run::Claim(const std::string& name, bool met, const std::string& figure) {
  std::printf("%-4s %s: %s\n", met ? "met" : "MISS", name.c_str(), figure.c_str());
  std::fflush(stdout);
  figures_[name] = {{"met", met}, {"figure", figure}};
  missed_ = missed_ || !met;
}

void Run::Fail(const std::string& error) {
  std::fprintf(stderr, "bench: %s\n", error.c_str());
  missed_ = true;
}

void Run::PrintSummary() const {
  const nlohmann::json summary = {
      {"bench", "integrity"}, {"seed", options_.seed}, {"short", options_.brief}, {"claims", figures_}};
  std::printf("%s\n", summary.dump().c_str());
}

}  // namespace walnutspur::bench

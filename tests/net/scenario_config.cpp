#include "scenario_config.h"

#include "lab/fakes/platform_config.h"

namespace walnutspur::test {

nlohmann::json BasicConfig() {
  const lab::PlatformRequestClass read;
  lab::PlatformRequestClass write = read;
  write.name = "write";
  write.is_idempotent = false;
  write.priority_weight = 2.0;
  lab::PlatformRequestClass quick = read;
  quick.name = "quick";
  // The smallest objective of all classes determines when a target counts as overloaded.
  quick.latency_objective = 120'000;
  lab::PlatformConfig config;
  config.classes = {read, write, quick};
  config.can_check_health = true;
  config.idle_timeout = 3'000'000;
  config.load_report_fields = {"queue"};
  return lab::FormatPlatformConfig(config);
}

}  // namespace walnutspur::test

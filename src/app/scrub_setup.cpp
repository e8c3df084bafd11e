#include "app/scrub_setup.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "filestore/atomic_file.h"
#include "integrity/cursor.h"
#include "integrity/layout.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::app {
namespace {

// Maximum time for which a read of the scrub may be queued, us.
constexpr Time kScrubDeadline = 5'000'000;

// Priority weight of the scrub's request class and plan. It is close to 0, so that clients' requests are
// served first.
constexpr double kScrubPriorityWeight = 0.01;

// Name of the file of the cursors, in the folder of the corruption log.
constexpr const char* kCursorFile = "scrub.cursor";

int AddScrubClass(walnutspur::Settings* settings) {
  RequestClass request_class;
  request_class.latency_objective = kScrubDeadline;
  request_class.deadline = kScrubDeadline;
  request_class.priority_weight = kScrubPriorityWeight;
  settings->classes.push_back(request_class);
  return static_cast<int>(settings->classes.size()) - 1;
}

// Adds the plan of the scrub. Its reserved rate is the scrub's minimum, and its rate is the scrub's budget.
// Beyond the minimum, the scrub gets almost no share of the remaining capacity.
int AddScrubPlan(const checksummed::ScrubOptions& options, const nbd::Config& nbd,
                 walnutspur::Settings* settings) {
  const double units = nbd::UnitsOf(nbd, static_cast<std::uint32_t>(options.chunk * integrity::kBlockBytes));
  Plan plan;
  plan.rate = options.job.max_requests_per_second * units;
  plan.reserved_rate = std::min(options.job.min_requests_per_second * units, plan.rate);
  plan.weight = kScrubPriorityWeight;
  plan.priority_factor = kScrubPriorityWeight;
  settings->plans.push_back(plan);
  return static_cast<int>(settings->plans.size()) - 1;
}

void LoadCursors(const std::string& path, integrity::Cursors* cursors) {
  const auto bytes = filestore::ReadFile(path);
  if (!bytes) {
    return;
  }
  std::string error;
  const auto decoded = integrity::DecodeCursors(*bytes, &error);
  if (decoded) {
    *cursors = *decoded;
  } else {
    log::Event(log::Level::kWarn, log::kScrubRestarted, {{"file", path}, {"error", error}});
  }
}

}  // namespace

checksummed::ScrubOptions SetUpScrub(checksummed::ScrubOptions options, const nbd::Config& nbd,
                                     checksummed::CorruptionTracker* corruption,
                                     walnutspur::Settings* settings) {
  options.deadline = kScrubDeadline;
  options.request_class = AddScrubClass(settings);
  options.plan = AddScrubPlan(options, nbd, settings);
  options.slow_start_duration = settings->rules.slow_start_duration;
  if (filestore::FileStore* store = corruption->file_store()) {
    LoadCursors(corruption->folder() + "/" + kCursorFile, &options.cursors);
    options.save_cursors = [store](std::string bytes) { store->Put(kCursorFile, std::move(bytes)); };
  }
  return options;
}

}  // namespace walnutspur::app

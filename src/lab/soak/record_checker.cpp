#include "lab/soak/record_checker.h"

#include <string>

#include "lab/soak/record_events.h"

namespace walnutspur::lab::soak {
namespace {

constexpr Time kDrainSlack = 50'000;  // us from the decision to send an attempt to its arrival at the target
constexpr Time kDeadlineSlack = 150'000;  // us: transit of request and attempt, and writes delayed by faults
constexpr Time kDisconnectSlack = 100'000;  // us: until the process reads the end of the connection
constexpr Time kKillSlack = 100'000;  // us between the end of a connection and the kill that explains it

invariants::Tolerances ProcessTolerances(const CheckOptions& options) {
  invariants::Tolerances tolerances;
  tolerances.drain_slack = kDrainSlack;
  tolerances.deadline_slack = kDeadlineSlack;
  tolerances.disconnect_slack = kDisconnectSlack + options.write_delay;
  tolerances.kill_slack = kKillSlack;
  // A process that was paused reads the drain and the removal of a server together when it continues.
  tolerances.last_notice_counts = true;
  return tolerances;
}

// Prefixes the description with the names of request and target that the logs of the processes use.
Violation WithNames(const Violation& violation, const RecordedEvents& recorded) {
  Violation named = violation;
  std::string names;
  if (violation.request != invariants::kNoRequest) {
    names = "request " + recorded.request_ids[static_cast<std::size_t>(violation.request)];
  }
  if (violation.server != invariants::kNoServer) {
    names += " to " + recorded.targets[static_cast<std::size_t>(violation.server)];
  }
  named.description = names.empty() ? violation.description : names + ": " + violation.description;
  return named;
}

}  // namespace

std::vector<Violation> FindViolations(const Record& record, const CheckOptions& options) {
  const RecordedEvents recorded = ToEvents(record, options.drain_grace);
  std::vector<Violation> violations;
  invariants::InvariantChecker checker(
      invariants::RecordSource::kProcesses, ProcessTolerances(options),
      [&](const Violation& violation) { violations.push_back(WithNames(violation, recorded)); });
  for (const invariants::Event& event : recorded.events) {
    checker.Observe(event);
  }
  return violations;
}

double ServedFraction(const Record& record, Time from, Time until) {
  double all = 0;
  double served = 0;
  for (const auto& [id, request] : record.requests) {
    if (request.sent_at >= from && request.sent_at < until && request.result != ClientResult::kDisconnected) {
      ++all;
      served += request.result == ClientResult::kServed ? 1 : 0;
    }
  }
  return all > 0 ? served / all : 1;
}

}  // namespace walnutspur::lab::soak

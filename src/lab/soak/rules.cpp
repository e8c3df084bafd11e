#include "lab/soak/rules.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <map>

namespace walnutspur::lab::soak {
namespace {

constexpr Time kAnnouncementLimit = 6'000'000;  // us after discovery had a change and could be reached
constexpr Time kRuleSlack = 50'000;             // us by which every time limit on sockets is longer
constexpr Time kDeadlineSlack = 150'000;    // us by which a target may be told more than the client has left
constexpr Time kLeaveSlack = 100'000;       // us after a client has closed
constexpr Time kShutdownService = 700'000;  // us after SIGTERM in which requests still have to be answered
constexpr Time kLongestKillDelay = 3'000'000;  // us: the most of the longest deadline that counts
constexpr double kMilliseconds = 1e3;
constexpr int kHexadecimal = 16;
constexpr std::size_t kProcessDigits = 4;

std::string Ms(Time span) {
  return std::to_string(static_cast<std::int64_t>(static_cast<double>(span) / kMilliseconds)) + " ms";
}

int ProcessOf(const std::string& request_id) {
  return static_cast<int>(std::strtol(request_id.substr(0, kProcessDigits).c_str(), nullptr, kHexadecimal));
}

// The latest time of `times` that is not after `at`, or 0.
Time LatestBefore(const std::map<int, std::vector<Time>>& times, int process, Time at) {
  const auto found = times.find(process);
  Time latest = 0;
  if (found != times.end()) {
    for (const Time time : found->second) {
      latest = time <= at ? std::max(latest, time) : latest;
    }
  }
  return latest;
}

// The earliest time of `times` that is not before `since`; the end of time if there is none.
Time FirstSince(const std::map<int, std::vector<Time>>& times, int process, Time since) {
  const auto found = times.find(process);
  Time first = std::numeric_limits<Time>::max();
  if (found != times.end()) {
    for (const Time time : found->second) {
      first = time >= since ? std::min(first, time) : first;
    }
  }
  return first;
}

// `at`, or the end of the outage that it falls into.
Time ReachableSince(const Record& record, Time at) {
  for (const Span& outage : record.outages) {
    if (at >= outage.from && at < outage.until) {
      return outage.until;
    }
  }
  return at;
}

// Whether the process was killed, or told to end too long before, in this span.
bool MayLoseRequest(const Record& record, const ClientRequest& request) {
  const auto kills = record.kills.find(request.process);
  if (kills != record.kills.end()) {
    for (const Time at : kills->second) {
      if (at >= request.sent_at && at <= request.finished_at + kLeaveSlack) {
        // What arrived in time after SIGTERM had to be answered before the kill.
        const Time terminated = LatestBefore(record.terminations, request.process, request.sent_at);
        const Time started = LatestBefore(record.starts, request.process, request.sent_at);
        const bool in_shutdown = terminated > started;
        return !in_shutdown || request.sent_at - terminated > kShutdownService;
      }
    }
  }
  const Time terminated = LatestBefore(record.terminations, request.process, request.sent_at);
  const Time started = LatestBefore(record.starts, request.process, request.sent_at);
  return terminated > started && request.sent_at - terminated > kShutdownService;
}

class RuleChecker {
 public:
  RuleChecker(const Record& record, const RuleSettings& settings) : record_(record), settings_(settings) {}

  std::vector<RuleViolation> Run() {
    CheckDrains();
    CheckAttempts();
    CheckResponses();
    for (const std::string& end : record_.unexpected_process_ends) {
      Add("crash", 0, end);
    }
    return std::move(violations_);
  }

 private:
  void Add(const std::string& rule, Time at, const std::string& description) {
    violations_.push_back({rule, at, description});
  }

  void CheckDrains() {
    for (const TargetArrival& arrival : record_.arrivals) {
      const int process = ProcessOf(arrival.request_id);
      const ListChange* announced = nullptr;
      for (const ListChange& change : record_.changes) {
        if (change.target == arrival.target &&
            AnnouncedAt(record_, change, process, arrival.at) <= arrival.at) {
          announced = &change;
        }
      }
      if (announced == nullptr || announced->is_active) {
        continue;
      }
      // A later change that makes it active again is not announced yet, but known: no harm.
      const Time late = arrival.at - AnnouncedAt(record_, *announced, process, arrival.at);
      if (late > settings_.drain_grace + kRuleSlack) {
        Add("drain", arrival.at,
            "request " + arrival.request_id + " went to " + arrival.target + " " + Ms(late) +
                " after its drain was announced to process " + std::to_string(process) + " (change at " +
                std::to_string(announced->at) + ")");
      }
    }
  }

  void CheckAttempts() {
    std::map<std::string, std::vector<const TargetArrival*>> by_request;
    for (const TargetArrival& arrival : record_.arrivals) {
      by_request[arrival.request_id].push_back(&arrival);
    }
    for (const auto& [id, arrivals] : by_request) {
      const auto at = record_.requests.find(id);
      if (at == record_.requests.end()) {
        Add("duplicate", arrivals.front()->at, "request " + id + " was sent by no client");
        continue;
      }
      const ClientRequest& request = at->second;
      const auto may_have_run = [](const TargetArrival* arrival) { return !arrival->was_overloaded; };
      const auto first_run = std::find_if(arrivals.begin(), arrivals.end(), may_have_run);
      if (!request.is_idempotent && first_run != arrivals.end() && first_run + 1 != arrivals.end()) {
        Add("duplicate", (*(first_run + 1))->at,
            "request " + id + " is not idempotent and reached a target again after it may have run");
      }
      for (const TargetArrival* arrival : arrivals) {
        CheckAttempt(id, request, *arrival);
      }
    }
  }

  void CheckAttempt(const std::string& id, const ClientRequest& request, const TargetArrival& arrival) {
    const Time left = request.sent_at + request.deadline - arrival.at;
    if (arrival.stated_deadline > left + kDeadlineSlack) {
      Add("deadline", arrival.at,
          "request " + id + " told " + Ms(arrival.stated_deadline) + " to " + arrival.target + " with " +
              Ms(left) + " left");
    }
    const bool has_left =
        request.result == ClientResult::kDisconnected || request.result == ClientResult::kNoResponse;
    if (has_left && arrival.at > request.finished_at + kLeaveSlack + settings_.held_up) {
      Add("left", arrival.at,
          "request " + id + " went to " + arrival.target + " " + Ms(arrival.at - request.finished_at) +
              " after its client had left");
    }
  }

  void CheckResponses() {
    for (const auto& [id, request] : record_.requests) {
      if (request.responses > 1) {
        Add("lost", request.finished_at, "request " + id + " had more than one response");
      }
      if (request.result == ClientResult::kNoResponse && !MayLoseRequest(record_, request)) {
        Add("lost", request.finished_at,
            "request " + id + " had no response, " + Ms(request.finished_at - request.sent_at) + " after it");
      }
    }
  }

  const Record& record_;
  const RuleSettings& settings_;
  std::vector<RuleViolation> violations_;
};

}  // namespace

Time AnnouncedAt(const Record& record, const ListChange& change, int process, Time sent_at) {
  const Time started = LatestBefore(record.starts, process, sent_at);
  Time announced = ReachableSince(record, change.at) + kAnnouncementLimit;
  if (change.at < started) {
    // Until a call of the new process has failed, it is held to the list that it started with.
    const Time failed = FirstSince(record.failed_calls, process, started);
    announced = std::max(announced, std::min(failed, ReachableSince(record, started) + kAnnouncementLimit));
  }
  for (const ListWritten& list : record.lists) {
    if (list.process == process && list.revision >= change.revision && list.at >= started) {
      announced = std::min(announced, list.at);
    }
  }
  return announced;
}

std::vector<RuleViolation> FindViolations(const Record& record, const RuleSettings& settings) {
  return RuleChecker(record, settings).Run();
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

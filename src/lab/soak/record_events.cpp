#include "lab/soak/record_events.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <map>
#include <utility>

namespace walnutspur::lab::soak {
namespace {

constexpr Time kNotificationLimit = 6'000'000;  // us after a change was made and discovery was reachable
constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr int kHexadecimal = 16;
constexpr std::size_t kProcessDigits = 4;

// Returns the process that a request was sent to, which is the prefix of its id.
int ProcessOf(const std::string& request_id) {
  return static_cast<int>(std::strtol(request_id.substr(0, kProcessDigits).c_str(), nullptr, kHexadecimal));
}

const std::vector<Time>& TimesOf(const std::map<int, std::vector<Time>>& times, int process) {
  static const std::vector<Time> none;
  const auto found = times.find(process);
  return found == times.end() ? none : found->second;
}

// Returns the latest of `times` that is not after `at`, or 0.
Time LatestUntil(const std::vector<Time>& times, Time at) {
  Time latest = 0;
  for (const Time time : times) {
    latest = time <= at ? std::max(latest, time) : latest;
  }
  return latest;
}

// Returns the earliest of `times` that is not before `since`, or kNever.
Time FirstSince(const std::vector<Time>& times, Time since) {
  Time first = kNever;
  for (const Time time : times) {
    first = time >= since ? std::min(first, time) : first;
  }
  return first;
}

// Returns `at`, or the end of the outage that contains it.
Time ReachableSince(const Record& record, Time at) {
  for (const Span& outage : record.outages) {
    if (at >= outage.from && at < outage.until) {
      return outage.until;
    }
  }
  return at;
}

// Assigns numbers to names in the order in which they are first seen.
class Numbering {
 public:
  int NumberOf(const std::string& name) {
    const auto [at, is_new] = numbers_.emplace(name, static_cast<int>(names_.size()));
    if (is_new) {
      names_.push_back(name);
    }
    return at->second;
  }
  std::vector<std::string> TakeNames() { return std::move(names_); }

 private:
  std::map<std::string, int> numbers_;
  std::vector<std::string> names_;
};

core::ResponseStatus StatusOf(ClientResult result) {
  switch (result) {
    case ClientResult::kServed:
      return core::ResponseStatus::kServed;
    case ClientResult::kRejected:
      return core::ResponseStatus::kRejected;
    default:
      return core::ResponseStatus::kFailed;
  }
}

// Returns the reason why a request has no response.
invariants::DisconnectReason ReasonOf(ClientResult result) {
  switch (result) {
    case ClientResult::kDisconnected:
      return invariants::DisconnectReason::kClientDisconnected;
    case ClientResult::kNoResponse:
      return invariants::DisconnectReason::kNoResponse;
    case ClientResult::kNotAccepted:
      return invariants::DisconnectReason::kNotAccepted;
    default:
      return invariants::DisconnectReason::kStopped;
  }
}

// Collects the events of a record and sorts them by time. Events at the same time keep the order in which
// they were added.
class EventCollector {
 public:
  EventCollector(const Record& record, Time drain_grace) : record_(record) {
    Add(0, invariants::RunLimits{std::numeric_limits<std::int64_t>::max(), drain_grace});
  }

  RecordedEvents Run() {
    AddProcesses();
    AddNotifications();
    AddRequests();
    AddAttempts();
    std::stable_sort(events_.begin(), events_.end(), [](const OrderedEvent& left, const OrderedEvent& right) {
      return left.order < right.order;
    });
    RecordedEvents result;
    for (OrderedEvent& each : events_) {
      result.events.push_back(std::move(each.event));
    }
    const Time ended_at = result.events.back().at;
    for (const std::string& description : record_.unexpected_process_ends) {
      result.events.push_back({ended_at, invariants::ProcessCrashed{description}});
    }
    result.events.push_back({ended_at, invariants::RunEnded{}});
    result.request_ids = requests_.TakeNames();
    result.targets = targets_.TakeNames();
    return result;
  }

 private:
  struct OrderedEvent {
    Time order = 0;  // sort key; the time of the event, except for requests
    invariants::Event event;
  };

  void Add(Time at, invariants::EventBody body) { AddInOrder(at, at, std::move(body)); }
  void AddInOrder(Time order, Time at, invariants::EventBody body) {
    events_.push_back({order, {at, std::move(body)}});
  }

  void AddProcesses() {
    AddEach<invariants::ProcessStarted>(record_.starts);
    AddEach<invariants::ProcessTerminated>(record_.terminations);
    AddEach<invariants::ProcessKilled>(record_.kills);
  }

  template <typename Body>
  void AddEach(const std::map<int, std::vector<Time>>& times) {
    for (const auto& [process, each] : times) {
      for (const Time at : each) {
        Add(at, Body{process});
      }
    }
  }

  // Adds notifications of all changes after each start of a process, since every process starts with the list
  // as of the start of the test environment.
  void AddNotifications() {
    for (const auto& [process, starts] : record_.starts) {
      for (std::size_t number = 0; number < starts.size(); ++number) {
        const Time until = number + 1 < starts.size() ? starts[number + 1] : kNever;
        AddNotifications(process, starts[number], until);
      }
    }
  }

  void AddNotifications(int process, Time started_at, Time until) {
    for (const ListChange& change : record_.changes) {
      const Time at = NotifiedAt(record_, change, process, started_at);
      if (at < until) {
        Add(at, invariants::EndpointNotified{process, targets_.NumberOf(change.target), change.is_active,
                                             invariants::kAnyShard});
      }
    }
  }

  // Adds the requests. A client that sends a request once more, after an idle connection was closed, resets
  // the time at which the request was sent; the request may have reached a target before that time.
  void AddRequests() {
    std::map<std::string, Time> first_arrivals;
    for (const TargetArrival& arrival : record_.arrivals) {
      const auto [at, is_new] = first_arrivals.emplace(arrival.request_id, arrival.at);
      at->second = is_new ? arrival.at : std::min(at->second, arrival.at);
    }
    for (const auto& [id, request] : record_.requests) {
      const auto arrived = first_arrivals.find(id);
      const Time order =
          arrived == first_arrivals.end() ? request.sent_at : std::min(request.sent_at, arrived->second);
      const invariants::RequestTerms terms{request.is_idempotent, request.sent_at + request.deadline};
      const int number = requests_.NumberOf(id);
      AddInOrder(order, request.sent_at,
                 invariants::RequestSent{number, request.process, invariants::kAnyShard, terms});
      AddEndOf(request, number);
    }
  }

  // Returns whether a kill of the process had ended the request's connection before the request, the first on
  // it, was written: no process has received it. A connection that is still open then belongs to a process
  // that is alive, such as the successor of the killed one.
  bool WasWrittenAfterKill(const ClientRequest& request) const {
    const auto& kills = TimesOf(record_.kills, request.process);
    return request.result == ClientResult::kNoResponse && request.connection_had_ended &&
           request.opened_at > 0 && FirstSince(kills, request.opened_at) <= request.sent_at;
  }

  void AddEndOf(const ClientRequest& request, int number) {
    for (int response = 0; response < request.responses; ++response) {
      Add(request.finished_at, invariants::ResponseReceived{number, StatusOf(request.result)});
    }
    if (request.responses == 0) {
      // A request that was open when its client was stopped has no recorded end.
      const Time at = std::max(request.sent_at, request.finished_at);
      const ClientResult result = WasWrittenAfterKill(request) ? ClientResult::kNotAccepted : request.result;
      Add(at, invariants::ClientDisconnected{number, ReasonOf(result)});
    }
  }

  // Adds the attempts. Only the overload response of a target states that an attempt has not run; any other
  // attempt may have run.
  void AddAttempts() {
    std::map<std::string, int> counts;  // of attempts, by request
    for (const TargetArrival& arrival : record_.arrivals) {
      const int request = requests_.NumberOf(arrival.request_id);
      const int attempt = counts[arrival.request_id]++;
      Add(arrival.at, invariants::AttemptSent{request, attempt, ProcessOf(arrival.request_id),
                                              targets_.NumberOf(arrival.target),
                                              std::max<Time>(0, arrival.stated_deadline)});
      if (arrival.was_overloaded) {
        Add(arrival.at, invariants::AttemptEnded{request, attempt, false});
      }
    }
  }

  const Record& record_;
  Numbering requests_;
  Numbering targets_;
  std::vector<OrderedEvent> events_;
};

}  // namespace

Time NotifiedAt(const Record& record, const ListChange& change, int process, Time sent_at) {
  const Time started = LatestUntil(TimesOf(record.starts, process), sent_at);
  Time notified = ReachableSince(record, change.at) + kNotificationLimit;
  if (change.at < started) {
    // The initial list of the new process counts until one of its calls has failed.
    const Time failed = FirstSince(TimesOf(record.failed_calls, process), started);
    notified = std::max(notified, std::min(failed, ReachableSince(record, started) + kNotificationLimit));
  }
  for (const ListWritten& list : record.lists) {
    if (list.process == process && list.revision >= change.revision && list.at >= started) {
      notified = std::min(notified, list.at);
    }
  }
  return notified;
}

RecordedEvents ToEvents(const Record& record, Time drain_grace) {
  return EventCollector(record, drain_grace).Run();
}

}  // namespace walnutspur::lab::soak

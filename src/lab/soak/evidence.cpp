#include "lab/soak/evidence.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <string_view>

namespace walnutspur::lab::soak {
namespace {

// The names of the results, in the order of ClientResult.
constexpr std::array<std::string_view, 7> kResultNames = {
    "open", "served", "rejected", "failed", "disconnected", "no_response", "not_accepted"};

void WriteTimes(const char* kind, const std::map<int, std::vector<Time>>& times, std::ostream* out) {
  for (const auto& [process, each] : times) {
    for (const Time at : each) {
      *out << at << " " << kind << " process=" << process << "\n";
    }
  }
}

void WriteSpans(const char* kind, const std::vector<Span>& spans, std::ostream* out) {
  for (const Span& span : spans) {
    *out << span.from << " " << kind << " until=" << span.until << " us=" << span.until - span.from << "\n";
  }
}

void WriteRequests(const Record& record, std::ostream* out) {
  for (const auto& [id, request] : record.requests) {
    *out << request.sent_at << " request id=" << id << " process=" << request.process
         << " idempotent=" << request.is_idempotent << " deadline=" << request.deadline
         << " opened_at=" << request.opened_at << " connection_had_ended=" << request.connection_had_ended
         << " finished_at=" << request.finished_at
         << " result=" << kResultNames[static_cast<std::size_t>(request.result)] << "\n";
  }
}

void WriteAttempts(const Record& record, std::ostream* out) {
  for (const TargetArrival& arrival : record.arrivals) {
    *out << arrival.at << " attempt id=" << arrival.request_id << " target=" << arrival.target
         << " read_at=" << arrival.read_at << " stated_deadline=" << arrival.stated_deadline
         << " overloaded=" << arrival.was_overloaded << "\n";
  }
}

// Each line begins with its time in us, so that the file can be sorted.
void WriteRecord(const Record& record, std::ostream* out) {
  WriteTimes("start", record.starts, out);
  WriteTimes("sigterm", record.terminations, out);
  WriteTimes("sigkill", record.kills, out);
  WriteTimes("failed_call", record.failed_calls, out);
  WriteSpans("discovery_outage", record.outages, out);
  WriteSpans("stall", record.stalls, out);
  for (const ProcessorWait& wait : record.waits) {
    *out << wait.at << " processor_wait process=" << wait.process << " us=" << wait.waited << "\n";
  }
  for (const ListChange& change : record.changes) {
    *out << change.at << " change revision=" << change.revision << " target=" << change.target
         << " active=" << change.is_active << "\n";
  }
  for (const ListWritten& list : record.lists) {
    *out << list.at << " list process=" << list.process << " revision=" << list.revision << "\n";
  }
  WriteRequests(record, out);
  WriteAttempts(record, out);
}

void WriteSummary(const SoakPlan& plan, const SoakResult& result, std::ostream* out) {
  *out << Describe(plan) << "load average before: " << result.load_before
       << "\nload average after: " << result.load_after
       << "\nlongest stall of the event loop of the fakes, us: " << result.longest_stall << "\n";
  for (const Violation& violation : result.violations) {
    *out << violation.at << " " << violation.invariant << ": " << violation.description << "\n";
  }
}

}  // namespace

std::string WriteEvidence(const std::string& parent, const SoakPlan& plan, const SoakResult& result) {
  const std::string name = (plan.is_extended ? "extended-seed-" : "seed-") + std::to_string(plan.seed);
  std::string folder = parent + "/" + name;
  std::filesystem::create_directories(folder);
  std::ofstream summary(folder + "/summary.txt");
  WriteSummary(plan, result, &summary);
  std::ofstream record(folder + "/record.txt");
  WriteRecord(result.record, &record);
  for (const auto& [process, text] : result.logs) {
    std::ofstream(folder + "/n" + std::to_string(process) + ".log") << text;
  }
  return folder;
}

}  // namespace walnutspur::lab::soak

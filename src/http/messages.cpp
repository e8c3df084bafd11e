#include "http/messages.h"

#include <cstdio>
#include <cstring>

#include "http/number.h"
#include "http/response_text.h"

namespace walnutspur::http {
namespace {

using nlohmann::json;

// Upper limit of the units reported as served elsewhere; no target serves more between two responses.
constexpr double kMaxUnitsElsewhere = 1e6;

// Upper limit of the percentage of a volume's rate that a target may report as used.
constexpr double kMaxUsagePercent = 1e9;

void ReadLoadReport(const std::vector<std::string>& fields, const char* text, core::AttemptResult* result) {
  const json report = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!report.is_object()) {
    return;
  }
  for (const std::string& field : fields) {
    const auto value = report.find(field);
    if (value != report.end() && !value->is_number()) {  // ignore a report with a malformed value
      result->load_report.clear();
      return;
    }
    result->load_report.push_back(value != report.end() ? value->get<double>() : 0.0);
  }
}

}  // namespace

DigestCheck CheckDigests(const MessageReader& reader, std::string_view content, bool is_representation) {
  DigestCheck check;
  for (const char* name : {"Content-Digest", "Repr-Digest"}) {
    const std::string field = reader.Joined(name);
    if (field.empty()) {
      continue;
    }
    check.headers += HeaderLine(name, field);
    const bool applies = is_representation && reader.Count("Content-Range") == 0;
    if (std::strcmp(name, "Repr-Digest") == 0 && !applies) {
      continue;
    }
    const integrity::Match match = integrity::Verify(field, content);
    if (match == integrity::Match::kDifferent || check.match == integrity::Match::kNone) {
      check.match = match;
    }
    if (match == integrity::Match::kDifferent) {
      break;
    }
  }
  return check;
}

// A 503 or 504 proves that the request has not run only if it has X-Not-Run: 1. Any other response may have
// been sent after the work was done.
Outcome OutcomeOf(int code, const HeaderLookup& header) {
  if (code == kStatusOk) {
    return Outcome::kCompleted;
  }
  const char* not_run = header("X-Not-Run");
  const bool says_not_run = not_run != nullptr && std::strcmp(not_run, "1") == 0;
  if (code == kStatusUnavailable && says_not_run) {
    return Outcome::kOverloaded;
  }
  // The target does not hold the request's shard, or the request is already over: it says nothing of its
  // load.
  if (code == kStatusGatewayTimeout && says_not_run) {
    return Outcome::kNotSent;
  }
  return Outcome::kErrored;
}

void ReadLoadHeaders(const std::vector<std::string>& fields, const HeaderLookup& header,
                     core::AttemptResult* result) {
  if (const char* usage = header("X-Volume-Use")) {
    const auto percent = ParseNumber<double>(usage);
    if (percent && *percent >= 0 && *percent < kMaxUsagePercent) {
      result->reported_usage = static_cast<int>(*percent) + 1;
    }
  }
  if (const char* elsewhere = header("X-Served-Elsewhere")) {
    const double units = ParsePositive(elsewhere).value_or(0);
    result->units_served_elsewhere = units < kMaxUnitsElsewhere ? units : 0;
  }
  if (const char* load = header("X-Load")) {
    ReadLoadReport(fields, load, result);
  }
}

std::string Seconds(Time time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f", static_cast<double>(time) / kMicrosecondsPerSecond);
  return text;
}

}  // namespace walnutspur::http

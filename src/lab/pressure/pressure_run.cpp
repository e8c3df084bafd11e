#include "lab/pressure/pressure_run.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "lab/soak/test_environment.h"

namespace walnutspur::lab::pressure {
namespace {

constexpr Time kSettleTime = 500'000;       // us of usual load before the pressure begins
constexpr Time kResponseTime = 2'000'000;   // us in which the last requests of the usual clients end
constexpr Time kDisconnectSlack = 100'000;  // us after a disconnect in which an attempt may still begin
constexpr Time kThinkTime = 20'000;         // us, mean
constexpr double kMicrosecondsPerMillisecond = 1'000;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kBytesPerMebibyte = 1 << 20;

soak::TestEnvironmentOptions EnvironmentOptions(const PressureRunOptions& options) {
  soak::TestEnvironmentOptions environment;
  environment.program = options.program;
  environment.memory_mb = options.memory_mb;
  environment.sockets = options.sockets;
  environment.response_bytes = options.response_bytes;
  environment.response_id_prefix = kPressingIdPrefix;
  environment.load.connections = options.usual_connections;
  environment.load.think_time = kThinkTime;
  environment.load.body_bytes = options.usual_body_bytes;
  return environment;
}

UsualRequests Summarize(const soak::Record& record, Time from, Time until) {
  UsualRequests usual;
  std::vector<Time> waits;
  for (const auto& [id, request] : record.requests) {
    if (request.sent_at < from || request.sent_at >= until) {
      continue;
    }
    ++usual.sent;
    if (request.result == soak::ClientResult::kServed) {
      waits.push_back(request.finished_at - request.sent_at);
    } else if (request.result == soak::ClientResult::kRejected) {
      ++usual.rejected;
    } else {
      ++usual.other;
    }
  }
  usual.served = waits.size();
  if (!waits.empty()) {
    std::sort(waits.begin(), waits.end());
    usual.median_wait = waits[waits.size() / 2];
    usual.p99_wait = waits[waits.size() * 99 / 100];
    usual.longest_wait = waits.back();
  }
  return usual;
}

void CountAttempts(const soak::Record& record, Time left_at, PressureReport* report) {
  std::map<std::string, int> attempts;
  for (const soak::TargetArrival& arrival : record.arrivals) {
    if (!arrival.request_id.starts_with(kPressingIdPrefix)) {
      continue;
    }
    report->late_attempts += arrival.at > left_at + kDisconnectSlack ? 1 : 0;
    report->repeated_ids += ++attempts[arrival.request_id] == 2 ? 1 : 0;
  }
}

}  // namespace

PressureReport RunPressure(const PressureRunOptions& options) {
  soak::TestEnvironment environment(EnvironmentOptions(options));
  environment.StartAll();
  environment.StartAllClients();
  environment.RunFor(kSettleTime);
  const Time from = core::Now();
  std::optional<PressureClient> pressure;
  if (options.connections > 0) {
    pressure.emplace(PressureOptions{environment.address(0), options.kind, options.connections});
  }
  environment.RunFor(options.duration);
  const Time until = core::Now();
  PressureReport report;
  if (pressure) {
    report.connects = pressure->connects();
    report.bytes_written = pressure->bytes_written();
    report.bytes_read = pressure->bytes_read();
    pressure.reset();
  }
  const Time left_at = core::Now();
  environment.StopAllClients();
  environment.RunFor(kResponseTime);
  report.is_running = environment.IsRunning(0);
  report.peak_bytes = environment.PeakMemory(0);
  report.usual = Summarize(environment.record(), from, until);
  CountAttempts(environment.record(), left_at, &report);
  report.log = environment.Log(0);
  return report;
}

std::string Describe(const PressureRunOptions& options, const PressureReport& report) {
  const auto milliseconds = [](Time time) { return static_cast<double>(time) / kMicrosecondsPerMillisecond; };
  const auto mebibytes = [](std::uint64_t bytes) { return static_cast<double>(bytes) / kBytesPerMebibyte; };
  const UsualRequests& usual = report.usual;
  std::vector<char> line(512);
  std::snprintf(
      line.data(), line.size(),
      "%s x %d, %d MB, %d sockets: peak %.1f MB, %s; usual: sent %zu, served %zu (%.0f/s), rejected %zu, "
      "other %zu, wait median %.1f ms, p99 %.1f ms, longest %.1f ms; pressing: connects %llu, written %.1f "
      "MB, read %.1f MB, late attempts %zu, repeated ids %zu",
      std::string(NameOf(options.kind)).c_str(), options.connections, options.memory_mb, options.sockets,
      mebibytes(report.peak_bytes), report.is_running ? "runs" : "ENDED", usual.sent, usual.served,
      static_cast<double>(usual.served) * kMicrosecondsPerSecond / static_cast<double>(options.duration),
      usual.rejected, usual.other, milliseconds(usual.median_wait), milliseconds(usual.p99_wait),
      milliseconds(usual.longest_wait),
      static_cast<unsigned long long>(report.connects),  // NOLINT(google-runtime-int): printf's %llu
      mebibytes(report.bytes_written), mebibytes(report.bytes_read), report.late_attempts,
      report.repeated_ids);
  return line.data();
}

}  // namespace walnutspur::lab::pressure

#include "background/budget.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::background {
namespace {

constexpr double kUnknown = 0.5;  // of the speed while no report comes
constexpr double kAhead = 1.2;    // over the pace of the wish: a round must not end late by a hair
constexpr Time kSecond = 1'000'000;

}  // namespace

// ---- pressure ----

void Pressure::Take(const Report& report, Time now) {
  const bool pressed = report.missed > options_.most_missed || report.waiting > options_.most_waiting ||
                       report.bound > options_.most_bound;
  // Down at once: live work feels the next request already. Up slowly: else the two would take turns.
  speed_ = pressed ? 0 : std::min(1.0, speed_ + options_.recover);
  heard_ = now;
  any_ = true;
}

double Pressure::Speed(Time now) const {
  if (!any_ || now - heard_ > options_.report_lasts) return speed_ * kUnknown;
  return speed_;
}

// ---- turns ----

JobId Budget::Add(const JobOptions& options, const Progress& progress, Time now) {
  Job job;
  job.options = options;
  job.progress = progress;
  if (job.progress.since == 0) job.progress.since = now;
  job.at = now;
  jobs_[next_] = job;
  return next_++;
}

void Budget::Pause(JobId job) { jobs_.at(job).paused = true; }

void Budget::Resume(JobId id, Time now) {
  Job& job = jobs_.at(id);
  Age(job, now);
  job.paused = false;
}

// The budget, less what the wish does not need, times what live work leaves; but never under the floor.
double Budget::Rate(const Job& job, Time now) const {
  const JobOptions& o = job.options;
  double rate = std::min(o.requests_a_second, o.bytes_a_second / std::max(1.0, o.usual_bytes));
  if (o.wish > 0 && job.progress.total > 0) {
    const double total = static_cast<double>(job.progress.total);
    const double left = total - std::min(total, static_cast<double>(job.progress.position));
    const double time = static_cast<double>(std::max<Time>(kSecond, o.wish - (now - job.progress.since)));
    // What is behind makes up for it; what is ahead keeps the even pace.
    rate = std::min(rate, kAhead * kSecond * std::max(left / time, total / static_cast<double>(o.wish)));
  }
  return std::max(o.floor_a_second, rate * pressure_.Speed(now));
}

void Budget::Age(Job& job, Time now) const {
  const double rate = Rate(job, now);
  const double passed = static_cast<double>(std::max<Time>(0, now - job.at)) / kSecond;
  job.debt = std::max(0.0, job.debt - passed * rate);
  job.bytes_debt = std::max(0.0, job.bytes_debt - passed * job.options.bytes_a_second);
  job.at = std::max(job.at, now);
}

// How long until its debts are paid; -1: nothing but an event lets it go.
Time Budget::WaitOf(const Job& job, Time now) const {
  if (held_ || job.paused || job.in_flight >= job.options.in_flight) return -1;
  const double rate = Rate(job, now);
  if (rate <= 0) return -1;
  const double passed = static_cast<double>(std::max<Time>(0, now - job.at)) / kSecond;
  const double requests = std::max(0.0, job.debt - passed * rate) / rate;
  const double bytes =
      std::max(0.0, job.bytes_debt - passed * job.options.bytes_a_second) / job.options.bytes_a_second;
  return static_cast<Time>(std::ceil(std::max(requests, bytes) * 1e6));
}

std::optional<JobId> Budget::Next(Time now) {
  Job* best = nullptr;
  JobId id = 0;
  for (auto& [number, job] : jobs_) {
    if (WaitOf(job, now) != 0) continue;
    // Among equals the one that lies further back.
    const auto part = [](const Job& j) {
      return j.progress.total == 0
                 ? 0.0
                 : static_cast<double>(j.progress.position) / static_cast<double>(j.progress.total);
    };
    if (best && (job.options.priority < best->options.priority ||
                 (job.options.priority == best->options.priority && part(job) >= part(*best))))
      continue;
    best = &job;
    id = number;
  }
  if (!best) return std::nullopt;
  Age(*best, now);
  best->debt += 1;
  ++best->in_flight;
  return id;
}

std::optional<Time> Budget::NextAt(Time now) const {
  std::optional<Time> soonest;
  for (const auto& [id, job] : jobs_) {
    const Time wait = WaitOf(job, now);
    if (wait >= 0 && (!soonest || now + wait < *soonest)) soonest = now + wait;
  }
  return soonest;
}

void Budget::Done(JobId id, std::uint64_t units, std::uint64_t bytes, Time now) {
  Job& job = jobs_.at(id);
  Age(job, now);
  job.in_flight = std::max(0, job.in_flight - 1);
  job.bytes_debt += static_cast<double>(bytes);
  job.progress.position += units;
  if (job.progress.total > 0 && job.progress.position >= job.progress.total) {
    job.progress.position = 0;
    ++job.progress.rounds;
    job.progress.since = now;
  }
}

void Budget::Return(JobId id) {
  Job& job = jobs_.at(id);
  job.in_flight = std::max(0, job.in_flight - 1);
  job.debt = std::max(0.0, job.debt - 1);
}

}  // namespace walnutspur::background

#include "background/budget.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::background {
namespace {

// Factor applied to the speed if there is no recent load report.
constexpr double kUnknownLoadSpeed = 0.5;
// Factor applied to the rate that the goal requires, so that a round ends before the goal.
constexpr double kGoalMargin = 1.2;
constexpr Time kSecond = 1'000'000;  // us
constexpr double kMicrosPerSecond = 1e6;

double Seconds(Time duration) { return static_cast<double>(std::max<Time>(0, duration)) / kSecond; }

// Returns the fraction of its round that a job has completed, 0 to 1.
double CompletedFraction(const Progress& progress) {
  if (progress.total == 0) {
    return 0.0;
  }
  return static_cast<double>(progress.position) / static_cast<double>(progress.total);
}

// Returns the requests per second that a goal requires: a job that is behind schedule catches up, a job that
// is ahead keeps an even rate.
double GoalRate(Time goal, const Progress& progress, Time now) {
  const auto total = static_cast<double>(progress.total);
  const double left = total - std::min(total, static_cast<double>(progress.position));
  const auto time = static_cast<double>(std::max<Time>(kSecond, goal - (now - progress.since)));
  return kGoalMargin * kSecond * std::max(left / time, total / static_cast<double>(goal));
}

}  // namespace

// ---- pressure ----

void Pressure::AddReport(const LoadReport& report, Time now) {
  const bool overloaded = report.missed_fraction > options_.max_missed_fraction ||
                          report.queued_fraction > options_.max_queued_fraction;
  // Prevents an oscillation between background work and the load that it causes, in which every cycle would
  // delay live requests. The speed drops immediately and recovers in small steps, so that it settles below
  // the threshold.
  speed_ = overloaded ? 0 : std::min(1.0, speed_ + options_.recovery_step);
  last_report_ = now;
}

double Pressure::Speed(Time now) const {
  if (!last_report_ || now - *last_report_ > options_.report_validity) {
    return speed_ * kUnknownLoadSpeed;
  }
  return speed_;
}

// ---- budget ----

JobId Budget::Add(const JobOptions& options, const Progress& progress, Time now) {
  Job job;
  job.options = options;
  job.progress = progress;
  if (job.progress.since == 0) {
    job.progress.since = now;
  }
  job.updated_at = now;
  jobs_[next_id_] = job;
  return next_id_++;
}

void Budget::Pause(JobId job) { jobs_.at(job).paused = true; }

void Budget::Resume(JobId job, Time now) {
  Job& resumed = jobs_.at(job);
  ReduceDebts(resumed, now);
  resumed.paused = false;
}

// Returns the rate of the budget, or the rate that the goal requires if that is lower, times the speed that
// live requests allow, but at least the minimum.
double Budget::Rate(const Job& job, Time now) const {
  const JobOptions& options = job.options;
  double rate = std::min(options.max_requests_per_second,
                         options.max_bytes_per_second / std::max(1.0, options.mean_request_bytes));
  if (options.goal > 0 && job.progress.total > 0) {
    rate = std::min(rate, GoalRate(options.goal, job.progress, now));
  }
  return std::max(options.min_requests_per_second, rate * pressure_.Speed(now));
}

void Budget::ReduceDebts(Job& job, Time now) const {
  const double rate = Rate(job, now);
  const double elapsed = Seconds(now - job.updated_at);
  job.request_debt = std::max(0.0, job.request_debt - elapsed * rate);
  job.bytes_debt = std::max(0.0, job.bytes_debt - elapsed * job.options.max_bytes_per_second);
  job.updated_at = std::max(job.updated_at, now);
}

std::optional<Time> Budget::WaitTime(const Job& job, Time now) const {
  if (suspended_ || job.paused || job.in_flight >= job.options.max_in_flight) {
    return std::nullopt;
  }
  const double rate = Rate(job, now);
  if (rate <= 0) {
    return std::nullopt;
  }
  const double elapsed = Seconds(now - job.updated_at);
  const double byte_rate = job.options.max_bytes_per_second;
  const double for_requests = std::max(0.0, job.request_debt - elapsed * rate) / rate;
  const double for_bytes = std::max(0.0, job.bytes_debt - elapsed * byte_rate) / byte_rate;
  return static_cast<Time>(std::ceil(std::max(for_requests, for_bytes) * kMicrosPerSecond));
}

// Returns whether `job` is granted a request before `other`: it has a higher priority, or the same priority
// and has completed a smaller fraction of its round.
bool Budget::HasPrecedence(const Job& job, const Job& other) {
  if (job.options.priority != other.options.priority) {
    return job.options.priority > other.options.priority;
  }
  return CompletedFraction(job.progress) < CompletedFraction(other.progress);
}

std::optional<JobId> Budget::GrantNext(Time now) {
  Job* best = nullptr;
  JobId best_id = 0;
  for (auto& [id, job] : jobs_) {
    if (WaitTime(job, now) != Time{0}) {
      continue;
    }
    if (best == nullptr || HasPrecedence(job, *best)) {
      best = &job;
      best_id = id;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ReduceDebts(*best, now);
  best->request_debt += 1;
  ++best->in_flight;
  return best_id;
}

std::optional<Time> Budget::NextGrantTime(Time now) const {
  std::optional<Time> earliest;
  for (const auto& [id, job] : jobs_) {
    const std::optional<Time> wait = WaitTime(job, now);
    if (wait && (!earliest || now + *wait < *earliest)) {
      earliest = now + *wait;
    }
  }
  return earliest;
}

void Budget::Complete(JobId job, std::uint64_t units, std::uint64_t bytes, Time now) {
  Job& completed = jobs_.at(job);
  ReduceDebts(completed, now);
  completed.in_flight = std::max(0, completed.in_flight - 1);
  completed.bytes_debt += static_cast<double>(bytes);
  Progress& progress = completed.progress;
  progress.position += units;
  if (progress.total > 0 && progress.position >= progress.total) {
    progress.position = 0;
    ++progress.rounds;
    progress.since = now;
  }
}

void Budget::ReturnGrant(JobId job) {
  Job& returned = jobs_.at(job);
  returned.in_flight = std::max(0, returned.in_flight - 1);
  returned.request_debt = std::max(0.0, returned.request_debt - 1);
}

}  // namespace walnutspur::background

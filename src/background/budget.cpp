#include "background/budget.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::background {
namespace {

constexpr double kUnknownLoadSpeed = 0.5;  // fraction of the speed without a recent report
constexpr double kGoalMargin = 1.2;        // over the pace of the goal, so that a round ends before it
constexpr Time kSecond = 1'000'000;        // us
constexpr double kMicrosPerSecond = 1e6;

double Seconds(Time duration) { return static_cast<double>(std::max<Time>(0, duration)) / kSecond; }

// The part of its round that a job has done, 0 to 1.
double DoneFraction(const Progress& progress) {
  if (progress.total == 0) {
    return 0.0;
  }
  return static_cast<double>(progress.position) / static_cast<double>(progress.total);
}

// Requests per second that a goal needs: a job that is behind catches up, one that is ahead keeps an even
// pace.
double GoalRate(Time goal, const Progress& progress, Time now) {
  const auto total = static_cast<double>(progress.total);
  const double left = total - std::min(total, static_cast<double>(progress.position));
  const auto time = static_cast<double>(std::max<Time>(kSecond, goal - (now - progress.since)));
  return kGoalMargin * kSecond * std::max(left / time, total / static_cast<double>(goal));
}

}  // namespace

// ---- pressure ----

void Pressure::Take(const Report& report, Time now) {
  const bool overloaded = report.missed > options_.most_missed || report.waiting > options_.most_waiting ||
                          report.bound > options_.most_bound;
  // Down at once, since the next live request would suffer; up slowly, or else the two would oscillate.
  speed_ = overloaded ? 0 : std::min(1.0, speed_ + options_.recover);
  last_report_ = now;
}

double Pressure::Speed(Time now) const {
  if (!last_report_ || now - *last_report_ > options_.report_lasts) {
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
  PayDebts(resumed, now);
  resumed.paused = false;
}

// The budget, or what the goal needs if that is less, times the speed that live requests allow; never less
// than the minimum.
double Budget::Rate(const Job& job, Time now) const {
  const JobOptions& options = job.options;
  double rate =
      std::min(options.requests_a_second, options.bytes_a_second / std::max(1.0, options.mean_request_bytes));
  if (options.wish > 0 && job.progress.total > 0) {
    rate = std::min(rate, GoalRate(options.wish, job.progress, now));
  }
  return std::max(options.floor_a_second, rate * pressure_.Speed(now));
}

void Budget::PayDebts(Job& job, Time now) const {
  const double rate = Rate(job, now);
  const double elapsed = Seconds(now - job.updated_at);
  job.request_debt = std::max(0.0, job.request_debt - elapsed * rate);
  job.bytes_debt = std::max(0.0, job.bytes_debt - elapsed * job.options.bytes_a_second);
  job.updated_at = std::max(job.updated_at, now);
}

std::optional<Time> Budget::WaitOf(const Job& job, Time now) const {
  if (held_ || job.paused || job.in_flight >= job.options.in_flight) {
    return std::nullopt;
  }
  const double rate = Rate(job, now);
  if (rate <= 0) {
    return std::nullopt;
  }
  const double elapsed = Seconds(now - job.updated_at);
  const double byte_rate = job.options.bytes_a_second;
  const double for_requests = std::max(0.0, job.request_debt - elapsed * rate) / rate;
  const double for_bytes = std::max(0.0, job.bytes_debt - elapsed * byte_rate) / byte_rate;
  return static_cast<Time>(std::ceil(std::max(for_requests, for_bytes) * kMicrosPerSecond));
}

// By priority; among equals the one that has done less of its round.
bool Budget::GoesBefore(const Job& job, const Job& other) {
  if (job.options.priority != other.options.priority) {
    return job.options.priority > other.options.priority;
  }
  return DoneFraction(job.progress) < DoneFraction(other.progress);
}

std::optional<JobId> Budget::Next(Time now) {
  Job* best = nullptr;
  JobId best_id = 0;
  for (auto& [id, job] : jobs_) {
    if (WaitOf(job, now) != Time{0}) {
      continue;
    }
    if (best == nullptr || GoesBefore(job, *best)) {
      best = &job;
      best_id = id;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  PayDebts(*best, now);
  best->request_debt += 1;
  ++best->in_flight;
  return best_id;
}

std::optional<Time> Budget::NextAt(Time now) const {
  std::optional<Time> earliest;
  for (const auto& [id, job] : jobs_) {
    const std::optional<Time> wait = WaitOf(job, now);
    if (wait && (!earliest || now + *wait < *earliest)) {
      earliest = now + *wait;
    }
  }
  return earliest;
}

void Budget::Done(JobId job, std::uint64_t units, std::uint64_t bytes, Time now) {
  Job& done = jobs_.at(job);
  PayDebts(done, now);
  done.in_flight = std::max(0, done.in_flight - 1);
  done.bytes_debt += static_cast<double>(bytes);
  Progress& progress = done.progress;
  progress.position += units;
  if (progress.total > 0 && progress.position >= progress.total) {
    progress.position = 0;
    ++progress.rounds;
    progress.since = now;
  }
}

void Budget::Return(JobId job) {
  Job& returned = jobs_.at(job);
  returned.in_flight = std::max(0, returned.in_flight - 1);
  returned.request_debt = std::max(0.0, returned.request_debt - 1);
}

}  // namespace walnutspur::background

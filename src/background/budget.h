// Budgets background work beside live requests: decides which job may send a request, and when.
//
// Does no I/O and has no clock or thread: times are microseconds that must not decrease, and the owner,
// checksummed::Scrub, sends the granted requests. Each job has a priority, a budget (bytes and requests per
// second, requests in flight) and an optional goal: the time within which all of its work is to be completed.
// High load on live requests slows a job to its guaranteed minimum within one load report; below the
// thresholds the speed recovers slowly. Used on the owner's thread only. A JobId must come from Add; there
// are no other errors.
#ifndef WALNUTSPUR_BACKGROUND_BUDGET_H_
#define WALNUTSPUR_BACKGROUND_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace walnutspur::background {

using Time = std::int64_t;
using JobId = int;

// The limits of one job.
struct JobOptions {
  std::string name;
  int priority = 0;  // jobs of higher priority are served first
  double max_bytes_per_second = 8 << 20;
  double max_requests_per_second = 200;
  int max_in_flight = 2;               // requests
  double min_requests_per_second = 1;  // guaranteed under any load; 0: the job may stop
  Time goal = 0;                       // time to complete all work in, us; 0: as fast as the budget allows
  double mean_request_bytes = 64 << 10;
};

// The load on live requests at one target since the last report.
struct LoadReport {
  double missed_fraction = 0;  // fraction of the requests that missed their latency objective
  double queued_fraction = 0;  // fraction of the open requests that wait for the concurrency limit
};

// The thresholds of a load report; a value above its threshold slows background work to its minimum.
struct PressureOptions {
  double max_missed_fraction = 0.02;
  double max_queued_fraction = 0.7;
  double recovery_step = 0.05;  // fraction of the full speed that a report below both thresholds restores
  Time report_validity = 3'000'000;  // us; afterwards the load is unknown and the speed is halved
};

// Determines the speed of background work that live requests allow at one target, as a fraction of the full
// speed.
class Pressure {
 public:
  explicit Pressure(const PressureOptions& options = {}) : options_(options) {}
  void AddReport(const LoadReport& report, Time now);
  double Speed(Time now) const;

 private:
  PressureOptions options_;
  double speed_ = 0.1;  // low until the load is known
  std::optional<Time> last_report_;
};

// The progress of a job. `position`, `rounds` and `since` are preserved across restarts.
struct Progress {
  std::uint64_t position = 0;  // completed units of work of this round; one per request
  std::uint64_t total = 0;     // units of a round; 0: not known yet
  std::uint64_t rounds = 0;    // completed rounds
  Time since = 0;              // start of this round
};

// Grants requests to the jobs at one target.
class Budget {
 public:
  explicit Budget(const PressureOptions& pressure = {}) : pressure_(pressure) {}

  JobId Add(const JobOptions& options, const Progress& progress, Time now);
  void AddReport(const LoadReport& report, Time now) { pressure_.AddReport(report, now); }

  void Pause(JobId job);
  void Resume(JobId job, Time now);
  // While suspended, the target gets no background requests, not even the minimum: it is draining, in slow
  // start or terminated.
  void Suspend(bool suspended) { suspended_ = suspended; }

  // Grants a request to a job that may send one now. Returns nullopt if there is no such job. The request is
  // in flight until Complete or ReturnGrant.
  std::optional<JobId> GrantNext(Time now);
  // Returns the earliest time at which GrantNext may grant a request; nullopt if it cannot before another
  // call of this class.
  std::optional<Time> NextGrantTime(Time now) const;
  // Ends a granted request that has completed `units` of the round; 0 if it failed and is to be repeated.
  void Complete(JobId job, std::uint64_t units, std::uint64_t bytes, Time now);
  // Takes back a grant that was not used.
  void ReturnGrant(JobId job);

  const Progress& progress(JobId job) const { return jobs_.at(job).progress; }
  int in_flight(JobId job) const { return jobs_.at(job).in_flight; }
  // Returns the requests per second that a job may currently send.
  double Rate(JobId job, Time now) const { return Rate(jobs_.at(job), now); }

 private:
  // A leaky bucket for requests and one for bytes.
  struct Job {
    JobOptions options;
    Progress progress;
    bool paused = false;
    int in_flight = 0;
    double request_debt = 0;  // requests sent and not yet covered by the rate
    double bytes_debt = 0;    // bytes transferred and not yet covered by the rate
    Time updated_at = 0;      // time of the last update of both debts
  };
  double Rate(const Job& job, Time now) const;
  // Reduces the debts by what the rates cover since the last update.
  void ReduceDebts(Job& job, Time now) const;
  // Returns the time until the debts of a job are covered, us; nullopt if the job cannot send before another
  // call of this class.
  std::optional<Time> WaitTime(const Job& job, Time now) const;
  static bool HasPrecedence(const Job& job, const Job& other);

  Pressure pressure_;
  std::map<JobId, Job> jobs_;
  JobId next_id_ = 1;
  bool suspended_ = false;
};

}  // namespace walnutspur::background

#endif  // WALNUTSPUR_BACKGROUND_BUDGET_H_

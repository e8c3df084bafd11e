// The budget of background work beside live requests: which job may send a request, and when.
//
// No I/O, clock or thread: times are microseconds that never run backwards, and the owner sends the requests
// it is granted. Each job has a priority, a budget (bytes and requests per second, requests in flight) and an
// optional goal: all its work within a time. Load on live requests stops a job within one report, after it
// the speed recovers slowly, and a guaranteed minimum keeps the job moving regardless. One thread owns each
// object.
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
  int priority = 0;                 // higher ones are served first
  double bytes_a_second = 8 << 20;  // at most
  double requests_a_second = 200;   // at most
  int in_flight = 2;                // requests, at most
  double floor_a_second = 1;        // requests per second, whatever the load; 0: the job may stand still
  Time wish = 0;  // the goal: all work within this time, us; 0: as fast as the budget allows
  double mean_request_bytes = 64 << 10;
};

// The load on live requests at one target since the last report.
struct Report {
  double missed = 0;   // fraction of the requests that missed their latency objective
  double waiting = 0;  // requests queued at the target, as it reported last
  double bound = 0;    // fraction of the concurrency limit in use, 0 to 1
};

// The thresholds of a report; any value above its threshold stops background work.
struct PressureOptions {
  double most_missed = 0.02;
  double most_waiting = 4;
  double most_bound = 0.7;
  double recover = 0.05;          // fraction of the full speed regained by a report below all thresholds
  Time report_lasts = 3'000'000;  // us; with an older report the speed is halved, as the load is unknown
};

// The speed of background work at one target that live requests allow, as a fraction of the full one.
class Pressure {
 public:
  explicit Pressure(const PressureOptions& options = {}) : options_(options) {}
  void Take(const Report& report, Time now);
  double Speed(Time now) const;

 private:
  PressureOptions options_;
  double speed_ = 0.1;  // low until the load is known
  std::optional<Time> last_report_;
};

// The progress of a job. `position` and `since` are what is stored from one process to the next.
struct Progress {
  std::uint64_t position = 0;  // units of work done in this round; a request does one
  std::uint64_t total = 0;     // units of a round; 0: unknown yet
  std::uint64_t rounds = 0;    // completed ones
  Time since = 0;              // start of this round
};

// Grants requests to the jobs at one target.
class Budget {
 public:
  explicit Budget(const PressureOptions& pressure = {}) : pressure_(pressure) {}

  JobId Add(const JobOptions& options, const Progress& progress, Time now);
  void Take(const Report& report, Time now) { pressure_.Take(report, now); }

  void Pause(JobId job);
  void Resume(JobId job, Time now);
  // While held, the target takes no background requests, not even the minimum: it is draining, in slow start
  // or terminated.
  void Hold(bool held) { held_ = held; }

  // Grants a request to the job that may send one now, if there is one; it is in flight until Done or Return.
  std::optional<JobId> Next(Time now);
  // The earliest time at which Next may grant a request; nothing if only another call can change that.
  std::optional<Time> NextAt(Time now) const;
  // Ends a granted request that has done `units` of the round; 0 if it failed and is to be repeated.
  void Done(JobId job, std::uint64_t units, std::uint64_t bytes, Time now);
  // Returns a grant that was not used.
  void Return(JobId job);

  const Progress& progress(JobId job) const { return jobs_.at(job).progress; }
  bool paused(JobId job) const { return jobs_.at(job).paused; }
  int in_flight(JobId job) const { return jobs_.at(job).in_flight; }
  // Requests per second that a job may send at present.
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
    Time updated_at = 0;      // of both debts
  };
  double Rate(const Job& job, Time now) const;
  // Reduces the debts by the time that has passed.
  void PayDebts(Job& job, Time now) const;
  // How long until the debts of a job are paid, us; nothing if only another call can let it send.
  std::optional<Time> WaitOf(const Job& job, Time now) const;
  static bool GoesBefore(const Job& job, const Job& other);

  Pressure pressure_;
  std::map<JobId, Job> jobs_;
  JobId next_id_ = 1;
  bool held_ = false;
};

}  // namespace walnutspur::background

#endif  // WALNUTSPUR_BACKGROUND_BUDGET_H_

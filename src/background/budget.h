// Background work beside live work: whose turn it is, and when. No I/O, clock or thread: times are
// microseconds that never run backwards, and the owner carries out what it is granted.
//
// Each job has a priority, a budget (bytes and requests a second, requests in flight) and a wish: all its
// work within a span. Live pressure takes its speed down within one report, calm brings it back slowly, and a
// floor that is stated keeps it moving whatever happens.
#ifndef WALNUTSPUR_BACKGROUND_BUDGET_H_
#define WALNUTSPUR_BACKGROUND_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace walnutspur::background {

using Time = std::int64_t;
using JobId = int;

struct JobOptions {
  std::string name;
  int priority = 0;                 // the higher goes first
  double bytes_a_second = 8 << 20;  // at most
  double requests_a_second = 200;   // at most
  int in_flight = 2;                // requests
  double floor_a_second = 1;        // requests, whatever the pressure; 0: it may stand still
  Time wish = 0;                    // all of its work within this time; 0: as fast as the budget allows
  double usual_bytes = 64 << 10;    // of a request
};

// What live work feels, as one report of it. Anything over its bound is pressure.
struct Report {
  double missed = 0;   // part of the requests since the last report that missed their aim
  double waiting = 0;  // requests that wait at the box, by its last word
  double bound = 0;    // part of the module's bound at the box that is in use, 0 to 1
};
struct PressureOptions {
  double most_missed = 0.02, most_waiting = 4, most_bound = 0.7;
  double recover = 0.05;          // of the full speed that a calm report gives back
  Time report_lasts = 3'000'000;  // without news for so long nobody knows how live work fares: half speed
};

// The speed that live work leaves to background work at one box, as a part of the full one.
class Pressure {
 public:
  explicit Pressure(const PressureOptions& options = {}) : options_(options) {}
  void Take(const Report& report, Time now);
  double Speed(Time now) const;

 private:
  PressureOptions options_;
  double speed_ = 0.1;  // nothing is known at first
  Time heard_ = 0;
  bool any_ = false;
};

// How far a job has come. Survives restarts where a folder lasts: what is saved is `position` and `since`.
struct Progress {
  std::uint64_t position = 0;  // units done of this round; a request does one
  std::uint64_t total = 0;     // units of a round; 0: not known yet
  std::uint64_t rounds = 0;    // whole ones
  Time since = 0;              // when this round began
};

// Shares out turns among jobs at one box.
class Budget {
 public:
  explicit Budget(const PressureOptions& pressure = {}) : pressure_(pressure) {}

  JobId Add(const JobOptions& options, const Progress& progress, Time now);
  void Take(const Report& report, Time now) { pressure_.Take(report, now); }

  void Pause(JobId job);
  void Resume(JobId job, Time now);
  // The box takes no background work (it drains, is cold or gone) until told otherwise: not even the floor.
  void Hold(bool held) { held_ = held; }

  // The job whose turn it is now, if there is one; it then has one request more in flight.
  std::optional<JobId> Next(Time now);
  // When Next may have something, at the earliest; nothing if only an event can change that.
  std::optional<Time> NextAt(Time now) const;
  // A granted request is over. `units` of the round are done by it; 0 if it failed and must go again.
  void Done(JobId job, std::uint64_t units, std::uint64_t bytes, Time now);
  // Granted, but there was nothing to do.
  void Return(JobId job);

  const Progress& progress(JobId job) const { return jobs_.at(job).progress; }
  bool paused(JobId job) const { return jobs_.at(job).paused; }
  int in_flight(JobId job) const { return jobs_.at(job).in_flight; }
  // Requests a second that the job may make at present.
  double Rate(JobId job, Time now) const { return Rate(jobs_.at(job), now); }

 private:
  struct Job {
    JobOptions options;
    Progress progress;
    bool paused = false;
    int in_flight = 0;
    double debt = 0;  // us at the present rate that its last requests have used up
    Time at = 0;      // of the debt
    double bytes_debt = 0;
  };
  double Rate(const Job& job, Time now) const;
  void Age(Job& job, Time now) const;
  Time WaitOf(const Job& job, Time now) const;

  Pressure pressure_;
  std::map<JobId, Job> jobs_;
  JobId next_ = 1;
  bool held_ = false;
};

}  // namespace walnutspur::background

#endif  // WALNUTSPUR_BACKGROUND_BUDGET_H_

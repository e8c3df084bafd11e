// Class Scrub reads all blocks of checksummed exports in the background, as internal requests of a separate
// request class, so that corruption is detected before clients read it. A budget per target limits the reads
// according to the pressure on live requests.
//
// Owned by the initiator; runs on the event loop's thread. A failed read is retried in the same round. A read
// that detects corruption is successful, since its result is in the corruption log.
#ifndef WALNUTSPUR_CHECKSUMMED_SCRUB_H_
#define WALNUTSPUR_CHECKSUMMED_SCRUB_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "background/budget.h"
#include "core/port.h"
#include "integrity/cursor.h"
#include "integrity/layout.h"
#include "integrity/scrubber.h"
#include "loop/loop.h"
#include "nbd/config.h"

namespace walnutspur::checksummed {

struct ScrubOptions {
  bool enabled = false;
  int request_class = 0;         // index into the classes of the scheduler's settings
  int plan = 0;                  // index into the plans of the scheduler's settings
  Time deadline = 0;             // us; deadline of the request class
  Time slow_start_duration = 0;  // us; time after the start of a target in which it is not scrubbed
  std::uint64_t chunk = 16;      // number of blocks that one request reads
  background::JobOptions job;
  background::PressureOptions pressure;
  integrity::Cursors cursors;                     // positions at which the previous process stopped
  std::function<void(std::string)> save_cursors;  // receives encoded cursors; if empty, they are not saved
};

class Scrub : public core::FrontEnd {
 public:
  // `config` and `request_numbers` must outlive the scrub; `submit` receives requests and expired deadlines.
  Scrub(event_base* base, const nbd::Config& config, const ScrubOptions& options,
        core::RequestNumbers* request_numbers, core::SubmitInput submit);
  ~Scrub() override;
  Scrub(const Scrub&) = delete;
  Scrub& operator=(const Scrub&) = delete;

  void Respond(const core::Response& response) override;
  std::size_t pending_requests() const override { return 0; }  // shutdown does not wait for the scrub
  void SetShutdownDeadline(Time) override { stopped_ = true; }
  void AdvanceShutdown(Time) override { stopped_ = true; }
  std::size_t connections() const override { return 0; }

  // Must be called with each response to a live request. Updates the pressure on live requests.
  void ObserveResponse(const core::Response& response);
  // Must be called with each state of a target that discovery reports. `started_at` is 0 if the target
  // started long ago.
  void OnTargetState(const std::string& target, bool active, Time started_at);
  // Schedules another read of a block of an export.
  void Recheck(std::size_t export_index, std::uint64_t block);
  void Pause(bool paused);
  bool paused() const { return paused_; }

  // The progress of the scrub of one export, in chunks.
  struct Status {
    std::string name;
    std::uint64_t position = 0;
    std::uint64_t total = 0;
    std::uint64_t rounds = 0;
    double rate = 0;  // currently allowed requests per second
    int in_flight = 0;
  };
  std::vector<Status> status() const;
  std::uint64_t requests() const { return requests_; }  // requests since the process started
  std::uint64_t failed() const { return failed_; }      // failed requests since the process started

 private:
  struct Job {
    std::size_t export_index = 0;
    std::string target;
    background::JobId id = 0;
    integrity::Scrubber scrubber;
  };
  struct TargetState {
    std::unique_ptr<background::Budget> budget;
    bool active = false;
    Time started_at = 0;  // 0 if the target started long ago
    loop::EventHandle schedule_timer;
  };
  struct PendingRead {
    std::size_t job = 0;
    integrity::Scrubber::Range range;
    loop::EventHandle deadline;
  };

  void AddJob(std::size_t export_index, Time now);
  void ScheduleReads(const std::string& target);
  void StartRead(std::size_t job);
  core::RequestReceived MakeRequest(const Job& job, const integrity::Scrubber::Range& range);
  void ReportPressure();
  void SaveCursors();
  bool IsWarmedUp(const TargetState& target, Time now) const {
    return target.started_at == 0 || now >= target.started_at + options_.slow_start_duration;
  }

  event_base* base_;
  const nbd::Config& config_;
  ScrubOptions options_;
  core::RequestNumbers* request_numbers_;
  core::SubmitInput submit_;
  bool stopped_ = false;
  bool paused_ = false;
  Time cursors_saved_at_ = 0;
  integrity::Cursors saved_cursors_;
  std::map<std::string, TargetState> targets_;
  std::vector<Job> jobs_;
  std::map<core::RequestNumber, PendingRead> pending_reads_;
  loop::EventHandle report_timer_;
  std::uint64_t responses_ = 0;          // to live requests, since the last report
  std::uint64_t missed_objectives_ = 0;  // among these responses
  double max_queued_fraction_ = 0;       // among these responses
  std::uint64_t requests_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_SCRUB_H_

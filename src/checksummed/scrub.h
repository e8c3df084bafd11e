// The scrub of checksummed exports: reads all of their blocks in the background, as internal requests of a
// separate request class, so that corruption is detected before clients read it. A budget for each target
// limits the reads by the pressure on live requests.
//
// Owned by the initiator; runs on the event loop's thread. A read that fails is retried by the same round; a
// read that meets corruption has succeeded, since the corruption log has the result.
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
  int request_class = 0;         // of the scheduler's settings
  int plan = 0;                  // of the scheduler's settings
  Time deadline = 0;             // us; that of the class
  Time slow_start_duration = 0;  // us after the start of a target within which it is not scrubbed
  std::uint64_t chunk = 16;      // blocks that one request reads
  background::JobOptions job;
  background::PressureOptions pressure;
  integrity::Cursors cursors;                     // where an earlier process stopped
  std::function<void(std::string)> save_cursors;  // takes encoded cursors; empty: they are not saved
};

class Scrub : public core::FrontEnd {
 public:
  // `config` and `request_numbers` must outlive this; `submit` takes requests and expired deadlines.
  Scrub(event_base* base, const nbd::Config& config, const ScrubOptions& options,
        core::RequestNumbers* request_numbers, core::SubmitInput submit);
  ~Scrub() override;
  Scrub(const Scrub&) = delete;
  Scrub& operator=(const Scrub&) = delete;

  void Respond(const core::Response& response) override;
  std::size_t pending_requests() const override { return 0; }  // no client waits for a scrub
  void SetShutdownDeadline(Time) override { stopped_ = true; }
  void AdvanceShutdown(Time) override { stopped_ = true; }
  std::size_t connections() const override { return 0; }

  // Called with each response to a live request, from which the pressure on live requests is computed.
  void ObserveResponse(const core::Response& response);
  // Called with each state of a target that discovery reports; `started_at` 0: long ago.
  void OnTargetState(const std::string& target, bool active, Time started_at);
  // Schedules another read of a block of an export.
  void Recheck(std::size_t export_index, std::uint64_t block);
  void Pause(bool paused);
  bool paused() const { return paused_; }

  // The progress on one export, in chunks.
  struct Status {
    std::string name;
    std::uint64_t position = 0;
    std::uint64_t total = 0;
    std::uint64_t rounds = 0;
    double rate = 0;  // requests per second, currently allowed
    int in_flight = 0;
  };
  std::vector<Status> status() const;
  std::uint64_t requests() const { return requests_; }  // since the start
  std::uint64_t failed() const { return failed_; }      // of these

 private:
  struct Job {
    std::size_t export_index = 0;  // of the export
    std::string target;
    background::JobId id = 0;
    integrity::Scrubber scrubber;
  };
  struct TargetState {
    std::unique_ptr<background::Budget> budget;
    bool active = false;
    Time started_at = 0;  // 0: long ago
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
  std::uint64_t responses_ = 0;          // to live requests since the last report
  std::uint64_t missed_objectives_ = 0;  // of these
  double max_queued_fraction_ = 0;       // of these
  std::uint64_t requests_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_SCRUB_H_

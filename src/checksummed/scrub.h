// The scrub: a front whose client is the program itself. It reads checksummed exports through the same
// decisions as everybody else, in a class and on a plan of next to no worth, as fast as live work leaves
// room.
//
// Runs on the loop's thread. When it may read is background::Budget's to say, one for each box; what, is
// integrity::Scrubber's.
#ifndef WALNUTSPUR_CHECKSUMMED_SCRUB_H_
#define WALNUTSPUR_CHECKSUMMED_SCRUB_H_

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
  bool on = false;
  int request_class = 0, plan = 0;  // of the module's settings
  Time deadline = 0;                // that class's deadline
  Time slow_start_duration = 0;     // a box that has started within it is left alone
  std::uint64_t chunk = 16;         // blocks that one request reads
  background::JobOptions job;
  background::PressureOptions pressure;
  integrity::Cursors cursors;                     // where an earlier process stood
  std::function<void(std::string)> keep_cursors;  // takes them encoded, now and then; empty: nothing is kept
};

class Scrub : public core::FrontEnd {
 public:
  Scrub(event_base* base, const nbd::Config& config, const ScrubOptions& options,
        core::RequestNumbers* serials, core::SubmitInput post);
  ~Scrub() override;

  void Respond(const core::Response& answer) override;
  std::size_t pending_requests() const override { return 0; }  // nobody waits for it
  void SetShutdownDeadline(Time) override { stopped_ = true; }
  void BeginGracefulShutdown(Time) override { stopped_ = true; }
  std::size_t connections() const override { return 0; }

  // Of a live request's answer: what live work feels.
  void ObserveResponse(const core::Response& answer);
  // What the list says of a box: `launched` as discovery tells it, 0: long ago.
  void OnTargetState(const std::string& box, bool live, Time launched);
  // A block that should be read again soon.
  void Recheck(std::size_t number, std::uint64_t block);
  void Pause(bool paused);
  bool paused() const { return paused_; }

  struct Status {
    std::string name;
    std::uint64_t position = 0, total = 0, rounds = 0;  // chunks
    double rate = 0;                                    // requests a second, at present
    int in_flight = 0;
  };
  std::vector<Status> status() const;
  std::uint64_t requests() const { return requests_; }
  std::uint64_t failed() const { return failed_; }

 private:
  struct Job {
    std::size_t number = 0;  // of the export
    std::string box;
    background::JobId id = 0;
    integrity::Scrubber scrubber;
  };
  struct Box {
    std::unique_ptr<background::Budget> budget;
    bool live = false;
    Time launched = 0;
    loop::EventHandle turn;
  };
  struct Held {
    std::size_t job = 0;
    integrity::Scrubber::Range range;
    loop::EventHandle deadline;
  };

  void Turn(const std::string& box);
  void Begin(std::size_t job);
  void Report();
  void KeepCursors();
  bool Warm(const Box& box, Time now) const {
    return box.launched == 0 || now >= box.launched + options_.slow_start_duration;
  }

  event_base* base_;
  const nbd::Config& config_;
  ScrubOptions options_;
  core::RequestNumbers* serials_;
  core::SubmitInput post_;
  bool stopped_ = false, paused_ = false;
  Time kept_ = 0;  // when the cursors were kept last
  integrity::Cursors known_;
  std::map<std::string, Box> boxes_;
  std::vector<Job> jobs_;
  std::map<core::RequestNumber, Held> held_;
  loop::EventHandle report_;
  std::uint64_t answers_ = 0, missed_ = 0;  // of live requests since the last report
  double waiting_ = 0;
  std::uint64_t requests_ = 0, failed_ = 0;
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_SCRUB_H_

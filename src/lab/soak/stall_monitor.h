// Records when the event loop of the fakes did not run, and when processes under test waited for a processor.
//
// A violation that coincides with a stall of the loop may be one of the observer and not of the program.
// Owned by a test environment; runs on the thread of its event loop.
#ifndef WALNUTSPUR_LAB_SOAK_STALL_MONITOR_H_
#define WALNUTSPUR_LAB_SOAK_STALL_MONITOR_H_

#include <functional>
#include <map>

#include "lab/fakes/process.h"
#include "lab/soak/record.h"
#include "loop/loop.h"

namespace walnutspur::lab::soak {

class StallMonitor {
 public:
  // Returns the process with a number, or null if it was not started.
  using FindProcess = std::function<const Process*(int process)>;

  // `record` must outlive the monitor.
  StallMonitor(event_base* base, int processes, FindProcess find_process, Record* record);

  // Starts to record.
  void Start();
  // Returns the longest delay of the event loop since the start, us.
  Time longest_stall() const { return longest_stall_; }

 private:
  void Check();
  void RecordWaits(Time now);

  int processes_;
  FindProcess find_process_;
  Record* record_;
  Time longest_stall_ = 0;
  Time due_at_ = 0;  // of the timer
  Time next_wait_check_at_ = 0;
  std::map<int, Time> waited_;  // by process, since its start, us
  loop::EventHandle timer_;
};

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_STALL_MONITOR_H_

// Converts the event log of a simulated run to the events on which the invariants are checked.
//
// Used on one thread, for one log.
#ifndef WALNUTSPUR_LAB_SIM_LOG_EVENTS_H_
#define WALNUTSPUR_LAB_SIM_LOG_EVENTS_H_

#include <cstdint>
#include <map>

#include "lab/invariants/event.h"
#include "lab/sim/event_log.h"

namespace walnutspur::lab::sim {

class LogEventReader {
 public:
  // Returns the event for the next entry of the log.
  invariants::Event Read(const LogEntry& entry);

 private:
  struct RequestClass {
    bool is_idempotent = true;
    Time deadline = 0;  // us after a request is sent
  };

  invariants::EventBody ReadBody(const LogEntry& entry);
  invariants::RequestSent ReadRequest(const LogEntry& entry) const;

  std::map<std::int64_t, RequestClass> classes_;  // by number
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_LOG_EVENTS_H_

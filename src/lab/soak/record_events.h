// Turns what the stand-ins recorded of real processes into the events on which the invariants are judged.
//
// Pure functions over a record; any thread.
#ifndef WALNUTSPUR_LAB_SOAK_RECORD_EVENTS_H_
#define WALNUTSPUR_LAB_SOAK_RECORD_EVENTS_H_

#include <string>
#include <vector>

#include "lab/invariants/event.h"
#include "lab/soak/record.h"

namespace walnutspur::lab::soak {

// The events of a record, in order of time. Requests and targets are numbered.
struct RecordedEvents {
  std::vector<invariants::Event> events;
  std::vector<std::string> request_ids;  // by number of the request
  std::vector<std::string> targets;      // by number of the server
};

// `drain_grace` is that of the processes' settings.
RecordedEvents ToEvents(const Record& record, Time drain_grace);

// When a process counts as notified of a change: once it was written, and 6 s after discovery had it and
// could be reached at the latest. A process that started after the change is held to the list that it started
// with for 6 s, or until its first call of discovery has failed. The start meant is the last one before
// `sent_at`.
Time NotifiedAt(const Record& record, const ListChange& change, int process, Time sent_at);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_RECORD_EVENTS_H_

// Converts the record of the fakes around real processes into the events on which invariants are checked.
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

// Returns the events of a record. `drain_grace` is the value in the settings of the processes.
RecordedEvents ToEvents(const Record& record, Time drain_grace);

// Returns the time at which a process counts as notified of a change: the time at which the change was
// written to the process, and at the latest 6 s after the change was made and discovery was reachable. For a
// process that started after the change, the list that it started with counts for 6 s, or until its first
// call of discovery has failed. The start is the last one before `sent_at`.
Time NotifiedAt(const Record& record, const ListChange& change, int process, Time sent_at);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_RECORD_EVENTS_H_

// The requests of a simulated run without a response or with an attempt without an outcome. Filled by the
// load generator, updated by the initiators, read by the storage servers. Owned by Simulation; used on its
// one thread.
#ifndef WALNUTSPUR_LAB_SIM_REQUEST_TABLE_H_
#define WALNUTSPUR_LAB_SIM_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::lab::sim {

// State of an attempt at its initiator.
struct AttemptState {
  int server = -1;
  bool ended = false;  // it has an outcome
  Time sent = 0;       // us
};

// State of a request at its initiator.
struct RequestState {
  int initiator = 0;
  std::size_t request_class = 0;  // index into Experiment::classes
  Time received = 0;              // us
  Time deadline = 0;              // us
  std::int64_t units = 0;         // size of the request, in 1/1000 of a unit
  bool has_response = false;
  bool places_new_object = false;
  std::size_t volume = 0;  // number of its volume
  std::string key;         // of its object
  std::vector<AttemptState> attempts;
};

// Class RequestTable holds the unfinished requests, by number.
class RequestTable {
 public:
  // Adds a request; the reference is valid until the request is erased.
  RequestState& Add(std::int64_t number, RequestState request);
  // Returns nullptr if the request was erased or never added.
  RequestState* Find(std::int64_t number);
  // Returns whether the request is in the table and has no response yet.
  bool IsAwaitingResponse(std::int64_t number) const;
  // Erases the request if it has a response and all its attempts have an outcome.
  void EraseIfFinished(std::int64_t number);

 private:
  std::unordered_map<std::int64_t, RequestState> requests_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_REQUEST_TABLE_H_

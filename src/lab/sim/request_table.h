// The requests of a simulated run that are unanswered or have an attempt without an outcome. Filled by the
// load generator, kept up to date by the initiators, read by the storage servers. Owned by Simulation; used
// on its one thread.
#ifndef WALNUTSPUR_LAB_SIM_REQUEST_TABLE_H_
#define WALNUTSPUR_LAB_SIM_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::lab::sim {

// An attempt as its initiator knows it.
struct AttemptState {
  int server = -1;
  bool ended = false;  // its outcome is known
  Time sent = 0;       // us
};

// A request as its initiator knows it.
struct RequestState {
  int initiator = 0;
  std::size_t request_class = 0;  // index into Experiment::classes
  Time received = 0;              // us
  Time deadline = 0;              // us
  std::int64_t units = 0;         // thousandths of a unit
  bool has_response = false;
  bool places_new_object = false;
  std::size_t volume = 0;  // number of its volume
  std::string key;         // of its object
  std::vector<AttemptState> attempts;
};

// The open requests, by number.
class RequestTable {
 public:
  // Adds a request under its number; the reference holds until it is erased.
  RequestState& Add(std::int64_t number, RequestState request);
  // nullptr if the request is settled or was never added.
  RequestState* Find(std::int64_t number);
  // Whether the client still waits for the response.
  bool IsAwaitingResponse(std::int64_t number) const;
  // Erases a request that is answered and has no attempt without an outcome.
  void EraseIfFinished(std::int64_t number);

 private:
  std::unordered_map<std::int64_t, RequestState> requests_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_REQUEST_TABLE_H_

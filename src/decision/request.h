// Record of one client request in the scheduler. Plain data: what is done with it is decided elsewhere.
#ifndef WALNUTSPUR_DECISION_REQUEST_H_
#define WALNUTSPUR_DECISION_REQUEST_H_

#include <memory>
#include <string>

#include "walnutspur/types.h"

namespace walnutspur::decision {

struct Flow;
struct TargetState;

// First attempt of a request whose effect may have taken place.
struct PossibleEffect {
  Time sent_at = -1;  // -1: no attempt may have run
  int shard = -1;
  int zone = -1;

  bool exists() const { return sent_at >= 0; }
};

// One client request, from its arrival to its final response and the end of its last attempt.
struct RequestState : std::enable_shared_from_this<RequestState> {
  RequestId id;
  int class_index = 0;
  std::string key;  // of the data, by which requests are ordered (key_order.h); not the idempotency key
  double units = 1;
  Time arrived_at = 0;
  Time objective_at = 0;  // end of the latency objective
  Time deadline = 0;
  bool any_target = false;          // a new object: any target may hold it
  bool limit_charged = false;       // has been charged to its volume's limit
  bool finished = false;            // has its final response
  int attempts = 0;                 // sent so far
  TargetState* target = nullptr;    // of the attempt in flight, or null
  Time sent_at = 0;                 // of the latest attempt
  int cancelled_attempt = 0;        // the latest attempt cancelled as overtaken, counted from 1; 0: none
  double arrival_virtual_time = 0;  // of the target, when the request was queued
  PossibleEffect possible_effect;
  Flow* flow = nullptr;  // queued or last queued in; null before its first queueing
};

using RequestRef = std::shared_ptr<RequestState>;

// Whether an attempt with this outcome may have taken effect at the target.
bool MayHaveRun(Outcome outcome);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_REQUEST_H_

// The record of one client request in the scheduler. Plain data without decisions.
#ifndef WALNUTSPUR_DECISION_REQUEST_H_
#define WALNUTSPUR_DECISION_REQUEST_H_

#include <memory>
#include <string>

#include "walnutspur/types.h"

namespace walnutspur::decision {

struct Flow;
struct TargetState;

// The first attempt of a request that may have taken effect.
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
  std::string key;         // key of the data, used to order requests (key_order.h); not the idempotency key
  std::string new_object;  // name of the new object (object_locations.h); empty: an existing one
  double units = 1;
  Time arrived_at = 0;
  Time objective_at = 0;  // end of the latency objective
  Time deadline = 0;
  bool any_target = false;        // a new object, which any target may store
  bool limit_charged = false;     // the request has been charged to its volume's limit
  bool finished = false;          // the request has its final response
  int attempts = 0;               // number of attempts sent so far
  TargetState* target = nullptr;  // target of the attempt in flight, or null
  Time sent_at = 0;               // send time of the latest attempt
  int cancelled_attempt = 0;  // number of the latest attempt cancelled as overtaken, counted from 1; 0: none
  double arrival_virtual_time = 0;  // virtual time of the target when the request was queued
  PossibleEffect possible_effect;
  Flow* flow = nullptr;  // flow that the request is or was last queued in; null before
};

using RequestRef = std::shared_ptr<RequestState>;

// Returns whether an attempt with this outcome may have taken effect at the target.
bool MayHaveRun(Outcome outcome);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_REQUEST_H_

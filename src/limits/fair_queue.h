// Implements the tags of start-time fair queueing: flows share a server in proportion to their weights.
//
// Each flow has a virtual finish time and each server a virtual time. The start tag of a request is the later
// of its flow's virtual finish time and the server's virtual time when the request arrived. The request with
// the smallest start tag is served first. Tags are units divided by weight. No I/O, clock or thread; owned by
// the records of the scheduler.
#ifndef WALNUTSPUR_LIMITS_FAIR_QUEUE_H_
#define WALNUTSPUR_LIMITS_FAIR_QUEUE_H_

#include <algorithm>

namespace walnutspur::limits {

// The virtual time of a server: the largest start tag served so far.
struct VirtualClock {
  double time = 0;

  // Records that a request with `start_tag` was served.
  void Advance(double start_tag) { time = std::max(time, start_tag); }
};

// The virtual finish time of one flow.
struct FlowTag {
  double finish = 0;

  // Returns the start tag of a request that arrived when the server's virtual time was `arrival_time`.
  double StartTag(double arrival_time) const { return std::max(finish, arrival_time); }

  // Charges a request of `units` with start tag `start_tag` to the flow.
  void Charge(double start_tag, double units, double weight) { finish = start_tag + units / weight; }
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_FAIR_QUEUE_H_

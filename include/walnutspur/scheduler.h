// walnutspur: the decision logic of an initiator-side I/O scheduler for a shared pool of targets.
//
// This file and those it includes (settings, events, actions) are the complete interface. One Scheduler
// serves one initiator. It owns no thread, clock or socket: the initiator hands it each event with the time
// at which it happened, and carries out the returned actions in order. Equal settings, seed and
// events give equal actions.
#ifndef WALNUTSPUR_SCHEDULER_H_
#define WALNUTSPUR_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "walnutspur/actions.h"
#include "walnutspur/events.h"
#include "walnutspur/settings.h"
#include "walnutspur/types.h"

namespace walnutspur {

// Decides to which target and when each request is sent, and which requests are retried, rejected or failed.
// Not thread-safe.
class Scheduler {
 public:
  // `seed` initializes the random number generator.
  Scheduler(const Settings& settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Handles an event that happens at `now` (us) and returns the actions to carry out, in order. Events that
  // name an unknown request or target are ignored.
  std::vector<Action> Handle(const Event& event, Time now);

  // Returns the number of entries in all tables, to check that finished requests leave none behind.
  std::size_t table_entries() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace walnutspur

#endif  // WALNUTSPUR_SCHEDULER_H_

// How an initiator embeds the library: one volume, one target, and a loop that plays events and actions.
// The target here answers at once; a real initiator fills in its own I/O, clock and timers.
#include <cstdio>
#include <deque>
#include <variant>

#include "walnutspur/scheduler.h"

namespace hh = walnutspur;

int main() {
  hh::Settings settings;
  hh::RequestClass read;
  read.latency_objective = 200'000;
  read.deadline = 1'000'000;
  settings.classes.push_back(read);
  hh::Plan plan;
  plan.rate = 20;
  plan.reserved_rate = 10;
  settings.plans.push_back(plan);
  hh::Scheduler scheduler(settings, /*seed=*/1);

  hh::Endpoint disk;
  disk.target = "disk-a";
  disk.shard = 0;
  hh::RequestArrived request;
  request.id = "one";
  request.volume = "cards";
  request.ttl = 1'000'000;
  request.units = 2;
  request.shard = 0;
  std::deque<hh::Event> events{hh::Started{}, hh::EndpointUpdate{hh::EndpointUpdateKind::kFull, {disk}},
                               request};

  hh::Time now = 0;
  int served = 0;
  while (!events.empty()) {
    const hh::Event event = events.front();
    events.pop_front();
    for (const hh::Action& action : scheduler.Handle(event, now)) {
      if (const auto* send = std::get_if<hh::SendAttempt>(&action)) {
        now += 5'000;  // the target does its work
        hh::AttemptFinished done;
        done.id = send->id;
        done.target = send->target;
        done.latency = 5'000;
        done.request_finished = true;
        events.push_back(done);
        ++served;
      }  // a real initiator also arms Wake and passes Refuse and Fail to the client
    }
  }
  std::printf("%d served\n", served);
  return served == 1 ? 0 : 1;
}

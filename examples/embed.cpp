// How an initiator embeds the library: one volume, one target, and a loop that handles events and actions.
// The target here responds at once; a real initiator adds its own I/O, clock and timers.
#include <cstdio>
#include <deque>
#include <variant>

#include "walnutspur/scheduler.h"

namespace wsp = walnutspur;

namespace {

constexpr wsp::Time kServiceTime = 5'000;   // service time of the target, us
constexpr wsp::Time kDeadline = 1'000'000;  // time that the client waits, us

// Returns settings with one class of requests and one plan.
wsp::Settings MakeSettings() {
  wsp::RequestClass read;
  read.latency_objective = 200'000;
  read.deadline = kDeadline;
  wsp::Plan plan;
  plan.rate = 20;
  plan.reserved_rate = 10;
  wsp::Settings settings;
  settings.classes.push_back(read);
  settings.plans.push_back(plan);
  return settings;
}

// Returns an endpoint list with one target, which holds shard 0.
wsp::EndpointUpdate MakeEndpoints() {
  wsp::Endpoint disk;
  disk.target = "disk-a";
  disk.shard = 0;
  return {wsp::EndpointUpdateKind::kFull, {disk}};
}

wsp::RequestArrived MakeRequest() {
  wsp::RequestArrived request;
  request.id = "one";
  request.volume = "cards";
  request.ttl = kDeadline;
  request.units = 2;
  request.shard = 0;
  return request;
}

// Returns the target's response to an attempt.
wsp::AttemptFinished Complete(const wsp::SendAttempt& attempt) {
  wsp::AttemptFinished finished;
  finished.id = attempt.id;
  finished.target = attempt.target;
  finished.latency = kServiceTime;
  finished.request_finished = true;
  return finished;
}

// Handles `events` and the events that result from them, in order. Returns the number of attempts served.
int Run(wsp::Scheduler& scheduler, std::deque<wsp::Event> events) {
  wsp::Time now = 0;
  int served = 0;
  while (!events.empty()) {
    const wsp::Event event = events.front();
    events.pop_front();
    for (const wsp::Action& action : scheduler.Handle(event, now)) {
      if (const auto* attempt = std::get_if<wsp::SendAttempt>(&action)) {
        now += kServiceTime;
        events.emplace_back(Complete(*attempt));
        ++served;
      }  // a real initiator also starts timers and passes rejections and failures to the client
    }
  }
  return served;
}

}  // namespace

int main() {
  wsp::Scheduler scheduler(MakeSettings(), /*seed=*/1);
  const int served = Run(scheduler, {wsp::Started{}, MakeEndpoints(), MakeRequest()});
  std::printf("%d served\n", served);
  return served == 1 ? 0 : 1;
}

#include "lab/sim/checker.h"

#include <algorithm>
#include <utility>

#include "core/engine.h"

namespace walnutspur::lab {
namespace {

bool NeverRan(std::int64_t outcome) {
  const auto known = static_cast<Outcome>(outcome);
  return known == Outcome::kOverloaded || known == Outcome::kConnectFailed || known == Outcome::kNotSent;
}

std::int64_t Pair(int initiator, int box) {
  return static_cast<std::int64_t>(initiator) << 32 | static_cast<std::uint32_t>(box);
}

}  // namespace

void Checker::Break(const char* rule, const Entry& entry, std::string what) {
  if (++counts_[rule] == 1) {
    first_.push_back({rule, entry, std::move(what)});
  }
}

Checker::Request* Checker::Find(const Entry& entry) {
  const auto at = requests_.find(entry.request);
  return at == requests_.end() ? nullptr : &at->second;
}

// What nothing more can be said of is forgotten, so that long runs fit into memory: it is answered, each of
// its attempts has an outcome, and it ran at most once where it must not run twice.
void Checker::Settle(std::int64_t number) {
  const auto at = requests_.find(number);
  if (at == requests_.end() || !at->second.answered || at->second.unsafe) {
    return;
  }
  const auto& trials = at->second.trials;
  if (std::all_of(trials.begin(), trials.end(), [](const Trial& t) { return t.known; })) {
    requests_.erase(at);
  }
}

void Checker::OnSend(const Entry& e) {
  Request* r = Find(e);
  if (!r) {
    return Break("known", e, "an attempt of a request that nobody has asked, or that is over");
  }
  if (r->answered) {
    Break("after-answer", e, "an attempt of a request that has its answer");
  }
  if (e.trial != static_cast<int>(r->trials.size())) {
    Break("trial-order", e, "attempts are not numbered in order");
  }
  if (e.trial >= try_limit_) {
    Break("attempts", e, "more attempts than are allowed");
  }
  for (const Trial& trial : r->trials) {
    if (r->unsafe && (!trial.known || trial.may_have)) {
      Break("unsafe-resent", e, "sent again though an earlier attempt may have run");
    }
  }
  const auto heard = heard_.find(Pair(e.initiator, e.box));
  if (heard == heard_.end()) {
    Break("unlisted", e, "sent to a box that this initiator has not heard of");
  } else {
    if (heard->second.phase != EndpointState::kActive && e.at > heard->second.since + grace_) {
      Break("drain", e, "sent to a box later than the grace after the notice of its drain");
    }
    if (r->cell >= 0 && heard->second.cell != r->cell) {
      Break("cell", e, "sent to a box that has not its data");
    }
  }
  Trial trial;
  trial.box = e.box;
  r->trials.push_back(trial);
}

void Checker::OnAnswer(const Entry& e) {
  Request* r = Find(e);
  if (!r) {
    return Break("known", e, "an answer to a request that nobody has asked, or that is over");
  }
  if (r->answered) {
    return Break("one-answer", e, "a second answer");
  }
  r->answered = true;
  if (e.at > r->deadline + kLate) {
    Break("in-time", e, "the answer came after the client's deadline");
  }
  const auto verdict = static_cast<core::ResponseStatus>(e.a);
  if (verdict == core::ResponseStatus::kServed && r->runs == 0) {
    Break("served-unrun", e, "told to be served and never run");
  }
  if (verdict == core::ResponseStatus::kRejected && r->unsafe) {
    // "No, and a new try does no harm": the client will ask again.
    for (const Trial& trial : r->trials) {
      if (!trial.known || trial.may_have) {
        Break("refused-run", e, "refused though it may have run");
      }
    }
  }
  Settle(e.request);
}

void Checker::Take(const Entry& e) {
  if (ended_) {
    Break("end", e, "an entry after the end");
  }
  if (e.at < now_) {
    Break("time", e, "time ran backwards");
  }
  now_ = std::max(now_, e.at);
  Request* r = e.request >= 0 && e.what != What::kAsk && e.what != What::kClass ? Find(e) : nullptr;
  Trial* trial = r && e.trial >= 0 && e.trial < static_cast<int>(r->trials.size())
                     ? &r->trials[static_cast<std::size_t>(e.trial)]
                     : nullptr;
  switch (e.what) {
    case What::kRules:
      try_limit_ = e.a;
      grace_ = e.b;
      break;
    case What::kClass:
      classes_[e.request] = {e.a != 0, e.b};
      break;
    case What::kAsk: {
      const auto cls = classes_.find(e.a);
      if (cls == classes_.end()) {
        return Break("known", e, "a request of a class that is not there");
      }
      Request request;
      request.initiator = e.initiator;
      request.cell = e.box;
      request.units = e.b;
      request.unsafe = cls->second.unsafe;
      request.deadline = e.at + cls->second.deadline;
      if (!requests_.emplace(e.request, request).second) {
        Break("known", e, "the same request is asked twice");
      }
      break;
    }
    case What::kSend:
      OnSend(e);
      break;
    case What::kOutcome:
      if (!trial) {
        break;  // of a request that is over: nobody acts on it
      }
      if (std::exchange(trial->known, true)) {
        Break("one-outcome", e, "a second outcome of an attempt");
      }
      trial->may_have = !NeverRan(e.a);
      if (NeverRan(e.a) && trial->ran) {
        Break("never-ran", e, "told to have never run, and the box has run it");
      }
      Settle(e.request);
      break;
    case What::kAnswer:
      OnAnswer(e);
      break;
    case What::kTaken:
      held_[e.box] += e.b;
      if (trial && trial->box != e.box) {
        Break("delivered", e, "taken by a box that it was not sent to");
      }
      break;
    case What::kFull:
      break;
    case What::kBegin:
      if (!r) {
        break;
      }
      if (r->unsafe && std::exchange(r->begun, true)) {
        Break("unsafe-twice", e, "work that must not run twice has begun a second time");
      }
      if (trial) {
        trial->ran = true;
      }
      break;
    case What::kRan:
      held_[e.box] -= e.b;
      if (r) {
        ++r->runs;
      }
      break;
    case What::kDropped:
      held_[e.box] -= e.b;
      break;
    case What::kTold: {
      Heard& heard = heard_[Pair(e.initiator, e.box)];
      const auto phase = static_cast<EndpointState>(e.a);
      // A drain counts from its first notice; the end of the box does not begin a new grace.
      if (phase == EndpointState::kActive || heard.phase == EndpointState::kActive) {
        heard.since = e.at;
      }
      heard.phase = phase;
      heard.cell = e.b;
      break;
    }
    case What::kUp:
    case What::kDown:
      break;
    case What::kTopple:
      Break("cold", e, "a cold box was pushed over");
      break;
    case What::kLeft:
      if (held_[e.box] != e.b) {
        Break("units", e,
              "units that a box took are neither run nor dropped nor left: " +
                  std::to_string(held_[e.box] - e.b) + " thousandths");
      }
      break;
    case What::kEnd:
      ended_ = true;
      for (const auto& [number, request] : requests_) {
        if (!request.answered && request.deadline + kLate < e.at) {
          Entry open = e;
          open.request = number;
          Break("unanswered", open, "no answer by the end, and its deadline is over");
        }
      }
      break;
  }
}

}  // namespace walnutspur::lab

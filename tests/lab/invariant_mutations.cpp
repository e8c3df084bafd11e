#include "invariant_mutations.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

#include "base_experiment.h"
#include "lab/invariants/invariant_names.h"
#include "lab/sim/policies.h"

namespace walnutspur::lab::sim {
namespace {

using core::Output;
using core::Response;
using core::ResponseStatus;
using core::StartAttempt;
namespace name = invariants::name;
using Outputs = std::vector<Output>;

TestHooks OnOutputs(std::function<void(int, Time, Outputs*)> call) {
  TestHooks hooks;
  hooks.outputs = std::move(call);
  return hooks;
}

TestHooks OnDecisions(
    std::function<std::vector<Action>(const core::DecisionFunction&, const Event&, Time)> call) {
  TestHooks hooks;
  hooks.decide = [call = std::move(call)](core::DecisionFunction decide) -> core::DecisionFunction {
    return
        [decide = std::move(decide), call](const Event& event, Time now) { return call(decide, event, now); };
  };
  return hooks;
}

TestHooks OnEntries(std::function<bool(LogEntry*)> call) {
  TestHooks hooks;
  hooks.entry = std::move(call);
  return hooks;
}

// Returns hooks that call `change` for each attempt that an engine starts.
TestHooks OnStartedAttempts(const std::function<void(StartAttempt*)>& change) {
  return OnOutputs([change](int, Time, Outputs* outputs) {
    for (Output& output : *outputs) {
      if (auto* attempt = std::get_if<StartAttempt>(&output)) {
        change(attempt);
      }
    }
  });
}

template <typename Type>
TestHooks Duplicate() {
  return OnOutputs([](int, Time, Outputs* outputs) {
    for (std::size_t i = 0, size = outputs->size(); i < size; ++i) {
      if (std::holds_alternative<Type>((*outputs)[i])) {
        outputs->push_back((*outputs)[i]);
      }
    }
  });
}

TestHooks DropResponses() {
  return OnOutputs([responses = 0](int, Time, Outputs* outputs) mutable {
    std::erase_if(*outputs, [&](const Output& output) {
      return std::holds_alternative<Response>(output) && ++responses % 100 == 0;
    });
  });
}

TestHooks DelayResponses() {
  struct HeldOutput {
    Time since = 0;
    Output output;
  };
  return OnOutputs(
      [held = std::map<int, std::vector<HeldOutput>>()](int initiator, Time now, Outputs* outputs) mutable {
        Outputs next;
        for (Output& output : *outputs) {
          if (std::holds_alternative<Response>(output)) {
            held[initiator].push_back({now, output});
          } else {
            next.push_back(std::move(output));
          }
        }
        std::erase_if(held[initiator], [&](const HeldOutput& each) {
          if (now < each.since + 2'100'000) {
            return false;
          }
          next.push_back(each.output);
          return true;
        });
        *outputs = std::move(next);
      });
}

TestHooks RetryAllFailures() {
  return OnDecisions([](const core::DecisionFunction& decide, const Event& event, Time now) {
    std::vector<Action> actions = decide(event, now);
    const auto* finished = std::get_if<AttemptFinished>(&event);
    for (Action& action : actions) {
      if (finished && std::holds_alternative<FailRequest>(action)) {
        action = SendAttempt{finished->id, finished->target, 0};
      }
    }
    return actions;
  });
}

TestHooks IgnoreDrains() {
  return OnDecisions([](const core::DecisionFunction& decide, const Event& event, Time now) {
    const auto* update = std::get_if<EndpointUpdate>(&event);
    if (!update) {
      return decide(event, now);
    }
    EndpointUpdate changed = *update;
    for (Endpoint& endpoint : changed.endpoints) {
      endpoint.state = EndpointState::kActive;
    }
    return decide(changed, now);
  });
}

TestHooks AddFourthAttempt() {
  return OnOutputs([](int, Time, Outputs* outputs) {
    for (std::size_t i = 0, size = outputs->size(); i < size; ++i) {
      const auto* attempt = std::get_if<StartAttempt>(&(*outputs)[i]);
      if (!attempt || attempt->attempt != 2) {
        continue;
      }
      StartAttempt next = *attempt;
      next.attempt = 3;
      outputs->push_back(next);
    }
  });
}

TestHooks ChangeStatuses(const std::vector<ResponseStatus>& from, ResponseStatus replacement) {
  return OnOutputs([from, replacement](int, Time, Outputs* outputs) {
    for (Output& output : *outputs) {
      auto* response = std::get_if<Response>(&output);
      if (response != nullptr && std::find(from.begin(), from.end(), response->status) != from.end()) {
        response->status = replacement;
      }
    }
  });
}

TestHooks IgnoreSlowStart() {
  TestHooks hooks;
  hooks.decide = [](const core::DecisionFunction&) {
    return MakePolicy("at-once", BaseExperiment().SchedulerSettings(), 1);
  };
  return hooks;
}

TestHooks SendAfterResponse() {
  return OnOutputs(
      [last = std::map<core::RequestNumber, StartAttempt>()](int, Time, Outputs* outputs) mutable {
        for (std::size_t i = 0, size = outputs->size(); i < size; ++i) {
          if (const auto* attempt = std::get_if<StartAttempt>(&(*outputs)[i])) {
            last[attempt->request] = *attempt;
          }
          const auto* response = std::get_if<Response>(&(*outputs)[i]);
          if (!response || !last.contains(response->request)) {
            continue;
          }
          StartAttempt next = last[response->request];
          ++next.attempt;
          outputs->push_back(next);
        }
      });
}

TestHooks ReportAllAsOverloaded() {
  return OnEntries([](LogEntry* entry) {
    if (entry->type == LogEntryType::kOutcome) {
      entry->value = static_cast<int>(Outcome::kOverloaded);
    }
    return true;
  });
}

TestHooks OmitFinishedWork() {
  return OnEntries(
      [](LogEntry* entry) { return entry->type != LogEntryType::kWorkFinished || entry->request % 50 != 0; });
}

TestHooks SetClockBack() {
  return OnEntries([](LogEntry* entry) {
    if (entry->request % 50 == 7) {
      entry->at -= 1000;
    }
    return true;
  });
}

// Returns hooks that send the attempts for target `from` to `destination`; an empty `from` means all.
TestHooks Redirect(const TargetId& from, const TargetId& destination) {
  return OnStartedAttempts([from, destination](StartAttempt* attempt) {
    if (from.empty() || attempt->target == from) {
      attempt->target = destination;
    }
  });
}

std::vector<Mutation> InitiatorMutations() {
  return {
      {"responds twice", name::kOneResponse, Duplicate<Response>},
      {"drops one response in a hundred", name::kMissingResponse, DropResponses},
      {"delays responses", name::kResponseDeadline, DelayResponses},
      {"retries all failures", name::kUnsafeRetry, RetryAllFailures},
      {"ignores drains", name::kDrainGrace, IgnoreDrains},
      {"starts a fourth attempt", name::kMaxAttempts, AddFourthAttempt},
      {"numbers attempts from one", name::kAttemptNumber,
       [] { return OnStartedAttempts([](StartAttempt* attempt) { ++attempt->attempt; }); }},
      {"sends to a server without the shard", name::kWrongShard, [] { return Redirect("", "b0"); }},
      {"sends to servers before it is notified of them", name::kUnknownTarget,
       [] { return Redirect("b1", "b6"); }},
      {"reports failed work as served", name::kFalseServed,
       [] {
         return ChangeStatuses({ResponseStatus::kRejected, ResponseStatus::kTimedOut},
                               ResponseStatus::kServed);
       }},
      {"rejects requests that may have run", name::kFalseRejected,
       [] {
         return ChangeStatuses({ResponseStatus::kFailed, ResponseStatus::kTimedOut},
                               ResponseStatus::kRejected);
       }},
      {"ignores slow start and sends everything at once", name::kSlowStart, IgnoreSlowStart},
      {"sends after the response", name::kAttemptAfterResponse, SendAfterResponse},
      {"sends each attempt twice", name::kRepeatedWork, Duplicate<StartAttempt>},
  };
}

std::vector<Mutation> LogMutations() {
  return {
      {"reports all outcomes as overloaded", name::kFalseNotRun, ReportAllAsOverloaded},
      {"omits finished work", name::kUnaccountedWork, OmitFinishedWork},
      {"sets the clock back", name::kRecordOrder, SetClockBack},
  };
}

}  // namespace

std::vector<Mutation> Mutations() {
  std::vector<Mutation> all = InitiatorMutations();
  for (const Mutation& mutation : LogMutations()) {
    all.push_back(mutation);
  }
  return all;
}

}  // namespace walnutspur::lab::sim

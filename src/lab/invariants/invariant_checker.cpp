#include "lab/invariants/invariant_checker.h"

#include <utility>

#include "lab/invariants/invariant_table.h"

namespace walnutspur::lab::invariants {
namespace {

RequestId RequestOf(const Event& event) {
  return std::visit(
      [](const auto& body) {
        if constexpr (requires { body.request; }) {
          return body.request;
        } else {
          return kNoRequest;
        }
      },
      event.body);
}

int AttemptOf(const Event& event) {
  return std::visit(
      [](const auto& body) {
        if constexpr (requires { body.attempt; }) {
          return body.attempt;
        } else {
          return -1;
        }
      },
      event.body);
}

int ServerOf(const Event& event) {
  const auto* const sent = std::get_if<AttemptSent>(&event.body);
  return sent == nullptr ? kNoServer : sent->server;
}

// On real processes an attempt may reach its server after the response has reached the client.
RunState::Retention RetentionFor(RecordSource source) {
  return source == RecordSource::kSimulation ? RunState::Retention::kUnsettledRequests
                                             : RunState::Retention::kAllRequests;
}

}  // namespace

InvariantChecker::InvariantChecker(RecordSource source, const Tolerances& tolerances,
                                   ViolationHandler on_violation)
    : tolerances_(tolerances), on_violation_(std::move(on_violation)), run_(RetentionFor(source)) {
  for (const Invariant& invariant : AllInvariants()) {
    if (invariant.AppliesTo(source)) {
      invariants_.push_back(&invariant);
    }
  }
}

void InvariantChecker::Observe(const Event& event) {
  const RequestId request = RequestOf(event);
  const Observation observation{event, run_, tolerances_, run_.FindRequest(request),
                                run_.FindAttempt(request, AttemptOf(event))};
  const Invariant* current = nullptr;
  const auto report = [&](Finding finding) {
    const RequestId concerned = finding.request == kNoRequest ? request : finding.request;
    on_violation_(
        {std::string(current->name), event.at, concerned, ServerOf(event), std::move(finding.description)});
  };
  const FindingSink sink = std::ref(report);  // a reference needs no memory of its own
  for (const Invariant* invariant : invariants_) {
    current = invariant;
    invariant->check(observation, sink);
  }
  run_.Apply(event);
}

}  // namespace walnutspur::lab::invariants

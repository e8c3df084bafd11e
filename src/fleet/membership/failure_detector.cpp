#include "fleet/membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace walnutspur::fleet {
namespace {

// Members that are requested to probe a member whose ack has not arrived in time.
constexpr int kIndirectProbes = 3;
// Divisor of the protocol period; the quotient is the time after which indirect probes are requested.
constexpr Time kDirectTimeoutDivisor = 3;
// Divisor of the protocol period; the quotient is the time after which a relay replies with a nack.
constexpr Time kRelayTimeoutDivisor = 2;
// Protocol periods after a stall of this process during which missing acks are ignored.
constexpr Time kStallGracePeriods = 2;

}  // namespace

void FailureDetector::Start() {
  const auto period = static_cast<double>(state_.options.period);
  state_.timers.Start(static_cast<Time>(state_.draw() * period), [this](Time) { ProbeNext(); });
}

void FailureDetector::ProbeNext() {
  if (state_.left) {
    return;
  }
  state_.timers.Start(state_.health.Scale(state_.options.period), [this](Time) { ProbeNext(); });
  const std::string target = state_.schedule.Next();
  if (!target.empty()) {
    StartProbe(target);
  }
}

void FailureDetector::StartProbe(const std::string& target) {
  const std::uint64_t id = next_id_++;
  probes_[id].target = target;
  SendPing(state_.table.Get(target).address, target, id);
  const Time period = state_.options.period;
  state_.timers.Start(state_.health.Scale(period / kDirectTimeoutDivisor),
                      [this, id](Time) { RequestIndirectProbes(id); });
  // The probe ends one microsecond before the next one starts.
  state_.timers.Start(state_.health.Scale(period) - 1,
                      [this, id](Time lateness) { FinishProbe(id, lateness); });
}

void FailureDetector::SendPing(const std::string& address, const std::string& target, std::uint64_t probe) {
  Message ping;
  ping.kind = MessageKind::kPing;
  ping.probe = probe;
  ping.target = target;
  sender_.Send(address, std::move(ping));
}

void FailureDetector::RequestIndirectProbes(std::uint64_t id) {
  const auto at = probes_.find(id);
  if (at == probes_.end() || at->second.acked) {
    return;
  }
  const std::string target = at->second.target;
  const Record* known = state_.table.Find(target);
  if (!known) {
    return;
  }
  for (const std::string& relay : state_.PickRandom(kIndirectProbes, target)) {
    Message request;
    request.kind = MessageKind::kPingRequest;
    request.probe = id;
    request.target = target;
    request.target_address = known->address;
    sender_.Send(state_.table.Get(relay).address, std::move(request));
    ++at->second.relays;
  }
}

void FailureDetector::FinishProbe(std::uint64_t id, Time lateness) {
  const auto at = probes_.find(id);
  if (at == probes_.end()) {
    return;
  }
  const Probe probe = at->second;
  probes_.erase(at);
  if (probe.acked) {
    state_.health.Adjust(-1);
    return;
  }
  const Time period = state_.options.period;
  // This process did not run in time, so the ack may still be unread in its socket.
  if (lateness > period || state_.health.StalledSince(state_.timers.now() - kStallGracePeriods * period)) {
    state_.health.Adjust(1);
    return;
  }
  // Relays that send neither an ack nor a nack indicate that this member itself cannot be reached.
  state_.health.Adjust(probe.relays > 0 ? std::max(0, probe.relays - probe.nacks) : 1);
  const Record* known = state_.table.Find(probe.target);
  if (!known) {
    return;
  }
  if (known->state == MemberState::kAlive) {
    lifecycle_.Suspect(probe.target, state_.table.self_name());
  } else if (known->state == MemberState::kSuspect) {
    lifecycle_.ConfirmSuspicion(probe.target, state_.table.self_name());
  }
}

void FailureDetector::OnPing(const Message& message) {
  if (message.target != state_.table.self_name()) {
    return;
  }
  Message ack;
  ack.kind = MessageKind::kAck;
  ack.probe = message.probe;
  ack.target = state_.table.self_name();
  sender_.Send(message.from_address, std::move(ack));
}

void FailureDetector::OnPingRequest(const Message& message) {
  const std::uint64_t id = next_id_++;
  relays_[id] = {message.from_address, message.probe, message.target};
  const Record* known = state_.table.Find(message.target);
  SendPing(known ? known->address : message.target_address, message.target, id);
  state_.timers.Start(state_.options.period / kRelayTimeoutDivisor,
                      [this, id](Time lateness) { FinishRelay(id, lateness); });
}

void FailureDetector::FinishRelay(std::uint64_t id, Time lateness) {
  const auto at = relays_.find(id);
  if (at == relays_.end()) {
    return;
  }
  if (lateness < state_.options.period) {
    Reply(at->second, MessageKind::kNack);
  }
  relays_.erase(at);
}

void FailureDetector::OnAck(const Message& message) {
  const auto relay = relays_.find(message.probe);
  if (relay != relays_.end() && relay->second.target == message.target) {
    Reply(relay->second, MessageKind::kAck);
    relays_.erase(relay);
    return;
  }
  if (Probe* probe = FindProbe(message)) {
    probe->acked = true;
  }
}

void FailureDetector::OnNack(const Message& message) {
  if (Probe* probe = FindProbe(message)) {
    ++probe->nacks;
  }
}

void FailureDetector::Reply(const Relay& relay, MessageKind kind) {
  Message reply;
  reply.kind = kind;
  reply.probe = relay.requester_probe;
  reply.target = relay.target;
  sender_.Send(relay.requester_address, std::move(reply), Piggyback::kNone);
}

FailureDetector::Probe* FailureDetector::FindProbe(const Message& message) {
  const auto at = probes_.find(message.probe);
  return at != probes_.end() && at->second.target == message.target ? &at->second : nullptr;
}

}  // namespace walnutspur::fleet

#include "fleet/membership/membership.h"

#include <algorithm>

namespace walnutspur::fleet {
namespace {

// Time without a reply from a peer after which this member starts a fleet alone, us.
constexpr Time kJoinTimeout = 3'000'000;
// Minimum interval between updates of a member's facts, us.
constexpr Time kMinPublishInterval = 5'000'000;
// Minimum interval between updates of a member's facts for each member of the fleet, us. Limits the total
// rate of updates in the fleet.
constexpr Time kPublishIntervalPerMember = 200'000;
// Lateness of a timer above which the process counts as stalled: the greater of kMinStall, in us, and
// kStallPeriods protocol periods.
constexpr Time kMinStall = 1'000'000;
constexpr Time kStallPeriods = 5;
// Members to which a leaving member sends its departure directly.
constexpr std::size_t kLeaveFanout = 2 * kGossipFanout;

// Removes all but the kMaxReportedConnections targets with the most connections.
void LimitConnections(Facts& facts) {
  while (facts.connections.size() > kMaxReportedConnections) {
    facts.connections.erase(
        std::min_element(facts.connections.begin(), facts.connections.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

}  // namespace

Membership::Membership(MembershipOptions options, std::function<double()> draw)
    : state_(std::move(options), std::move(draw)),
      sender_(state_),
      disseminator_(state_, sender_),
      lifecycle_(state_, disseminator_),
      updates_(state_, sender_, lifecycle_),
      detector_(state_, sender_, lifecycle_),
      anti_entropy_(state_, sender_),
      admission_(state_, sender_) {}

std::vector<Action> Membership::Start(Time now) {
  state_.timers.AdvanceTo(now);
  std::erase(state_.options.peers, state_.options.address);
  Record self;
  self.name = state_.options.name;
  self.address = state_.options.address;
  self.incarnation = static_cast<std::uint64_t>(now);
  self.started_at = now;
  self.reported_by = self.name;
  self.facts.started_at = now;
  self.facts.building = state_.options.building;
  lifecycle_.Store(self);
  detector_.Start();
  anti_entropy_.Start();
  if (state_.options.peers.empty()) {
    state_.joined = true;
    self.facts.phase = Phase::kServing;
    lifecycle_.Store(self);
  }
  state_.timers.Start(kJoinTimeout, [this](Time) { JoinAlone(); });
  return TakeActions();
}

std::vector<Action> Membership::HandleMessage(const Message& message, Time now) {
  state_.timers.AdvanceTo(now);
  if (!state_.terminated && admission_.Admit(message)) {
    Dispatch(message);
  }
  UpdateConvergence();
  return TakeActions();
}

std::vector<Action> Membership::HandleTimer(std::uint64_t id, Time now) {
  state_.timers.AdvanceTo(now);
  if (state_.terminated) {
    return TakeActions();
  }
  const auto expired = state_.timers.Take(id);
  if (!expired) {
    return TakeActions();
  }
  if (expired->lateness > std::max(kStallPeriods * state_.options.period, kMinStall)) {
    ++state_.counters.stalls;
    state_.health.RecordStall(state_.timers.now());
  }
  expired->callback(expired->lateness);
  UpdateConvergence();
  return TakeActions();
}

std::vector<Action> Membership::Publish(Facts facts, Time now) {
  state_.timers.AdvanceTo(now);
  Record self = state_.table.self();
  facts.version = self.facts.version;
  facts.started_at = self.facts.started_at;
  facts.building = state_.options.building;
  if (!state_.joined) {
    facts.phase = Phase::kJoining;
  }
  LimitConnections(facts);
  if (state_.left || facts == self.facts) {
    return TakeActions();
  }
  const bool phase_changed = facts.phase != self.facts.phase;
  const Time interval = std::max(kMinPublishInterval, state_.table.live_count() * kPublishIntervalPerMember);
  if (!phase_changed && state_.timers.now() - published_at_ < interval) {
    return TakeActions();
  }
  published_at_ = state_.timers.now();
  ++facts.version;
  self.facts = std::move(facts);
  lifecycle_.StoreAndBroadcast(self);
  return TakeActions();
}

std::vector<Action> Membership::Leave(Time now) {
  state_.timers.AdvanceTo(now);
  if (state_.left) {
    return TakeActions();
  }
  state_.left = true;
  Record self = state_.table.self();
  self.state = MemberState::kLeft;
  lifecycle_.Store(self);
  // The process may exit immediately, so several members are notified now and disseminate the departure.
  Message message;
  message.updates = {self};
  for (const std::string& name : state_.PickRandom(kLeaveFanout)) {
    sender_.Send(state_.table.Get(name).address, message, Piggyback::kNone);
  }
  return TakeActions();
}

std::size_t Membership::EntryCount() const {
  return state_.table.entries().size() + state_.schedule.size() + state_.timers.size() +
         state_.broadcasts.size() + lifecycle_.size() + detector_.size();
}

void Membership::JoinAlone() {
  if (!state_.joined && !state_.left) {
    MarkJoined();
  }
}

void Membership::MarkJoined() {
  state_.joined = true;
  Record self = state_.table.self();
  self.facts.phase = Phase::kServing;
  ++self.facts.version;
  lifecycle_.Store(self);
}

void Membership::Dispatch(const Message& message) {
  for (const Record& update : message.updates) {
    updates_.ApplyUpdate(update);
  }
  const Record* sender = state_.table.Find(message.from);
  if (sender && sender->started_at == message.started_at) {
    state_.replays.Advance(message.from, message.sequence_number);
    state_.convergence.Observe(message.from, message.hash == state_.table.hash());
  }
  switch (message.kind) {
    case MessageKind::kPing:
      return detector_.OnPing(message);
    case MessageKind::kPingRequest:
      return detector_.OnPingRequest(message);
    case MessageKind::kAck:
      return detector_.OnAck(message);
    case MessageKind::kNack:
      return detector_.OnNack(message);
    case MessageKind::kDigestReply:
      if (!state_.joined) {
        MarkJoined();
        disseminator_.Broadcast(state_.table.self_name());
      }
      return anti_entropy_.OnDigest(message);
    case MessageKind::kDigest:
      return anti_entropy_.OnDigest(message);
    case MessageKind::kGossip:
    case MessageKind::kConflict:
      return;
  }
}

void Membership::UpdateConvergence() {
  const bool converged = state_.table.suspect_count() == 0 && state_.joined &&
                         state_.convergence.Agreed(state_.table.live_count());
  if (converged) {
    state_.broadcasts.Clear();  // all members have received the updates
  }
  if (converged == converged_) {
    return;
  }
  converged_ = converged;
  state_.actions.emplace_back(ConvergenceChanged{converged});
}

}  // namespace walnutspur::fleet

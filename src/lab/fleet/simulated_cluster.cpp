#include "lab/fleet/simulated_cluster.h"

#include <algorithm>
#include <utility>

namespace walnutspur::lab {
namespace {

constexpr std::size_t kMaxRecorded = 4096;        // datagrams
constexpr std::size_t kMaxPendingMessages = 200;  // of a stopped process, as a socket's buffer is limited
constexpr std::size_t kHeaderSize = 28;           // bytes of IP and UDP
constexpr Time kCheckInterval = 50'000;           // us between checks of the awaited condition
constexpr int kMembersPerSubnet = 250;

// Name of the fleet and of the random stream. It must not change: its length is part of the counted sizes,
// and with another name of the stream each seed would give another run.
constexpr const char* kClusterName = "town";

}  // namespace

SimulatedCluster::SimulatedCluster(ClusterOptions options)
    : options_(options), random_(options.seed, kClusterName), codec_(kClusterName, "") {
  for (int i = 0; i < options_.members; ++i) {
    AddMember(i);
  }
}

void SimulatedCluster::AddMember(int member) {
  SimulatedMember added;
  added.name = "m" + std::to_string(member);
  added.address = "127.1." + std::to_string(member / kMembersPerSubnet) + "." +
                  std::to_string(member % kMembersPerSubnet + 1) + ":7000";
  member_by_address_[added.address] = member;
  members_.push_back(std::move(added));
}

int SimulatedCluster::StartDuplicate(int member) {
  const int duplicate = static_cast<int>(members_.size());
  AddMember(duplicate);
  at(duplicate).name = at(member).name;
  Start(duplicate);
  return duplicate;
}

void SimulatedCluster::Start(int member) {
  SimulatedMember& started = at(member);
  started.process_id = next_process_id_++;
  started.stopped = false;
  started.replica.clear();
  started.pending_messages.clear();
  started.pending_timers.clear();
  started.termination_error.clear();
  started.last_change = 0;
  started.started_at = now_;
  started.random = std::make_unique<Random>(options_.seed, "draw", started.process_id);
  fleet::MembershipOptions options;
  options.name = started.name;
  options.address = started.address;
  options.building = member % 2 ? "east" : "west";
  options.period = options_.period;
  options.lifeguard = options_.lifeguard;
  for (int i = 0; i < std::min(options_.peers, options_.members); ++i) {
    options.peers.push_back(at(i).address);
  }
  started.membership = std::make_unique<fleet::Membership>(
      options, [random = started.random.get()] { return random->Uniform(); });
  Execute(member, started.membership->Start(ClockOf(started)));
}

void SimulatedCluster::Crash(int member) {
  at(member).membership.reset();
  at(member).process_id = 0;
}

void SimulatedCluster::Leave(int member) {
  Execute(member, at(member).membership->Leave(ClockOf(at(member))));
  Crash(member);
}

void SimulatedCluster::Stop(int member) { at(member).stopped = true; }

void SimulatedCluster::Resume(int member) {
  SimulatedMember& resumed = at(member);
  if (!resumed.stopped || !resumed.membership) {
    return;
  }
  resumed.stopped = false;
  // Timers fire first, as in an event loop; then the messages in the socket are read.
  for (const std::uint64_t timer : std::exchange(resumed.pending_timers, {})) {
    if (resumed.membership) {
      Execute(member, resumed.membership->HandleTimer(timer, ClockOf(resumed)));
    }
  }
  for (const fleet::Message& message : std::exchange(resumed.pending_messages, {})) {
    if (resumed.membership) {
      Execute(member, resumed.membership->HandleMessage(message, ClockOf(resumed)));
    }
  }
}

void SimulatedCluster::Deliver(int receiver, std::shared_ptr<const fleet::Message> message, Time delay) {
  Event event;
  event.at = now_ + delay;
  event.order = next_order_++;
  event.member = receiver;
  event.message = std::move(message);
  events_.push(std::move(event));
}

void SimulatedCluster::Execute(int member, std::vector<fleet::Action> actions) {
  for (fleet::Action& action : actions) {
    if (auto* datagram = std::get_if<fleet::SendDatagram>(&action)) {
      Send(member, std::move(*datagram));
    } else if (const auto* timer = std::get_if<fleet::StartTimer>(&action)) {
      StartTimer(member, *timer);
    } else if (const auto* change = std::get_if<fleet::MemberChanged>(&action)) {
      ApplyChange(member, *change);
    } else if (const auto* removed = std::get_if<fleet::MemberRemoved>(&action)) {
      at(member).replica.erase(removed->name);
    } else if (const auto* conflict = std::get_if<fleet::NameConflict>(&action)) {
      at(member).termination_error = conflict->error;
      Crash(member);
      return;
    }
  }
}

void SimulatedCluster::Send(int sender, fleet::SendDatagram datagram) {
  ++datagrams_;
  if (options_.measure_sizes) {
    MeasureSize(datagram.message);
  }
  const auto addressee = member_by_address_.find(datagram.address);
  if (addressee == member_by_address_.end()) {
    return;
  }
  const int receiver = addressee->second;
  if (mutate && !mutate(sender, receiver, &datagram.message)) {
    return;
  }
  const auto message = std::make_shared<const fleet::Message>(std::move(datagram.message));
  recorded_.push_back(message);
  if (recorded_.size() > kMaxRecorded) {
    recorded_.pop_front();
  }
  if (passes_ && !passes_(sender, receiver)) {
    return;
  }
  if (options_.loss > 0 && random_.Chance(options_.loss)) {
    return;
  }
  Deliver(receiver, message, DrawDelay());
  if (options_.duplication > 0 && random_.Chance(options_.duplication)) {
    Deliver(receiver, message, DrawDelay());
  }
}

void SimulatedCluster::MeasureSize(const fleet::Message& message) {
  const std::size_t size = codec_.Encode(message).size();
  bytes_ += size + kHeaderSize;
  largest_datagram_ = std::max(largest_datagram_, size);
}

Time SimulatedCluster::DrawDelay() {
  return static_cast<Time>(
      random_.Between(static_cast<double>(options_.min_delay), static_cast<double>(options_.max_delay)));
}

void SimulatedCluster::StartTimer(int member, const fleet::StartTimer& timer) {
  Event event;
  event.at = now_ + static_cast<Time>(static_cast<double>(timer.delay) / at(member).clock_rate);
  event.order = next_order_++;
  event.member = member;
  event.process_id = at(member).process_id;
  event.timer = timer.id;
  events_.push(std::move(event));
}

void SimulatedCluster::ApplyChange(int member, const fleet::MemberChanged& change) {
  SimulatedMember& reporter = at(member);
  const fleet::Record& record = change.record;
  if (change.sequence_number != reporter.last_change + 1) {
    ++out_of_order_changes_;
  }
  reporter.last_change = change.sequence_number;
  const auto before = reporter.replica.find(record.name);
  if (before != reporter.replica.end() &&
      (record.incarnation < before->second.incarnation ||
       (record.incarnation == before->second.incarnation && record.state < before->second.state))) {
    ++out_of_order_changes_;
  }
  if (record.state == fleet::MemberState::kFailed) {
    CountFalseFailures(record);
  }
  reporter.replica[record.name] = record;
}

void SimulatedCluster::CountFalseFailures(const fleet::Record& failed) {
  for (const SimulatedMember& member : members_) {
    if (member.name == failed.name && member.running() && failed.started_at >= member.started_at) {
      ++false_failures_;
    }
  }
}

void SimulatedCluster::Handle(const Event& event) {
  SimulatedMember& member = at(event.member);
  if (!member.membership) {
    return;
  }
  if (!event.message && event.process_id != member.process_id) {
    return;
  }
  if (member.stopped) {
    if (!event.message) {
      member.pending_timers.push_back(event.timer);
    } else if (member.pending_messages.size() < kMaxPendingMessages) {
      member.pending_messages.push_back(*event.message);
    }
    return;
  }
  Execute(event.member, event.message ? member.membership->HandleMessage(*event.message, ClockOf(member))
                                      : member.membership->HandleTimer(event.timer, ClockOf(member)));
}

void SimulatedCluster::Run(Time duration) {
  const Time until = now_ + duration;
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    Handle(event);
  }
  now_ = until;
}

Time SimulatedCluster::RunUntil(const std::function<bool()>& condition, Time timeout) {
  const Time from = now_;
  while (now_ - from <= timeout) {
    if (condition()) {
      return now_ - from;
    }
    Run(kCheckInterval);
  }
  return -1;
}

Time SimulatedCluster::RunUntilConverged(Time timeout) {
  return RunUntil([this] { return Converged(); }, timeout);
}

Time SimulatedCluster::RunUntilFailed(int member, Time timeout) {
  return RunUntil([&] { return IsDeadEverywhere(members_, name(member)); }, timeout);
}

}  // namespace walnutspur::lab

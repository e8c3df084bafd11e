// Simulates a fleet in virtual time: members crash, stop, restart and are partitioned, on a network that
// loses, delays, duplicates and replays datagrams. Checks their tables against the state of the simulated
// processes.
//
// Owns the members, their timers and all datagrams in flight; used on one thread. All random numbers depend
// on the seed only, so the same seed gives the same run. Times are microseconds.
#ifndef WALNUTSPUR_LAB_FLEET_SIMULATED_CLUSTER_H_
#define WALNUTSPUR_LAB_FLEET_SIMULATED_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "fleet/codec/codec.h"
#include "fleet/membership/membership.h"
#include "lab/fleet/cluster_invariants.h"
#include "lab/fleet/simulated_member.h"
#include "lab/random.h"

namespace walnutspur::lab {

struct ClusterOptions {
  int members = 9;
  std::uint64_t seed = 1;
  int peers = 3;  // number of first members that all are configured to contact
  Time period = 200'000;
  bool lifeguard = true;
  double loss = 0;  // probabilities that a datagram is lost or duplicated
  double duplication = 0;
  Time min_delay = 300;
  Time max_delay = 2'600;
  bool measure_sizes = false;  // whether datagrams are encoded to count their bytes
};

class SimulatedCluster {
 public:
  explicit SimulatedCluster(ClusterOptions options);

  void Start(int member);   // starts a new process with its name and address
  void Crash(int member);   // ends its process without an announcement
  void Leave(int member);   // announces that it leaves, then ends its process
  void Stop(int member);    // as by SIGSTOP: timers and messages are queued
  void Resume(int member);  // as by SIGCONT: queued timers and messages are processed
  // Makes the member's clock run `rate` times as fast as virtual time.
  void SetClockRate(int member, double rate) { at(member).clock_rate = rate; }
  // Drops all datagrams for which `passes` returns false; if null, drops none.
  void SetPartition(std::function<bool(int sender, int receiver)> passes) { passes_ = std::move(passes); }
  void SetLoss(double probability) { options_.loss = probability; }
  // Starts a second process with the name of `member` at another address. Returns its member index.
  int StartDuplicate(int member);
  // Delivers a message to a member as if another one had sent it.
  void Inject(int receiver, const fleet::Message& message) {
    Deliver(receiver, std::make_shared<const fleet::Message>(message), 1);
  }

  void Run(Time duration);
  // Runs until there is no violation. Returns the elapsed virtual time, or -1 if it exceeds `timeout`.
  Time RunUntilConverged(Time timeout);
  // Runs until each running member has `member` as failed or left, or has no record of it. Returns the
  // elapsed virtual time, or -1 if it exceeds `timeout`.
  Time RunUntilFailed(int member, Time timeout);

  Time now() const { return now_; }
  bool has_process(int member) const { return at(member).membership != nullptr; }
  const fleet::Membership& membership(int member) const { return *at(member).membership; }
  const std::string& name(int member) const { return at(member).name; }
  // Returns the error with which the membership terminated the member's process; empty if it did not.
  const std::string& termination_error(int member) const { return at(member).termination_error; }
  // Returns the first violation of the invariants; empty if there is none.
  std::string FindViolation() const { return lab::FindViolation(members_); }
  bool Converged() const { return FindViolation().empty(); }
  // Returns how often a member's table changed a running member to failed, in total.
  int false_failures() const { return false_failures_; }
  // Returns the number of changes that were reported out of order.
  int out_of_order_changes() const { return out_of_order_changes_; }
  // Return totals of the network; bytes include the IP and UDP headers.
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t bytes() const { return bytes_; }
  std::size_t largest_datagram() const { return largest_datagram_; }
  // Returns the datagram that was sent to a member `back` datagrams before the last one, for replays; null if
  // it is not recorded.
  const fleet::Message* Recorded(std::size_t back) const {
    return back < recorded_.size() ? recorded_[recorded_.size() - 1 - back].get() : nullptr;
  }
  // Called with each message before it is sent; may change it. If it returns false, the message is dropped.
  std::function<bool(int sender, int receiver, fleet::Message*)> mutate;

 private:
  struct Event {
    Time at = 0;
    std::uint64_t order = 0;
    int member = 0;
    std::uint64_t process_id = 0;  // process that started the timer
    std::uint64_t timer = 0;
    std::shared_ptr<const fleet::Message> message;  // null if the event is a timer
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  SimulatedMember& at(int member) { return members_[static_cast<std::size_t>(member)]; }
  const SimulatedMember& at(int member) const { return members_[static_cast<std::size_t>(member)]; }
  // Returns the time of the member's clock.
  Time ClockOf(const SimulatedMember& member) const {
    return member.started_at +
           static_cast<Time>(static_cast<double>(now_ - member.started_at) * member.clock_rate);
  }
  void AddMember(int member);
  void Execute(int member, std::vector<fleet::Action> actions);
  void Send(int sender, fleet::SendDatagram datagram);
  void MeasureSize(const fleet::Message& message);
  void StartTimer(int member, const fleet::StartTimer& timer);
  void ApplyChange(int member, const fleet::MemberChanged& change);
  void CountFalseFailures(const fleet::Record& failed);
  Time DrawDelay();
  void Deliver(int receiver, std::shared_ptr<const fleet::Message> message, Time delay);
  void Handle(const Event& event);
  Time RunUntil(const std::function<bool()>& condition, Time timeout);

  ClusterOptions options_;
  Random random_;
  Time now_ = 1'700'000'000'000'000;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_process_id_ = 1;
  std::vector<SimulatedMember> members_;
  std::map<std::string, int> member_by_address_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::function<bool(int, int)> passes_;
  fleet::Codec codec_;
  int false_failures_ = 0;
  int out_of_order_changes_ = 0;
  std::uint64_t datagrams_ = 0;
  std::uint64_t bytes_ = 0;
  std::size_t largest_datagram_ = 0;
  std::deque<std::shared_ptr<const fleet::Message>> recorded_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_SIMULATED_CLUSTER_H_

// Who is in the fleet: each member's own view, kept by SWIM with Lifeguard's additions and anti-entropy.
//
// SWIM (Das, Gupta, Motivala 2002): each period one member is probed, by others if it does not answer itself;
// who does not answer is suspect, and gone once nobody refutes that; news ride on the messages. Lifeguard
// (Dadgar, Phillips, Currey 2018): a member that notices its own slowness waits longer, a suspicion shortens
// with each further member that says so, and a suspect is told first of all. Digests of the whole view are
// compared once a second, so that a lost rumour does not stay lost.
//
// No I/O, clock, thread or randomness: messages, times and draws come in, messages, waits and changes go out.
// One owner. Times are microseconds of Unix time.
#ifndef WALNUTSPUR_FLEET_VIEW_VIEW_H_
#define WALNUTSPUR_FLEET_VIEW_VIEW_H_

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/view/member.h"

namespace walnutspur::fleet {

struct ViewOptions {
  std::string name, address, building;
  std::vector<std::string> peers;  // addresses that are asked first; one's own is passed over
  Time period = 200'000;           // us between probes of one member, 10 ms to 10 s
  bool lifeguard = true;           // off only to be measured against
};

// ---- what comes out ----

struct Datagram {
  std::string to;  // address
  Message message;
};
struct Wait {  // play Rang with this number after so long
  std::uint64_t number = 0;
  Time after = 0;
};
// One step of one member. Of a name incarnations never go back, each step is told once, and a reader that
// applies them in order of `number` holds what the view holds.
struct Change {
  std::uint64_t number = 0;
  Record record;
};
struct Forgotten {  // a member that is gone or left for long is no longer kept
  std::string name;
};
struct Settled {
  bool settled = false;
};
struct End {  // this process must end: an older one has its name
  std::string why;
};
using Said = std::variant<Datagram, Wait, Change, Forgotten, Settled, End>;

struct Counters {
  std::uint64_t old_life = 0, replayed = 0, forged = 0, no_room = 0, stalls = 0, refuted = 0;
};

class View {
 public:
  // `draw` gives numbers spread evenly over [0, 1).
  View(ViewOptions options, std::function<double()> draw);

  std::vector<Said> Start(Time now);
  std::vector<Said> Handle(const Message& message, Time now);
  std::vector<Said> Rang(std::uint64_t number, Time now);
  // What this member tells of itself; version and start are the view's. Told on at most every five seconds,
  // more seldom in large fleets; a change of phase at once.
  std::vector<Said> Tell(Facts facts, Time now);
  std::vector<Said> Leave(Time now);

  struct Entry {
    Record record;
    Time since = 0;  // of its state
  };
  const std::map<std::string, Entry>& members() const { return shown_; }
  // Itself and those that are alive or suspect.
  int live() const { return live_; }
  // This member's part of what all members' clients ask, between 0 and 1.
  double part() const;
  bool settled() const { return settled_; }
  int suspects() const { return suspects_; }
  std::uint64_t hash() const { return hash_; }
  const Counters& counters() const { return counters_; }
  int slowness() const { return slowness_; }
  std::size_t remembered() const;
  const Record& self() const { return self_; }

 private:
  struct Member {
    Time since = 0;
    std::uint64_t number = 0;    // highest of its datagrams
    std::uint64_t heard_at = 0;  // the step of our view at which its hash was heard last,
    bool agreed = false;         // and whether it was ours
    std::size_t place = 0;       // in pool_, if it is live
    std::set<std::string> suspected_by;
    Time suspected = 0;      // since when
    std::uint64_t wait = 0;  // of the suspicion, or of a tombstone
  };
  struct Probe {
    std::string target;
    std::uint64_t number = 0;
    bool answered = false;
    int helpers = 0, nacks = 0;
  };
  struct Relay {
    std::string asker;
    std::uint64_t number = 0;
    std::string target;
    bool nacked = false;
  };
  struct Due {
    Time at = 0;
    std::function<void(Time late)> call;
  };

  // Messages.
  void On(const Message& m);
  void OnDigest(const Message& m);
  bool Admit(const Message& m);
  void Send(const std::string& to, Message m, std::size_t rumours = SIZE_MAX);
  void SendDigest(const std::string& to, Kind kind, std::vector<Record> records);
  std::vector<Record> InBuckets(const std::set<std::size_t>& which) const;
  void Hear(const Record& rumour);
  void HearOfSelf(const Record& rumour);

  // Steps of members.
  void Put(const Record& record);
  void Suspect(const std::string& name, const std::string& by);
  void Confirm(const std::string& name, const std::string& by);
  void Gone(const std::string& name, const std::string& by);
  void Raise(std::uint64_t above);
  void Spread(const std::string& name);
  void Drop(const std::string& name);
  Time Patience(const Member& member) const;

  // Waits.
  std::uint64_t After(Time after, std::function<void(Time late)> call);
  void Cancel(std::uint64_t number) { waits_.erase(number); }
  void Period(Time late);
  void Probed(const std::string& target);
  void ProbeEnds(std::uint64_t number, Time late);
  void AskHelpers(std::uint64_t number);
  void Gossip();
  void Compare();
  void Call();
  void Slower(int by);

  std::vector<std::string> Pick(std::size_t count, const std::set<std::string>& without);
  std::string NextTarget();
  void Count(const Record& record, int sign);
  void CheckSettled();
  void HearHash(Member& member, std::uint64_t hash);
  void Place(const std::string& name, bool live);
  std::vector<Said> Take() { return std::exchange(said_, {}); }
  Time Scaled(Time time) const { return time * (1 + slowness_); }

  ViewOptions options_;
  std::function<double()> draw_;
  Time now_ = 0, stalled_at_ = 0;
  Record self_;
  bool left_ = false, ended_ = false, synced_ = false, settled_ = false;
  int slowness_ = 0;  // Lifeguard's local health, 0: well
  std::uint64_t next_number_ = 0, next_wait_ = 1, next_probe_ = 1, next_change_ = 1;
  std::map<std::string, Entry> shown_;
  std::unordered_map<std::string, Member> members_;
  std::vector<std::string> round_;  // whom to probe in this round, from the back
  std::deque<std::string> urgent_;  // to be probed out of turn
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::map<std::uint64_t, Due> waits_;
  std::map<std::string, int> rumours_;  // times still to be told
  std::string next_rumour_;             // they take turns
  std::vector<std::string> pool_;       // the others that are live, in no order
  std::set<std::string> dead_names_;
  std::unordered_map<std::string, std::string> by_address_;
  std::uint64_t gossip_ = 0;  // its wait; 0: nothing to tell
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t hash_ = 0;
  std::uint64_t step_ = 0;      // of our view
  int agree_ = 0, differ_ = 0;  // others heard of since, by their hash
  int run_ = 0;                 // messages since, in a row, whose sender agreed
  Time told_at_ = 0;
  int live_ = 1, suspects_ = 0, lost_ = 0, dead_ = 0;
  Time lost_since_ = 0;
  Counters counters_;
  std::vector<Said> said_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_VIEW_VIEW_H_

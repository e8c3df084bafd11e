// A fleet of views in virtual time: members that crash, stop, come back and are cut off, on a network that
// loses, delays, doubles and replays. The verdict comes from what really is, which views are held against.
//
// Owns its views, their waits and all datagrams under way. Draws from its seed alone: the same seed gives the
// same run. Times are microseconds.
#ifndef WALNUTSPUR_LAB_FLEET_TOWN_H_
#define WALNUTSPUR_LAB_FLEET_TOWN_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "fleet/view/view.h"
#include "fleet/wire/codec.h"
#include "lab/random.h"

namespace walnutspur::lab {

struct TownOptions {
  int members = 9;
  std::uint64_t seed = 1;
  int seeds = 3;  // the first so many are the peers of the settings
  Time period = 200'000;
  bool lifeguard = true;
  double loss = 0, doubled = 0;
  Time delay_least = 300, delay_most = 2'600;
  bool sizes = false;  // datagrams are encoded, and their bytes counted
};

class Town {
 public:
  explicit Town(TownOptions options);

  void Start(int member);  // a new process under its name and address
  void Crash(int member);  // its process ends without a word
  void Leave(int member);  // it says goodbye and ends
  void Stop(int member);   // like SIGSTOP: what comes waits
  void Wake(int member);
  void Rate(int member, double rate) { at(member).rate = rate; }  // of its clock
  // Whether what `from` sends reaches `to`; replaces what was asked before.
  void Cut(std::function<bool(int from, int to)> passes) { passes_ = std::move(passes); }
  void Loss(double part) { options_.loss = part; }
  // A second process under the name of `member`, at another address; its number.
  int Twin(int member);
  void Inject(int to, const fleet::Message& message) {
    Post(to, std::make_shared<const fleet::Message>(message), 1);
  }

  void Run(Time span);
  // Runs until every living member holds just the living for alive, all agree, and nobody else is held for
  // alive; the time that took, or -1 if it did not come within `most`.
  Time RunUntilTrue(Time most);
  // Likewise until every living member holds `member` for gone or does not know it.
  Time RunUntilGone(int member, Time most);

  Time now() const { return now_; }
  bool alive(int member) const { return members_[static_cast<std::size_t>(member)].view != nullptr; }
  const fleet::View& view(int member) const { return *members_[static_cast<std::size_t>(member)].view; }
  std::string name(int member) const { return members_[static_cast<std::size_t>(member)].name; }
  bool True() const;
  std::string Wrong() const;  // the first thing that is not as it should be
  // Times that a living member was called gone by another that lived, over all pairs.
  int false_gone() const { return false_gone_; }
  // Steps that came out of order at a reader of changes.
  int disorder() const { return disorder_; }
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t bytes() const { return bytes_; }
  std::size_t largest() const { return largest_; }
  std::string ended(int member) const { return members_[static_cast<std::size_t>(member)].ended; }
  // Every datagram that was sent to a member, for those that replay it; the last so many.
  const fleet::Message* Recorded(std::size_t back) const {
    return back < recorded_.size() ? recorded_[recorded_.size() - 1 - back].get() : nullptr;
  }
  // Called with each datagram before it is sent: whether it goes, as it may have been changed.
  std::function<bool(int from, int to, fleet::Message*)> mutate;

 private:
  struct Held {
    std::string name, address;
    std::unique_ptr<fleet::View> view;  // null: no process
    bool stopped = false;
    double rate = 1;
    Time base = 0, clock = 0;  // of its clock: at `base` of the town's time it showed `clock`
    std::uint64_t life = 0;
    std::string ended;
    std::map<std::string, fleet::Record> told;  // by changes, as a reader applies them
    std::uint64_t last_change = 0;
    std::vector<std::pair<bool, std::uint64_t>> waiting;  // while stopped: waits that rang
    std::vector<fleet::Message> heard;                    // and what came
    std::unique_ptr<Random> random;
  };
  struct Event {
    Time at = 0;
    std::uint64_t order = 0;
    int member = 0;
    std::uint64_t life = 0, wait = 0;
    std::shared_ptr<const fleet::Message> message;  // null: a wait
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  Held& at(int member) { return members_[static_cast<std::size_t>(member)]; }
  Time Clock(const Held& h) const {
    return h.clock + static_cast<Time>(static_cast<double>(now_ - h.base) * h.rate);
  }
  void Open(int member);
  void Do(int member, std::vector<fleet::Said> said);
  void Post(int to, std::shared_ptr<const fleet::Message> message, Time after);
  void Play(const Event& event);

  TownOptions options_;
  Random random_;
  Time now_ = 1'700'000'000'000'000;
  std::uint64_t next_order_ = 0, next_life_ = 1;
  std::vector<Held> members_;
  std::map<std::string, int> by_address_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::function<bool(int, int)> passes_;
  fleet::Codec codec_{"town", ""};
  int false_gone_ = 0, disorder_ = 0;
  std::uint64_t datagrams_ = 0, bytes_ = 0;
  std::size_t largest_ = 0;
  std::deque<std::shared_ptr<const fleet::Message>> recorded_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_TOWN_H_

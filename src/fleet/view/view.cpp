#include "fleet/view/view.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace walnutspur::fleet {
namespace {

constexpr int kHelpers = 3;               // members that are asked to probe
constexpr int kSlowest = 8;               // Lifeguard's bound on local health
constexpr double kLeastPatience = 3;      // periods, times log10 of the members, until a suspect is gone
constexpr double kMostPatience = 4;       // times that, while nobody else suspects it
constexpr int kConfirmations = 3;         // by so many others the suspicion is at its shortest
constexpr double kTold = 3;               // times log2 of the members that each passes a rumour on
constexpr int kFanout = 3;                // members that a rumour is told at a time
constexpr Time kCompare = 1'000'000;      // us between comparisons of digests
constexpr Time kCall = 1'000'000;         // us between calls to those that are not reached
constexpr Time kAlone = 3'000'000;        // us without an answer of anybody: then this member is the first
constexpr Time kTellsEvery = 5'000'000;   // us between news of a member's facts, at least,
constexpr Time kTellsEach = 200'000;      // and so long for each member: all of them share the links
constexpr Time kKept = 600'000'000;       // us that a member that is gone is kept: old news must find it
constexpr std::size_t kMostDead = 1024;   // of those
constexpr std::size_t kMostLive = 4096;   // members; more are not taken
constexpr Time kFuture = 3'600'000'000;   // us that an incarnation may be ahead: they begin as the time
constexpr std::uint64_t kWindow = 256;    // datagrams that may overtake each other
constexpr std::size_t kRoom = 1'000;      // bytes of a datagram for rumours, as estimated by SizeOf
constexpr double kMuchLost = 0.25;        // part of the members lost at once: then it is we who are cut off
constexpr Time kMuchLostIn = 10'000'000;  // us
constexpr double kSample = 3;             // times log2 of the members that must agree for it to be settled

// FNV-1a with a final mix (SplitMix64): equal on all members, whatever their library.
std::uint64_t Mix(std::uint64_t x) {
  x ^= x >> 30, x *= 0xbf58476d1ce4e5b9, x ^= x >> 27, x *= 0x94d049bb133111eb;
  return x ^ (x >> 31);
}
std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return Mix(hash);
}
std::size_t BucketOf(const std::string& name) { return HashOf(name) % kBuckets; }

std::size_t SizeOf(const Record& r) {
  std::size_t size = 40 + r.name.size() + r.address.size() + r.by.size() + r.facts.building.size();
  for (const auto& [box, count] : r.facts.connections) size += 8 + box.size();
  return size;
}

bool IsDead(State state) { return state == State::kGone || state == State::kLeft; }

}  // namespace

const char* NameOf(const Record& r) {
  switch (r.state) {
    case State::kSuspect:
      return "suspect";
    case State::kGone:
      return "gone";
    case State::kLeft:
      return "left";
    case State::kAlive:
      break;
  }
  return r.facts.phase == Phase::kJoining    ? "joining"
         : r.facts.phase == Phase::kDraining ? "draining"
                                             : "alive";
}

View::View(ViewOptions options, std::function<double()> draw)
    : options_(std::move(options)), draw_(std::move(draw)) {}

// ---- what comes in ----

std::vector<Said> View::Start(Time now) {
  now_ = now;
  self_ = {options_.name,
           options_.address,
           static_cast<std::uint64_t>(now),
           now,
           State::kAlive,
           options_.name,
           {}};
  self_.facts.started_at = now;
  self_.facts.building = options_.building;
  std::erase(options_.peers, options_.address);
  Put(self_);
  // All members that start at once must not probe and compare at the same moments.
  After(static_cast<Time>(draw_() * static_cast<double>(options_.period)), [this](Time l) { Period(l); });
  After(static_cast<Time>(draw_() * kCompare), [this](Time) { Compare(); });
  Call();
  if (options_.peers.empty()) synced_ = true, self_.facts.phase = Phase::kServing, Put(self_);
  After(kAlone, [this](Time) {
    if (synced_ || left_) return;
    synced_ = true;
    Facts facts = self_.facts;
    facts.phase = Phase::kServing;
    ++facts.version;
    self_.facts = facts;
    Put(self_);
  });
  return Take();
}

std::vector<Said> View::Handle(const Message& message, Time now) {
  now_ = std::max(now_, now);
  if (!ended_ && Admit(message)) On(message);
  CheckSettled();
  return Take();
}

std::vector<Said> View::Rang(std::uint64_t number, Time now) {
  now_ = std::max(now_, now);
  const auto at = waits_.find(number);
  if (at == waits_.end() || ended_) return Take();
  const Due due = std::move(at->second);
  waits_.erase(at);
  const Time late = now_ - due.at;
  // A process that was stopped, or got no processor, has not been listening: what it waited for in vain says
  // nothing of others. All waits that were running then begin anew.
  if (late > std::max<Time>(5 * options_.period, 1'000'000)) {
    ++counters_.stalls;
    stalled_at_ = now_;
    Slower(1);
  }
  due.call(late);
  CheckSettled();
  return Take();
}

std::vector<Said> View::Tell(Facts facts, Time now) {
  now_ = std::max(now_, now);
  facts.version = self_.facts.version;
  facts.started_at = self_.facts.started_at;
  facts.building = options_.building;
  if (!synced_) facts.phase = Phase::kJoining;
  while (facts.connections.size() > kMostBoxes)
    facts.connections.erase(std::min_element(facts.connections.begin(), facts.connections.end(),
                                             [](auto& a, auto& b) { return a.second < b.second; }));
  const bool turned = facts.phase != self_.facts.phase;
  if (left_ || facts == self_.facts) return Take();
  if (!turned && now_ - told_at_ < std::max<Time>(kTellsEvery, live_ * kTellsEach)) return Take();
  told_at_ = now_;
  ++facts.version;
  self_.facts = std::move(facts);
  Put(self_);
  Spread(self_.name);
  return Take();
}

std::vector<Said> View::Leave(Time now) {
  now_ = std::max(now_, now);
  if (left_) return Take();
  left_ = true;
  self_.state = State::kLeft;
  Put(self_);
  // It may end at once: several members are told now.
  Message m;
  m.rumours = {self_};
  for (const std::string& name : Pick(2 * kFanout, {})) Send(shown_.at(name).record.address, m, 0);
  return Take();
}

double View::part() const {
  double all = 0;
  for (const auto& [name, entry] : shown_)
    if (!IsDead(entry.record.state)) all += std::max(0.0, entry.record.facts.load);
  return all > 0 ? std::max(0.0, self_.facts.load) / all : 1.0 / live_;
}

std::size_t View::remembered() const {
  return shown_.size() + members_.size() + round_.size() + urgent_.size() + probes_.size() + relays_.size() +
         waits_.size() + rumours_.size();
}

// ---- messages ----

// Whether a message is to be heard. Guards against news of a process's earlier life, datagrams that are
// played again, and a second process under this one's name.
bool View::Admit(const Message& m) {
  if (m.from.empty() || m.from.size() > kMostName) return false;
  if (m.from == self_.name) {
    if (m.from_address == self_.address || m.born <= 0) return false;  // our own words
    const bool older = m.born < self_.born || (m.born == self_.born && m.from_address < self_.address);
    if (older && m.born > 0 && m.kind == Kind::kConflict) {
      ended_ = true;
      said_.push_back(End{"the name " + self_.name + " is in use at " + m.from_address +
                          " by an older process; each initiator needs a name of its own"});
    } else if (!older) {
      Message answer;
      answer.kind = Kind::kConflict;
      Send(m.from_address, std::move(answer), 0);
    }
    return false;
  }
  const auto at = shown_.find(m.from);
  if (at == shown_.end()) return true;
  const Record& known = at->second.record;
  Member& member = members_[m.from];
  if (m.born < known.born) return ++counters_.old_life, false;
  if (m.born > known.born) return true;     // a new life counts from the start; Hear decides whether it may
  if (m.incarnation > known.incarnation) {  // newer than all that could be played again
    member.number = m.number;
    return true;
  }
  if (m.number + kWindow <= member.number) return ++counters_.replayed, false;
  member.number = std::max(member.number, m.number);
  return true;
}

void View::Send(const std::string& to, Message m, std::size_t rumours) {
  m.from = self_.name;
  m.from_address = self_.address;
  m.incarnation = self_.incarnation;
  m.born = self_.born;
  m.number = ++next_number_;
  m.hash = hash_;
  std::size_t size = 0;
  for (const Record& r : m.rumours) size += SizeOf(r);
  const auto add = [&](const std::string& name) {
    const Record& r = shown_.at(name).record;
    if (size + SizeOf(r) > kRoom) return false;
    const auto same = [&name](const Record& other) { return other.name == name; };
    if (std::any_of(m.rumours.begin(), m.rumours.end(), same)) return true;
    size += SizeOf(r);
    m.rumours.push_back(r);
    return true;
  };
  // A suspect, or one that is held for gone, is told so first of all (Lifeguard's buddy).
  const auto receiver = by_address_.find(to);
  if (receiver != by_address_.end() && options_.lifeguard &&
      shown_.at(receiver->second).record.state != State::kAlive)
    add(receiver->second);
  for (std::size_t left = std::min(rumours, rumours_.size()); left > 0 && !rumours_.empty(); --left) {
    auto at = rumours_.upper_bound(next_rumour_);
    if (at == rumours_.end()) at = rumours_.begin();
    if (!add(at->first)) break;
    next_rumour_ = at->first;
    if (--at->second <= 0) rumours_.erase(at);
  }
  said_.push_back(Datagram{to, std::move(m)});
}

void View::On(const Message& m) {
  for (const Record& r : m.rumours) Hear(r);
  const auto at = shown_.find(m.from);
  if (at != shown_.end() && at->second.record.born == m.born) {
    Member& member = members_[m.from];
    member.number = std::max(member.number, m.number);
    HearHash(member, m.hash);
  }
  switch (m.kind) {
    case Kind::kPing:
      if (m.target == self_.name) {
        Message ack;
        ack.kind = Kind::kAck;
        ack.probe = m.probe;
        ack.target = self_.name;
        Send(m.from_address, std::move(ack));
      }
      break;
    case Kind::kPingRequest: {
      const auto target = shown_.find(m.target);
      const std::uint64_t number = next_probe_++;
      relays_[number] = {m.from_address, m.probe, m.target, false};
      Message ping;
      ping.kind = Kind::kPing;
      ping.probe = number;
      ping.target = m.target;
      Send(target == shown_.end() ? m.target_address : target->second.record.address, std::move(ping));
      After(options_.period / 2, [this, number](Time late) {
        const auto relay = relays_.find(number);
        if (relay == relays_.end()) return;
        if (late < options_.period) {
          Message nack;
          nack.kind = Kind::kNack;
          nack.probe = relay->second.number;
          nack.target = relay->second.target;
          Send(relay->second.asker, std::move(nack), 0);
        }
        relays_.erase(relay);
      });
      break;
    }
    case Kind::kAck: {
      const auto relay = relays_.find(m.probe);
      if (relay != relays_.end() && relay->second.target == m.target) {
        Message ack;
        ack.kind = Kind::kAck;
        ack.probe = relay->second.number;
        ack.target = m.target;
        Send(relay->second.asker, std::move(ack), 0);
        relays_.erase(relay);
        break;
      }
      const auto probe = probes_.find(m.probe);
      if (probe != probes_.end() && probe->second.target == m.target) probe->second.answered = true;
      break;
    }
    case Kind::kNack: {
      const auto probe = probes_.find(m.probe);
      if (probe != probes_.end() && probe->second.target == m.target) ++probe->second.nacks;
      break;
    }
    case Kind::kDigest:
    case Kind::kDigestReply:
      OnDigest(m);
      break;
    case Kind::kGossip:
    case Kind::kConflict:
      break;
  }
}

void View::OnDigest(const Message& m) {
  if (!synced_ && m.kind == Kind::kDigestReply) {
    synced_ = true;
    self_.facts.phase = Phase::kServing;
    ++self_.facts.version;
    Put(self_);
    Spread(self_.name);
  }
  if (m.buckets.size() != kBuckets) return;
  std::set<std::size_t> differ;
  for (std::size_t i = 0; i < kBuckets; ++i)
    if (m.buckets[i] != buckets_[i]) differ.insert(i);
  const bool asked = m.kind == Kind::kDigest;
  if (differ.empty() && !asked) return;
  // An equal digest is answered as well, where the other side waits to be let in.
  std::vector<Record> records = InBuckets(differ);
  if (asked && differ.empty()) return SendDigest(m.from_address, Kind::kDigestReply, {});
  std::vector<Record> page;
  std::size_t size = 0;
  bool first = true;
  const auto flush = [&] {
    if (first && asked) {
      SendDigest(m.from_address, Kind::kDigestReply, page);
    } else if (!page.empty()) {
      Message more;
      more.rumours = page;
      Send(m.from_address, std::move(more), 0);
    }
    first = false;
    page.clear();
    size = 0;
  };
  for (Record& r : records) {
    const std::size_t room = first ? kRoom - kBuckets * 9 : kRoom;
    if (size + SizeOf(r) > room) flush();
    size += SizeOf(r);
    page.push_back(std::move(r));
  }
  flush();
}

void View::SendDigest(const std::string& to, Kind kind, std::vector<Record> records) {
  Message m;
  m.kind = kind;
  m.buckets.assign(buckets_.begin(), buckets_.end());
  m.rumours = std::move(records);
  Send(to, std::move(m), 0);
}

std::vector<Record> View::InBuckets(const std::set<std::size_t>& which) const {
  std::vector<Record> records;
  for (const auto& [name, entry] : shown_)
    if (which.contains(BucketOf(name))) records.push_back(entry.record);
  return records;
}

// ---- what is heard of members ----

void View::Hear(const Record& rumour) {
  if (rumour.name.empty() || rumour.name.size() > kMostName) return;
  // Incarnations begin as the time of a start and rise by one: what is far ahead is made up, and could not be
  // refuted any more.
  if (rumour.incarnation > static_cast<std::uint64_t>(now_ + kFuture) || rumour.born > now_ + kFuture) {
    ++counters_.forged;
    return;
  }
  if (rumour.name == self_.name) return HearOfSelf(rumour);
  const auto at = shown_.find(rumour.name);
  if (at == shown_.end()) {
    if (!IsDead(rumour.state) && static_cast<std::size_t>(live_) >= kMostLive) {
      ++counters_.no_room;
      return;
    }
    Put(rumour);
    if (!IsDead(rumour.state)) Spread(rumour.name);
    if (rumour.state == State::kSuspect) Confirm(rumour.name, rumour.by);
    return;
  }
  const Record known = at->second.record;
  if (rumour.incarnation < known.incarnation) return;
  if (rumour.incarnation == known.incarnation) {
    if (rumour.state == State::kSuspect && known.state == State::kSuspect) Confirm(rumour.name, rumour.by);
    Record next = known;
    const bool newer = rumour.facts.version > known.facts.version;
    if (newer) next.facts = rumour.facts;
    if (rumour.state > known.state) next.state = rumour.state, next.by = rumour.by;
    if (!newer && next.state == known.state) return;
    if (next.state == State::kSuspect && known.state == State::kAlive) {
      if (newer) Put(next);
      return Suspect(rumour.name, rumour.by);
    }
    if (next.state == State::kGone && known.state != State::kGone) return Gone(rumour.name, rumour.by);
    Put(next);
    return Spread(rumour.name);
  }
  // A later life under another address may be a second process: it is taken once the first is known to be
  // gone. Whether it is, a probe will tell.
  if (rumour.address != known.address && !IsDead(known.state)) {
    if (std::find(urgent_.begin(), urgent_.end(), known.name) == urgent_.end()) urgent_.push_back(known.name);
    return;
  }
  if (rumour.born > known.born) members_[rumour.name].number = 0;
  Record next = rumour;
  if (next.state == State::kSuspect) next.state = State::kAlive;
  Put(next);
  Spread(rumour.name);
  if (rumour.state == State::kSuspect) Suspect(rumour.name, rumour.by);
}

// Guards against being taken for dead, and against news of ourselves that we never gave.
void View::HearOfSelf(const Record& rumour) {
  if (left_) return;
  if (rumour.address != self_.address) {
    // Somebody else under this name, or our own earlier life: we ask there. Only its own word counts.
    if (!IsDead(rumour.state)) {
      Message m;
      m.kind = Kind::kPing;
      m.target = self_.name;
      Send(rumour.address, std::move(m), 0);
    }
    if (rumour.incarnation < self_.incarnation) return;
  }
  if (rumour.incarnation < self_.incarnation) return;
  const bool ours = rumour.incarnation == self_.incarnation && rumour.state == State::kAlive &&
                    rumour.facts.version <= self_.facts.version && rumour.born == self_.born;
  if (ours) return;
  ++counters_.refuted;
  if (rumour.state == State::kSuspect) Slower(1);
  Raise(rumour.incarnation);
}

void View::Raise(std::uint64_t above) {
  self_.incarnation = std::max(self_.incarnation, above) + 1;
  self_.facts.version = 0;
  Put(self_);
  Spread(self_.name);
}

// ---- steps of members ----

// The one place that changes what is known of a member.
void View::Put(const Record& record) {
  auto [at, fresh] = shown_.try_emplace(record.name);
  Entry& entry = at->second;
  Member& member = members_[record.name];
  const bool was_dead = !fresh && IsDead(entry.record.state);
  const bool stepped =
      fresh || entry.record.state != record.state || entry.record.incarnation != record.incarnation;
  if (!fresh) {
    Count(entry.record, -1);
    const auto address = by_address_.find(entry.record.address);
    if (address != by_address_.end() && address->second == record.name) by_address_.erase(address);
  }
  if (!IsDead(record.state) || !by_address_.contains(record.address))
    by_address_[record.address] = record.name;
  if (stepped) {
    Cancel(member.wait);
    member.suspected_by.clear();
    entry.since = now_;
  }
  entry.record = record;
  Count(record, +1);
  said_.push_back(Change{next_change_++, record});
  ++step_;
  agree_ = differ_ = run_ = 0;
  if (record.name == self_.name) return;
  Place(record.name, !IsDead(record.state));
  if (!IsDead(record.state)) {
    if (fresh || was_dead) {
      const std::size_t place = static_cast<std::size_t>(draw_() * static_cast<double>(round_.size() + 1));
      round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(place), record.name);
    }
    return;
  }
  if (!stepped) return;
  const std::string name = record.name;
  member.wait = After(kKept, [this, name](Time) { Drop(name); });
  if (static_cast<std::size_t>(dead_) <= kMostDead) return;
  // Names that come and go must not fill the memory: the one that is dead for the longest goes.
  const Entry* oldest = nullptr;
  for (const std::string& other : dead_names_) {
    const Entry& e = shown_.at(other);
    if (other != name && (!oldest || e.since < oldest->since)) oldest = &e;
  }
  if (oldest) Drop(std::string(oldest->record.name));
}

void View::Count(const Record& r, int sign) {
  const bool dead = IsDead(r.state);
  (dead ? dead_ : live_) += r.name == self_.name ? 0 : sign;
  if (r.state == State::kSuspect) suspects_ += sign;
  if (dead) return;
  const std::uint64_t hash = Mix(HashOf(r.name) ^ Mix(r.incarnation ^ (r.facts.version << 48)));
  hash_ ^= hash;
  buckets_[BucketOf(r.name)] ^= hash;
}

// Whether a member is among those that are picked from.
void View::Place(const std::string& name, bool live) {
  Member& member = members_[name];
  const bool there = member.place < pool_.size() && pool_[member.place] == name;
  if (live) {
    dead_names_.erase(name);
  } else {
    dead_names_.insert(name);
  }
  if (live == there) return;
  if (live) {
    member.place = pool_.size();
    pool_.push_back(name);
  } else {
    members_[pool_.back()].place = member.place;
    std::swap(pool_[member.place], pool_.back());
    pool_.pop_back();
  }
}

void View::Drop(const std::string& name) {
  const auto at = shown_.find(name);
  if (at == shown_.end() || !IsDead(at->second.record.state)) return;
  Cancel(members_[name].wait);
  Count(at->second.record, -1);
  dead_names_.erase(name);
  const auto address = by_address_.find(at->second.record.address);
  if (address != by_address_.end() && address->second == name) by_address_.erase(address);
  shown_.erase(at);
  members_.erase(name);
  rumours_.erase(name);
  said_.push_back(Forgotten{name});
}

// The time that a suspicion lasts, by how many others share it.
Time View::Patience(const Member& member) const {
  const double least =
      kLeastPatience * static_cast<double>(options_.period) * std::max(1.0, std::log10(double(live_)));
  if (!options_.lifeguard) return static_cast<Time>(least);
  const int wanted = std::min(kConfirmations, live_ - 2);
  if (wanted < 1) return static_cast<Time>(least);
  const double others = std::max<double>(0, static_cast<double>(member.suspected_by.size()) - 1);
  const double part = std::min(1.0, std::log(others + 1) / std::log(double(wanted) + 1));
  return static_cast<Time>(least * (kMostPatience - (kMostPatience - 1) * part));
}

void View::Suspect(const std::string& name, const std::string& by) {
  const auto at = shown_.find(name);
  if (at == shown_.end() || at->second.record.state != State::kAlive) return;
  Record next = at->second.record;
  next.state = State::kSuspect;
  next.by = by;
  Put(next);
  members_[name].suspected = now_;
  Confirm(name, by);
  Spread(name);
  // Whoever hears of a suspicion looks for itself: of few members each, of many some.
  if (by != self_.name && draw_() * live_ < 8) urgent_.push_back(name);
}

void View::Confirm(const std::string& name, const std::string& by) {
  Member& member = members_[name];
  if (member.suspected_by.empty()) member.suspected = now_;
  if (static_cast<int>(member.suspected_by.size()) > kConfirmations || !member.suspected_by.insert(by).second)
    return;
  shown_.at(name).record.by = by;  // each further voice is passed on as its own
  if (member.suspected_by.size() > 1) Spread(name);
  Cancel(member.wait);
  const std::uint64_t incarnation = shown_.at(name).record.incarnation;
  const Time left = member.suspected + Patience(member) - now_;
  member.wait = After(std::max<Time>(left, 0), [this, name, incarnation](Time) {
    const auto at = shown_.find(name);
    if (at == shown_.end() || at->second.record.state != State::kSuspect ||
        at->second.record.incarnation != incarnation)
      return;
    Member& m = members_[name];
    // After a stall nothing is known of what it said in the meantime.
    if (stalled_at_ > m.suspected) {
      m.suspected_by.clear();
      return Confirm(name, self_.name);
    }
    Gone(name, self_.name);
  });
}

void View::Gone(const std::string& name, const std::string& by) {
  Record next = shown_.at(name).record;
  next.state = State::kGone;
  next.by = by;
  Put(next);
  Spread(name);
  // Of many that are lost at once it is likelier that we are cut off from them. They will hold us for gone as
  // well; a new incarnation, told on this side now, spares all of them one refutation each when we meet.
  if (now_ - lost_since_ > kMuchLostIn) lost_since_ = now_, lost_ = 0;
  ++lost_;
  if (lost_ < std::max(2.0, kMuchLost * (live_ + lost_)) || left_) return;
  lost_ = 0;
  Raise(self_.incarnation);
}

void View::Spread(const std::string& name) {
  rumours_[name] = std::max(1, static_cast<int>(std::ceil(kTold * std::log2(double(live_) + 1))));
  if (gossip_ == 0) gossip_ = After(options_.period / 2, [this](Time) { Gossip(); });
}

// ---- waits ----

std::uint64_t View::After(Time after, std::function<void(Time late)> call) {
  const std::uint64_t number = next_wait_++;
  waits_[number] = {now_ + after, std::move(call)};
  said_.push_back(Wait{number, after});
  return number;
}

void View::Slower(int by) {
  if (options_.lifeguard) slowness_ = std::clamp(slowness_ + by, 0, kSlowest);
}

std::string View::NextTarget() {
  const auto fit = [this](const std::string& name) {
    const auto at = shown_.find(name);
    return at != shown_.end() && !IsDead(at->second.record.state) && name != self_.name;
  };
  while (!urgent_.empty()) {
    const std::string name = urgent_.front();
    urgent_.pop_front();
    if (fit(name)) return name;
  }
  for (int turn = 0; turn < 2; ++turn) {
    while (!round_.empty()) {
      const std::string name = round_.back();
      round_.pop_back();
      if (fit(name)) return name;
    }
    for (const auto& [name, entry] : shown_)
      if (fit(name)) round_.push_back(name);
    for (std::size_t i = round_.size(); i > 1; --i)
      std::swap(round_[i - 1], round_[static_cast<std::size_t>(draw_() * static_cast<double>(i))]);
  }
  return "";
}

void View::Period(Time) {
  if (left_) return;
  After(Scaled(options_.period), [this](Time late) { Period(late); });
  const std::string target = NextTarget();
  if (!target.empty()) Probed(target);
}

void View::Probed(const std::string& target) {
  const std::uint64_t number = next_probe_++;
  probes_[number] = {target, number, false, 0, 0};
  Message ping;
  ping.kind = Kind::kPing;
  ping.probe = number;
  ping.target = target;
  Send(shown_.at(target).record.address, std::move(ping));
  After(Scaled(options_.period / 3), [this, number](Time) { AskHelpers(number); });
  After(Scaled(options_.period) - 1, [this, number](Time late) { ProbeEnds(number, late); });
}

void View::AskHelpers(std::uint64_t number) {
  const auto at = probes_.find(number);
  if (at == probes_.end() || at->second.answered) return;
  const std::string target = at->second.target;
  const auto known = shown_.find(target);
  if (known == shown_.end()) return;
  for (const std::string& helper : Pick(kHelpers, {target})) {
    Message ask;
    ask.kind = Kind::kPingRequest;
    ask.probe = number;
    ask.target = target;
    ask.target_address = known->second.record.address;
    Send(shown_.at(helper).record.address, std::move(ask));
    ++at->second.helpers;
  }
}

void View::ProbeEnds(std::uint64_t number, Time late) {
  const auto at = probes_.find(number);
  if (at == probes_.end()) return;
  const Probe probe = at->second;
  probes_.erase(at);
  if (probe.answered) return Slower(-1);
  if (late > options_.period || stalled_at_ > now_ - 2 * options_.period) return Slower(1);  // ours, not its
  // Helpers that do not even say no tell that it is we who are not reached.
  Slower(probe.helpers > 0 ? std::max(0, probe.helpers - probe.nacks) : 1);
  const auto known = shown_.find(probe.target);
  if (known == shown_.end()) return;
  if (known->second.record.state == State::kAlive)
    Suspect(probe.target, self_.name);
  else if (known->second.record.state == State::kSuspect)
    Confirm(probe.target, self_.name);
}

void View::Gossip() {
  gossip_ = 0;
  if (rumours_.empty() || left_) return;
  for (const std::string& name : Pick(kFanout, {})) {
    if (rumours_.empty()) break;
    Send(shown_.at(name).record.address, Message{});
  }
  if (live_ <= 1) rumours_.clear();  // nobody to tell; digests will
  if (!rumours_.empty()) gossip_ = After(options_.period / 2, [this](Time) { Gossip(); });
}

void View::Compare() {
  if (left_) return;
  After(kCompare, [this](Time) { Compare(); });
  for (const std::string& name : Pick(1, {}))
    SendDigest(shown_.at(name).record.address, Kind::kDigest, {self_});
}

// Guards against two fleets that each hold the other for gone, and against a member that nobody knows: now
// and then one that is not reached is called, and one of the addresses of the settings.
void View::Call() {
  if (left_) return;
  After(kCall, [this](Time) { Call(); });
  std::vector<std::string> lost;
  for (const std::string& name : dead_names_)
    if (shown_.at(name).record.state == State::kGone) lost.push_back(shown_.at(name).record.address);
  for (const std::string& peer : options_.peers) {
    const auto known = by_address_.find(peer);
    if (known == by_address_.end() || IsDead(shown_.at(known->second).record.state)) lost.push_back(peer);
  }
  const int calls = synced_ ? 1 : 3;
  for (int i = 0; i < calls && !lost.empty(); ++i)
    SendDigest(lost[static_cast<std::size_t>(draw_() * static_cast<double>(lost.size()))], Kind::kDigest,
               {self_});
}

std::vector<std::string> View::Pick(std::size_t count, const std::set<std::string>& without) {
  std::vector<std::string> picked;
  // A partial shuffle; the pool has no order to keep.
  for (std::size_t i = 0; i < pool_.size() && picked.size() < count; ++i) {
    const std::size_t j = i + static_cast<std::size_t>(draw_() * static_cast<double>(pool_.size() - i));
    std::swap(pool_[i], pool_[j]);
    members_[pool_[i]].place = i;
    members_[pool_[j]].place = j;
    if (!without.contains(pool_[i])) picked.push_back(pool_[i]);
  }
  return picked;
}

void View::HearHash(Member& member, std::uint64_t hash) {
  if (member.heard_at == step_) --(member.agreed ? agree_ : differ_);
  member.heard_at = step_;
  member.agreed = hash == hash_;
  ++(member.agreed ? agree_ : differ_);
  run_ = member.agreed ? run_ + 1 : 0;
}

// Settled: nobody is suspect, and all that were heard of since the view last changed agree with it; of a
// large fleet a sample of them, since not all can be heard of within a step.
void View::CheckSettled() {
  const int sample = static_cast<int>(std::ceil(kSample * std::log2(double(live_) + 1)));
  const bool agree = live_ - 1 <= sample ? differ_ == 0 && agree_ >= live_ - 1 : run_ >= sample;
  const bool settled = suspects_ == 0 && synced_ && agree;
  if (settled) rumours_.clear();  // all have heard of it
  if (settled == settled_) return;
  settled_ = settled;
  said_.push_back(Settled{settled});
}

}  // namespace walnutspur::fleet

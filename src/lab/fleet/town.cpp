#include "lab/fleet/town.h"

#include <algorithm>
#include <utility>

namespace walnutspur::lab {
namespace {

constexpr std::size_t kRecorded = 4096;  // datagrams
constexpr Time kStep = 50'000;           // us between looks at whether all is true

bool Dead(fleet::State state) { return state == fleet::State::kGone || state == fleet::State::kLeft; }

}  // namespace

Town::Town(TownOptions options) : options_(options), random_(options.seed, "town") {
  for (int i = 0; i < options_.members; ++i) Open(i);
}

void Town::Open(int member) {
  Held h;
  h.name = "m" + std::to_string(member);
  h.address = "127.1." + std::to_string(member / 250) + "." + std::to_string(member % 250 + 1) + ":7000";
  by_address_[h.address] = member;
  members_.push_back(std::move(h));
}

int Town::Twin(int member) {
  const int twin = static_cast<int>(members_.size());
  Open(twin);
  at(twin).name = at(member).name;
  Start(twin);
  return twin;
}

void Town::Start(int member) {
  Held& h = at(member);
  h.life = next_life_++;
  h.stopped = false;
  h.told.clear(), h.heard.clear(), h.waiting.clear();
  h.ended.clear();
  h.last_change = 0;
  h.base = h.clock = now_;
  h.random = std::make_unique<Random>(options_.seed, "draw", h.life);
  fleet::ViewOptions options;
  options.name = h.name;
  options.address = h.address;
  options.building = member % 2 ? "east" : "west";
  options.period = options_.period;
  options.lifeguard = options_.lifeguard;
  for (int i = 0; i < std::min(options_.seeds, options_.members); ++i) options.peers.push_back(at(i).address);
  h.view = std::make_unique<fleet::View>(options, [random = h.random.get()] { return random->Part(); });
  Do(member, h.view->Start(Clock(h)));
}

void Town::Crash(int member) {
  at(member).view.reset();
  at(member).life = 0;
}

void Town::Leave(int member) {
  Do(member, at(member).view->Leave(Clock(at(member))));
  Crash(member);
}

void Town::Stop(int member) { at(member).stopped = true; }

void Town::Wake(int member) {
  Held& h = at(member);
  if (!h.stopped || !h.view) return;
  h.stopped = false;
  // What rang comes first, as a loop plays its timers; then what waited in the socket.
  for (const auto& [rang, number] : std::exchange(h.waiting, {}))
    if (h.view) Do(member, h.view->Rang(number, Clock(h)));
  for (const fleet::Message& m : std::exchange(h.heard, {}))
    if (h.view) Do(member, h.view->Handle(m, Clock(h)));
}

void Town::Post(int to, std::shared_ptr<const fleet::Message> message, Time after) {
  Event e;
  e.at = now_ + after;
  e.order = next_order_++;
  e.member = to;
  e.message = std::move(message);
  events_.push(std::move(e));
}

void Town::Do(int member, std::vector<fleet::Said> said) {
  for (fleet::Said& one : said) {
    Held& h = at(member);
    if (auto* d = std::get_if<fleet::Datagram>(&one)) {
      const auto to = by_address_.find(d->to);
      ++datagrams_;
      if (options_.sizes) {
        const std::size_t size = codec_.Encode(d->message).size() + 28;  // with the heads of IP and UDP
        bytes_ += size;
        largest_ = std::max(largest_, size - 28);
      }
      if (to == by_address_.end()) continue;
      if (mutate && !mutate(member, to->second, &d->message)) continue;
      const auto message = std::make_shared<const fleet::Message>(std::move(d->message));
      recorded_.push_back(message);
      if (recorded_.size() > kRecorded) recorded_.pop_front();
      if (passes_ && !passes_(member, to->second)) continue;
      if (options_.loss > 0 && random_.Chance(options_.loss)) continue;
      const auto delay = [this] {
        return static_cast<Time>(random_.Between(double(options_.delay_least), double(options_.delay_most)));
      };
      Post(to->second, message, delay());
      if (options_.doubled > 0 && random_.Chance(options_.doubled)) Post(to->second, message, delay());
    } else if (const auto* w = std::get_if<fleet::Wait>(&one)) {
      Event e;
      e.at = now_ + static_cast<Time>(static_cast<double>(w->after) / h.rate);
      e.order = next_order_++;
      e.member = member;
      e.life = h.life;
      e.wait = w->number;
      events_.push(std::move(e));
    } else if (const auto* c = std::get_if<fleet::Change>(&one)) {
      const auto before = h.told.find(c->record.name);
      if (c->number != h.last_change + 1) ++disorder_;
      if (before != h.told.end() &&
          (c->record.incarnation < before->second.incarnation ||
           (c->record.incarnation == before->second.incarnation && c->record.state < before->second.state)))
        ++disorder_;
      h.last_change = c->number;
      if (c->record.state == fleet::State::kGone) {
        for (const Held& other : members_)
          if (other.name == c->record.name && other.view && !other.stopped &&
              static_cast<Time>(c->record.born) >= other.clock)
            ++false_gone_;
      }
      h.told[c->record.name] = c->record;
    } else if (const auto* f = std::get_if<fleet::Forgotten>(&one)) {
      h.told.erase(f->name);
    } else if (const auto* end = std::get_if<fleet::End>(&one)) {
      h.ended = end->why;
      Crash(member);
      return;
    }
  }
}

void Town::Play(const Event& event) {
  Held& h = at(event.member);
  if (!h.view) return;
  if (!event.message && event.life != h.life) return;
  if (h.stopped) {
    if (event.message) {
      if (h.heard.size() < 200) h.heard.push_back(*event.message);  // a socket's buffer is not endless
    } else {
      h.waiting.emplace_back(true, event.wait);
    }
    return;
  }
  Do(event.member,
     event.message ? h.view->Handle(*event.message, Clock(h)) : h.view->Rang(event.wait, Clock(h)));
}

void Town::Run(Time span) {
  const Time until = now_ + span;
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    Play(event);
  }
  now_ = until;
}

std::string Town::Wrong() const {
  std::map<std::string, const Held*> living;
  for (const Held& h : members_)
    if (h.view && !h.stopped) living[h.name] = &h;
  // Views that agree by their hash hold the same members for live, so one of them is looked into.
  const Held* first = living.empty() ? nullptr : living.begin()->second;
  for (const auto& [name, h] : living) {
    if (h->view->hash() != first->view->hash()) return name + " does not agree with " + first->name;
    if (h->view->suspects() > 0) return name + " suspects somebody";
    if (h != first && living.size() > 50) continue;
    for (const auto& [other, them] : living) {
      const auto known = h->view->members().find(other);
      if (known == h->view->members().end()) return name + " does not know " + other;
      const fleet::Record& r = known->second.record;
      if (r.state != fleet::State::kAlive) return name + " calls " + other + " " + fleet::NameOf(r);
      if (r.incarnation != them->view->self().incarnation) return name + " has an old life of " + other;
    }
    for (const auto& [other, entry] : h->view->members())
      if (!living.contains(other) && !Dead(entry.record.state))
        return name + " calls " + other + ", which is dead, " + fleet::NameOf(entry.record);
    // A reader of the changes holds what the view holds.
    for (const auto& [other, entry] : h->view->members()) {
      const auto told = h->told.find(other);
      if (told == h->told.end() || told->second.state != entry.record.state ||
          told->second.incarnation != entry.record.incarnation)
        return "a reader at " + name + " was not told of " + other;
    }
  }
  return "";
}

bool Town::True() const { return Wrong().empty(); }

Time Town::RunUntilTrue(Time most) {
  const Time from = now_;
  while (now_ - from <= most) {
    if (True()) return now_ - from;
    Run(kStep);
  }
  return -1;
}

Time Town::RunUntilGone(int member, Time most) {
  const Time from = now_;
  while (now_ - from <= most) {
    bool all = true;
    for (const Held& h : members_) {
      if (!h.view || h.stopped) continue;
      const auto known = h.view->members().find(at(member).name);
      all = all && (known == h.view->members().end() || Dead(known->second.record.state));
    }
    if (all) return now_ - from;
    Run(kStep);
  }
  return -1;
}

}  // namespace walnutspur::lab

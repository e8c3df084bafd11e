#include "net/initiator.h"

#include <event2/thread.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace walnutspur::net {
namespace {

constexpr core::Time kStay = 450'000;            // us after SIGTERM in which all goes on: clients still come
constexpr core::Time kLook = 50'000;             // us between looks whether all is answered
constexpr core::Time kLongestLeast = 3'000'000;  // us; the platform counts a shorter deadline as this one
constexpr core::Time kKilled = 600'000;          // us after the longest deadline; SIGKILL comes at 0.7 s

BaseRef MakeBase() {
  static const int threads = evthread_use_pthreads();
  if (threads != 0) throw std::runtime_error("libevent has no threads");
  return BaseRef(event_base_new());
}

}  // namespace

Initiator::Initiator(Config config) : config_(std::move(config)), base_(MakeBase()) {
  std::signal(SIGPIPE, SIG_IGN);
  const core::Post post = [this](core::Input input) { owner_->Post(std::move(input)); };
  outputs_ = Watcher(base_.get(), -1, EV_PERSIST, [this] {
    for (const core::Output& output : owner_->Take()) std::visit([this](const auto& o) { Do(o); }, output);
  });
  targets_ = std::make_unique<HttpTargets>(base_.get(), config_, post);
  front_ = std::make_unique<HttpFront>(base_.get(), config_, &serials_, post);
  discovery_ = std::make_unique<Discovery>(
      base_.get(), config_,
      [this](walnutspur::Membership list, const TargetList& raw) { OnList(std::move(list), raw); });
  term_ = Watcher(base_.get(), SIGTERM, EV_SIGNAL | EV_PERSIST, [this] { Drain(); });
  interrupt_ = Watcher(base_.get(), SIGINT, EV_SIGNAL | EV_PERSIST, [this] { Drain(); });
  leave_ = MakeTimer(base_.get(), [this] { Leave(); });
  last_ = MakeTimer(base_.get(), [this] { event_base_loopbreak(base_.get()); });
  TargetList known;
  if (config_.known.is_object()) known = ReadList(config_, config_.known);
  // What was known at the last start may be old: discovery is asked for what came after it.
  owner_ = std::make_unique<core::Owner>(config_.settings, config_.seed, [this] { outputs_.Activate(); });
  if (config_.known.is_object()) {
    discovery_->Adopt(known);
    OnList({walnutspur::Mode::kCached, known.entries}, known);
  }
}

Initiator::~Initiator() { owner_.reset(); }

void Initiator::Run() {
  term_.Start();
  interrupt_.Start();
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void Initiator::Stop() { term_.Activate(); }

void Initiator::OnList(walnutspur::Membership list, const TargetList& raw) {
  for (std::size_t i = 0; i < raw.entries.size(); ++i) {
    if (!raw.addresses[i].empty()) targets_->Learn(raw.entries[i].target, raw.addresses[i]);
  }
  if (list.mode != walnutspur::Mode::kFailed) front_->set_ready();
  owner_->Post(core::Listed{std::move(list)});
}

core::Connector& Initiator::connector(core::Wire) { return *targets_; }

void Initiator::Do(const core::Withdraw& output) { targets_->Withdraw(output.target); }

void Initiator::Do(const core::Answer& output) { front_->Finish(output); }

void Initiator::Do(const core::Ring& output) {
  const std::uint64_t number = next_ring_++;
  const std::int64_t mark = output.mark;
  rings_[number] = MakeTimer(base_.get(), [this, number, mark] {
    rings_.erase(number);
    owner_->Post(core::Rang{mark});
  });
  rings_[number].Start(output.after);
}

// SIGTERM: all goes on for as long as clients may still come, then connections end with their next answer,
// and the program with the last of them, or before it would be killed.
void Initiator::Drain() {
  if (stopped_ != 0) return;
  stopped_ = core::Now();
  leave_.Start(kStay);
  last_.Start(std::max(kLongestLeast, config_.longest_deadline) + kKilled);
}

void Initiator::Leave() {
  front_->Drain();
  if (front_->held() == 0 && front_->connections() == 0) {
    event_base_loopbreak(base_.get());
  } else {
    leave_.Start(kLook);
  }
}

}  // namespace walnutspur::net

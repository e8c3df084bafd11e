#include "checksummed/scrub.h"

#include <algorithm>
#include <utility>

#include "core/scheduler_thread.h"
#include "nbd/payload.h"

namespace walnutspur::checksummed {
namespace {

constexpr Time kReport = 200'000;   // us between reports of what live work feels
constexpr Time kLook = 250'000;     // us between looks while only an event could let a job go
constexpr Time kKeep = 10'000'000;  // us between cursors kept
constexpr Time kLeastTurn = 1'000;  // us

}  // namespace

Scrub::Scrub(event_base* base, const nbd::Config& config, const ScrubOptions& options,
             core::RequestNumbers* serials, core::SubmitInput post)
    : base_(base), config_(config), options_(options), serials_(serials), post_(std::move(post)) {
  const Time now = core::Now();
  for (std::size_t i = 0; i < config_.volumes.size(); ++i) {
    const nbd::Volume& volume = config_.volumes[i];
    if (!volume.checksummed) {
      continue;
    }
    Box& box = boxes_[volume.target];
    if (!box.budget) {
      box.budget = std::make_unique<background::Budget>(options_.pressure);
      box.turn = loop::MakeTimer(base_, [this, name = volume.target] { Turn(name); });
    }
    const auto known = options_.cursors.find(volume.front.name);
    const integrity::Cursor cursor = known == options_.cursors.end() ? integrity::Cursor() : known->second;
    integrity::Scrubber scrubber(volume.front.size / integrity::kBlock, options_.chunk,
                                 cursor.block / options_.chunk);
    background::JobOptions job = options_.job;
    job.name = volume.front.name;
    job.mean_request_bytes = static_cast<double>(options_.chunk * integrity::kBlock);
    background::Progress progress;
    progress.total = scrubber.total();
    progress.position = scrubber.position();
    progress.rounds = cursor.rounds;
    progress.since = std::min(cursor.since, now);  // a clock that was set back must not shorten the round
    jobs_.push_back({i, volume.target, box.budget->Add(job, progress, now), std::move(scrubber)});
  }
  report_ = loop::MakeTimer(base_, [this] { Report(); });
  if (!options_.on) {
    return;
  }
  report_.Start(kReport);
  for (auto& [name, box] : boxes_) {
    box.turn.Start(kLook);
  }
}

Scrub::~Scrub() {
  if (options_.on) {
    KeepCursors();
  }
}

void Scrub::KeepCursors() {
  if (!options_.keep_cursors) {
    return;
  }
  integrity::Cursors now = options_.cursors;  // of exports that are not served at present, too
  for (const Job& job : jobs_) {
    const background::Progress& progress = boxes_.at(job.box).budget->progress(job.id);
    now[config_.volumes[job.number].front.name] = {job.scrubber.position() * options_.chunk, progress.rounds,
                                                   progress.since};
  }
  kept_ = core::Now();
  if (now == known_) {
    return;
  }
  known_ = std::move(now);
  options_.keep_cursors(integrity::Encode(known_));
}

// A second without any live request is calm as well.
void Scrub::Report() {
  background::Report report;
  if (answers_ > 0) {
    report.missed = static_cast<double>(missed_) / static_cast<double>(answers_);
  }
  report.bound = waiting_;
  answers_ = missed_ = 0;
  waiting_ = 0;
  for (auto& [name, box] : boxes_) {
    box.budget->Take(report, core::Now());
  }
  if (core::Now() - kept_ >= kKeep) {
    KeepCursors();
  }
  if (!stopped_) {
    report_.Start(kReport);
  }
}

void Scrub::ObserveResponse(const core::Response& answer) {
  ++answers_;
  missed_ += static_cast<unsigned long>(!answer.met_objective);
  waiting_ = std::max(waiting_, answer.queued_fraction);
}

void Scrub::OnTargetState(const std::string& name, bool live, Time launched) {
  const auto at = boxes_.find(name);
  if (at == boxes_.end()) {
    return;
  }
  at->second.live = live;
  at->second.launched = launched;
}

void Scrub::Recheck(std::size_t number, std::uint64_t block) {
  for (Job& job : jobs_) {
    if (job.number == number) {
      job.scrubber.Recheck(block);
    }
  }
}

void Scrub::Pause(bool paused) {
  paused_ = paused;
  for (const Job& job : jobs_) {
    background::Budget& budget = *boxes_.at(job.box).budget;
    paused ? budget.Pause(job.id) : budget.Resume(job.id, core::Now());
  }
}

void Scrub::Turn(const std::string& name) {
  if (stopped_) {
    return;
  }
  Box& box = boxes_.at(name);
  const Time now = core::Now();
  box.budget->Hold(!box.live || !Warm(box, now));
  while (const auto granted = box.budget->Next(now)) {
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      if (jobs_[i].box == name && jobs_[i].id == *granted) {
        Begin(i);
      }
    }
  }
  const auto next = box.budget->NextAt(now);
  box.turn.Start(next ? std::clamp<Time>(*next - now, kLeastTurn, kLook) : kLook);
}

void Scrub::Begin(std::size_t number) {
  Job& job = jobs_[number];
  const auto range = job.scrubber.Next();
  if (!range) {
    return boxes_.at(job.box).budget->Return(job.id);
  }
  const nbd::Volume& volume = config_.volumes[job.number];
  core::RequestReceived arrived;
  arrived.request = serials_->next++;
  arrived.protocol = core::Protocol::kInternal;
  arrived.attributes.request_class = options_.request_class;
  arrived.attributes.plan = options_.plan;
  arrived.attributes.volume = "scrub/" + volume.volume;
  arrived.attributes.key = arrived.attributes.volume + "/" + std::to_string(range->first);
  const auto bytes = static_cast<std::uint32_t>(range->count * integrity::kBlock);
  arrived.attributes.units = nbd::UnitsOf(config_, bytes);
  arrived.attributes.shard = volume.shard;
  arrived.deadline = core::Now() + options_.deadline;
  auto payload = std::make_shared<nbd::CommandPayload>();
  payload->request.type = nbd::kRead;
  payload->request.offset = range->first * integrity::kBlock;
  payload->request.length = bytes;
  payload->remote = volume.remote;
  payload->volume = static_cast<int>(job.number);
  arrived.payload = std::move(payload);
  Held& held = held_[arrived.request];
  held.job = number;
  held.range = *range;
  const core::RequestNumber serial = arrived.request;
  held.deadline = loop::MakeTimer(base_, [this, serial] { post_(core::DeadlineExpired{serial}); });
  held.deadline.Start(options_.deadline);
  ++requests_;
  post_(std::move(arrived));
}

void Scrub::Respond(const core::Response& answer) {
  const auto at = held_.find(answer.request);
  if (at == held_.end()) {
    return;
  }
  const Held held = std::move(at->second);
  held_.erase(at);
  Job& job = jobs_[held.job];
  const auto* partial = static_cast<const nbd::ReplyPayload*>(answer.payload.get());
  // Damage that was found is an answer too: it is in the ledger.
  const bool read =
      answer.status == core::ResponseStatus::kServed || ((partial != nullptr) && !partial->bad.empty());
  int done = 0;
  if (read) {
    done = job.scrubber.Done(held.range);
  } else {
    job.scrubber.Failed(held.range);
    ++failed_;
  }
  const std::uint64_t bytes = read ? held.range.count * integrity::kBlock : 0;
  boxes_.at(job.box).budget->Done(job.id, static_cast<std::uint64_t>(done), bytes, core::Now());
}

std::vector<Scrub::Status> Scrub::status() const {
  std::vector<Status> all;
  for (const Job& job : jobs_) {
    const background::Budget& budget = *boxes_.at(job.box).budget;
    const background::Progress& progress = budget.progress(job.id);
    all.push_back({config_.volumes[job.number].front.name, progress.position, progress.total, progress.rounds,
                   budget.Rate(job.id, core::Now()), budget.in_flight(job.id)});
  }
  return all;
}

}  // namespace walnutspur::checksummed

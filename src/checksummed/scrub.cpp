#include "checksummed/scrub.h"

#include <algorithm>
#include <utility>

#include "core/scheduler_thread.h"
#include "nbd/payload.h"

namespace walnutspur::checksummed {
namespace {

// Interval between reports of the pressure on live requests, us.
constexpr Time kReportInterval = 200'000;
// Maximum interval between checks for due reads, us.
constexpr Time kMaxScheduleInterval = 250'000;
// Minimum interval between checks for due reads, us.
constexpr Time kMinScheduleInterval = 1'000;
// Interval between saves of the cursors, us.
constexpr Time kSaveCursorsInterval = 10'000'000;

}  // namespace

Scrub::Scrub(event_base* base, const nbd::Config& config, const ScrubOptions& options,
             core::RequestNumbers* request_numbers, core::SubmitInput submit)
    : base_(base),
      config_(config),
      options_(options),
      request_numbers_(request_numbers),
      submit_(std::move(submit)) {
  const Time now = core::Now();
  for (std::size_t i = 0; i < config_.volumes.size(); ++i) {
    if (config_.volumes[i].checksummed) {
      AddJob(i, now);
    }
  }
  report_timer_ = loop::MakeTimer(base_, [this] { ReportPressure(); });
  if (!options_.enabled) {
    return;
  }
  report_timer_.Start(kReportInterval);
  for (auto& [name, target] : targets_) {
    target.schedule_timer.Start(kMaxScheduleInterval);
  }
}

Scrub::~Scrub() {
  if (options_.enabled) {
    SaveCursors();
  }
}

void Scrub::AddJob(std::size_t export_index, Time now) {
  const nbd::Volume& volume = config_.volumes[export_index];
  TargetState& target = targets_[volume.target];
  if (!target.budget) {
    target.budget = std::make_unique<background::Budget>(options_.pressure);
    target.schedule_timer = loop::MakeTimer(base_, [this, name = volume.target] { ScheduleReads(name); });
  }
  const auto saved = options_.cursors.find(volume.client_export.name);
  const integrity::Cursor cursor = saved == options_.cursors.end() ? integrity::Cursor() : saved->second;
  integrity::Scrubber scrubber(volume.client_export.size / integrity::kBlockBytes, options_.chunk,
                               cursor.block / options_.chunk);
  background::JobOptions job = options_.job;
  job.name = volume.client_export.name;
  job.mean_request_bytes = static_cast<double>(options_.chunk * integrity::kBlockBytes);
  background::Progress progress;
  progress.total = scrubber.total();
  progress.position = scrubber.position();
  progress.rounds = cursor.rounds;
  progress.since = std::min(cursor.since, now);  // `since` may be in the future if the clock was set back
  jobs_.push_back({export_index, volume.target, target.budget->Add(job, progress, now), std::move(scrubber)});
}

// Saves the cursors of all exports. Cursors of exports that are currently not served are saved unchanged.
void Scrub::SaveCursors() {
  if (!options_.save_cursors) {
    return;
  }
  integrity::Cursors cursors = options_.cursors;
  for (const Job& job : jobs_) {
    const background::Progress& progress = targets_.at(job.target).budget->progress(job.id);
    cursors[config_.volumes[job.export_index].client_export.name] = {job.scrubber.position() * options_.chunk,
                                                                     progress.rounds, progress.since};
  }
  cursors_saved_at_ = core::Now();
  if (cursors == saved_cursors_) {
    return;
  }
  saved_cursors_ = std::move(cursors);
  options_.save_cursors(integrity::Encode(saved_cursors_));
}

// Reports the pressure of the last interval to the budgets. An interval without live requests counts as an
// interval without pressure.
void Scrub::ReportPressure() {
  background::LoadReport report;
  if (responses_ > 0) {
    report.missed_fraction = static_cast<double>(missed_objectives_) / static_cast<double>(responses_);
  }
  report.queued_fraction = max_queued_fraction_;
  responses_ = 0;
  missed_objectives_ = 0;
  max_queued_fraction_ = 0;
  for (auto& [name, target] : targets_) {
    target.budget->AddReport(report, core::Now());
  }
  if (core::Now() - cursors_saved_at_ >= kSaveCursorsInterval) {
    SaveCursors();
  }
  if (!stopped_) {
    report_timer_.Start(kReportInterval);
  }
}

void Scrub::ObserveResponse(const core::Response& response) {
  ++responses_;
  if (!response.met_objective) {
    ++missed_objectives_;
  }
  max_queued_fraction_ = std::max(max_queued_fraction_, response.queued_fraction);
}

void Scrub::OnTargetState(const std::string& target, bool active, Time started_at) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  found->second.active = active;
  found->second.started_at = started_at;
}

void Scrub::Recheck(std::size_t export_index, std::uint64_t block) {
  for (Job& job : jobs_) {
    if (job.export_index == export_index) {
      job.scrubber.Recheck(block);
    }
  }
}

void Scrub::Pause(bool paused) {
  paused_ = paused;
  for (const Job& job : jobs_) {
    background::Budget& budget = *targets_.at(job.target).budget;
    if (paused) {
      budget.Pause(job.id);
    } else {
      budget.Resume(job.id, core::Now());
    }
  }
}

void Scrub::ScheduleReads(const std::string& target) {
  if (stopped_) {
    return;
  }
  TargetState& state = targets_.at(target);
  const Time now = core::Now();
  state.budget->Suspend(!state.active || !IsWarmedUp(state, now));
  while (const auto granted = state.budget->GrantNext(now)) {
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      if (jobs_[i].target == target && jobs_[i].id == *granted) {
        StartRead(i);
      }
    }
  }
  const auto next = state.budget->NextGrantTime(now);
  state.schedule_timer.Start(next ? std::clamp<Time>(*next - now, kMinScheduleInterval, kMaxScheduleInterval)
                                  : kMaxScheduleInterval);
}

void Scrub::StartRead(std::size_t job_index) {
  Job& job = jobs_[job_index];
  const auto range = job.scrubber.Next();
  if (!range) {
    return targets_.at(job.target).budget->ReturnGrant(job.id);
  }
  core::RequestReceived received = MakeRequest(job, *range);
  const core::RequestNumber request = received.request;
  PendingRead& pending = pending_reads_[request];
  pending.job = job_index;
  pending.range = *range;
  pending.deadline = loop::MakeTimer(base_, [this, request] { submit_(core::DeadlineExpired{request}); });
  pending.deadline.Start(options_.deadline);
  ++requests_;
  submit_(std::move(received));
}

core::RequestReceived Scrub::MakeRequest(const Job& job, const integrity::Scrubber::Range& range) {
  const nbd::Volume& volume = config_.volumes[job.export_index];
  const auto bytes = static_cast<std::uint32_t>(range.count * integrity::kBlockBytes);
  core::RequestReceived received;
  received.request = request_numbers_->next++;
  received.protocol = core::Protocol::kInternal;
  received.attributes.request_class = options_.request_class;
  received.attributes.plan = options_.plan;
  received.attributes.volume = "scrub/" + volume.volume;
  received.attributes.key = received.attributes.volume + "/" + std::to_string(range.first);
  received.attributes.units = nbd::UnitsOf(config_, bytes);
  received.attributes.shard = volume.shard;
  received.deadline = core::Now() + options_.deadline;
  auto payload = std::make_shared<nbd::CommandPayload>();
  payload->request.type = nbd::kRead;
  payload->request.offset = range.first * integrity::kBlockBytes;
  payload->request.length = bytes;
  payload->remote = volume.remote;
  payload->volume = static_cast<int>(job.export_index);
  received.payload = std::move(payload);
  return received;
}

void Scrub::Respond(const core::Response& response) {
  const auto found = pending_reads_.find(response.request);
  if (found == pending_reads_.end()) {
    return;
  }
  const PendingRead pending = std::move(found->second);
  pending_reads_.erase(found);
  Job& job = jobs_[pending.job];
  const auto* reply = static_cast<const nbd::ReplyPayload*>(response.payload.get());
  // A read that detects corruption is successful: its result is in the corruption log.
  const bool has_corrupt_blocks = reply != nullptr && !reply->corrupt_offsets.empty();
  const bool has_read = response.status == core::ResponseStatus::kServed || has_corrupt_blocks;
  int completed_chunks = 0;
  if (has_read) {
    completed_chunks = job.scrubber.OnRead(pending.range);
  } else {
    job.scrubber.OnReadFailed(pending.range);
    ++failed_;
  }
  const std::uint64_t bytes = has_read ? pending.range.count * integrity::kBlockBytes : 0;
  targets_.at(job.target)
      .budget->Complete(job.id, static_cast<std::uint64_t>(completed_chunks), bytes, core::Now());
}

std::vector<Scrub::Status> Scrub::status() const {
  std::vector<Status> all;
  for (const Job& job : jobs_) {
    const background::Budget& budget = *targets_.at(job.target).budget;
    const background::Progress& progress = budget.progress(job.id);
    all.push_back({config_.volumes[job.export_index].client_export.name, progress.position, progress.total,
                   progress.rounds, budget.Rate(job.id, core::Now()), budget.in_flight(job.id)});
  }
  return all;
}

}  // namespace walnutspur::checksummed

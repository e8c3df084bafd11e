// Measures the service of client reads during a scrub: the same rising load runs with the scrub on and off.
#include <poll.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "app/control.h"
#include "core/scheduler_thread.h"
#include "parts.h"
#include "test_environment.h"

namespace walnutspur::bench {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr Time kLatencyObjective = 120'000;  // us
constexpr Time kStartDelay = 100'000;        // us
constexpr double kDrainSeconds = 4;          // time to wait for the last replies
constexpr std::int64_t kServiceTime = 1500;  // us per command: 666 a second
constexpr int kSettleTime = 500;             // ms
constexpr double kInitialRate = 80;          // reads a second
constexpr std::uint64_t kBlocks = 512;       // blocks that clients read
constexpr std::uint64_t kFillBlocks = 16;    // of one write
constexpr std::size_t kMaxReadsInFlight = 400;
constexpr double kFailedLatency = 1e6;  // ms, counted for a failed read

struct LoadResult {
  double in_time = 0;     // fraction of the reads
  double p99 = 0;         // ms
  double scrub_rate = 0;  // reads of the scrub a second
};

std::string ScrubSettings(bool enabled) {
  return std::string("[scrub]\non = ") + (enabled ? "true" : "false") +
         "\nrequests = 200.0\nfloor = 1.0\nwish = 0.0\n";
}

// Class OpenLoop generates an open-loop load: each read is sent when it is due, independently of replies, and
// its latency is measured from then.
class OpenLoop {
 public:
  OpenLoop(const Run& run, bool scrub, std::uint64_t seed, double last_rate)
      : scrub_(scrub),
        seconds_(run.options().brief ? 3 : 8),
        test_environment_(run, {.settings = ScrubSettings(scrub)}),
        client_(test_environment_.Connect()),
        random_(seed) {
    Fill();
    test_environment_.server().SetService(kServiceTime);
    poll(nullptr, 0, kSettleTime);
    ScheduleReads(last_rate);
  }

  LoadResult Measure() {
    const double scrubbed_before = ScrubbedReads();
    start_ = core::Now() + kStartDelay;
    const Time end = start_ + static_cast<Time>((seconds_ + kDrainSeconds) * kMicrosecondsPerSecond);
    while (latencies_.size() < due_.size() && core::Now() < end) {
      SendDueReads();
      ReceiveReplies();
    }
    return Summarize(scrubbed_before);
  }

 private:
  // Writes every block of the export: blocks that were never written are not read from the server, so that
  // neither clients nor the scrub would cost anything.
  void Fill() {
    const std::size_t size = kFillBlocks * kBlockBytes;
    for (std::uint64_t offset = 0; offset + size <= client_->size(); offset += size) {
      WriteWithRetry(*client_, offset, test_environment_.RandomData(size));
    }
    test_environment_.WaitForCheckpoint();
  }

  // Schedules the reads as a Poisson process whose rate rises from kInitialRate to `last_rate`.
  void ScheduleReads(double last_rate) {
    for (double at = 0; at < seconds_;) {
      const double rate = kInitialRate + (last_rate - kInitialRate) * at / seconds_;
      at += -std::log((static_cast<double>(random_() % 1'000'000) + 1) / 1'000'001.0) / rate;
      due_.push_back(at);
    }
  }

  double ScrubbedReads() const {
    if (!scrub_) {
      return 0;
    }
    const std::string status =
        app::SendControlCommand(app::ControlPath(test_environment_.folder()), "status");
    const nlohmann::json scrub = nlohmann::json::parse(status)["scrub"];
    return scrub["requests"].get<double>() - scrub["failed"].get<double>();
  }

  Time DueTime(std::size_t read) const {
    return start_ + static_cast<Time>(due_[read] * kMicrosecondsPerSecond);
  }

  void SendDueReads() {
    const Time now = core::Now();
    while (next_ < due_.size() && DueTime(next_) <= now && in_flight_.size() < kMaxReadsInFlight) {
      nbd::Request request;
      request.type = nbd::kRead;
      request.offset = random_() % kBlocks * kBlockBytes;
      request.length = kBlockBytes;
      in_flight_[client_->Send(request)] = DueTime(next_);
      ++next_;
    }
  }

  void ReceiveReplies() {
    for (const nbd::Reply& reply : client_->ReceiveReplies(1)) {
      const Time latency = core::Now() - in_flight_.at(reply.cookie);
      const bool served = reply.error == nbd::kOk;
      in_flight_.erase(reply.cookie);
      latencies_.push_back(served ? static_cast<double>(latency) / 1e3 : kFailedLatency);
      in_time_ += served && latency <= kLatencyObjective ? 1 : 0;
    }
  }

  LoadResult Summarize(double scrubbed_before) {
    std::sort(latencies_.begin(), latencies_.end());
    LoadResult result;
    result.in_time = static_cast<double>(in_time_) / static_cast<double>(due_.size());
    result.p99 = latencies_.empty() ? 0 : latencies_[latencies_.size() * 99 / 100];
    result.scrub_rate = (ScrubbedReads() - scrubbed_before) /
                        (static_cast<double>(core::Now() - start_) / kMicrosecondsPerSecond);
    return result;
  }

  bool scrub_;
  double seconds_;
  TestEnvironment test_environment_;
  std::unique_ptr<nbd::BlockingClient> client_;
  pcg64 random_;
  std::vector<double> due_;  // seconds after the start
  Time start_ = 0;
  std::size_t next_ = 0;                     // the next read to send
  std::map<std::uint64_t, Time> in_flight_;  // by cookie: when the read was due
  std::vector<double> latencies_;            // ms
  std::size_t in_time_ = 0;
};

LoadResult MeasureLoad(const Run& run, bool scrub, std::uint64_t seed, double last_rate) {
  return OpenLoop(run, scrub, seed, last_rate).Measure();
}

struct Comparison {
  std::string name;
  double last_rate = 0;  // reads a second at the end of the load
  int pairs = 0;         // of a load with the scrub and the same one without
  bool check_p99 = false;
};

void Compare(Run& run, const Comparison& comparison) {
  std::vector<double> p99_ratios;
  double in_time_with = 0;
  double in_time_without = 0;
  double min_scrub_rate = 1e9;
  for (int i = 0; i < comparison.pairs; ++i) {
    const std::uint64_t seed = run.seed() * 100 + static_cast<std::uint64_t>(i);
    const bool scrub_first = i % 2 == 0;
    LoadResult with = MeasureLoad(run, scrub_first, seed, comparison.last_rate);
    LoadResult without = MeasureLoad(run, !scrub_first, seed, comparison.last_rate);
    if (!scrub_first) {
      std::swap(with, without);
    }
    in_time_with += with.in_time;
    in_time_without += without.in_time;
    p99_ratios.push_back(with.p99 / without.p99);
    min_scrub_rate = std::min(min_scrub_rate, with.scrub_rate);
  }
  std::sort(p99_ratios.begin(), p99_ratios.end());
  const double median = p99_ratios[p99_ratios.size() / 2];
  run.Claim("3 service beside the scrub, " + comparison.name, in_time_with >= 0.995 * in_time_without,
            "in time " + std::to_string(in_time_with / comparison.pairs) + " with, " +
                std::to_string(in_time_without / comparison.pairs) + " without");
  if (comparison.check_p99) {
    run.Claim("3 p99 beside the scrub, " + comparison.name, median <= 1.02,
              "median ratio " + std::to_string(median));
  }
  run.Claim("3 the scrub moves, " + comparison.name, min_scrub_rate >= 0.8,
            "at least " + std::to_string(min_scrub_rate) + " reads a second; the floor is 1");
}

}  // namespace

void MeasureScrub(Run& run) {
  const int pairs = run.Amount(5, 1);
  Compare(run, {"to 93 % of the box", 620, pairs, true});
  // The load exceeds the server's capacity: client reads miss the latency objective with or without the
  // scrub, and each read of the scrub makes one more client read miss it.
  Compare(run, {"to 135 % of the box", 900, pairs, false});
}

}  // namespace walnutspur::bench

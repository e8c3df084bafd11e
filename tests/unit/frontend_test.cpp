// Tests the parts that the front ends share: the phases of a shutdown and the eviction of connections.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "frontend/eviction_policy.h"
#include "frontend/shutdown_sequence.h"

namespace walnutspur::frontend {
namespace {

using std::chrono::milliseconds;

constexpr Time kMillisecond = 1'000;  // us

constexpr ShutdownLimits kLimits = {.close_idle_before = milliseconds(100),
                                    .close_partial_request_after = milliseconds(50),
                                    .close_awaiting_response_after = milliseconds(80)};

TEST_CASE("ShutdownSequence: phases are entered in order, each at its limit") {
  ShutdownSequence shutdown(kLimits);
  CHECK_FALSE(shutdown.is_scheduled());
  shutdown.Schedule();
  CHECK(shutdown.phase() == ShutdownPhase::kScheduled);
  CHECK_FALSE(shutdown.Advance(201 * kMillisecond));  // responses are fast, so the minimum lead time applies
  CHECK(shutdown.phase() == ShutdownPhase::kScheduled);
  CHECK(shutdown.Advance(200 * kMillisecond));
  CHECK(shutdown.phase() == ShutdownPhase::kDraining);
  CHECK_FALSE(shutdown.Advance(100 * kMillisecond + 1));
  CHECK_FALSE(shutdown.ShouldClose(ConnectionActivity::kIdle));
  CHECK_FALSE(shutdown.Advance(100 * kMillisecond));
  CHECK(shutdown.phase() == ShutdownPhase::kClosingIdle);
  CHECK_FALSE(shutdown.Advance(-50 * kMillisecond + 1));
  CHECK(shutdown.ShouldClose(ConnectionActivity::kIdle));
  CHECK_FALSE(shutdown.ShouldClose(ConnectionActivity::kPartialRequest));
  CHECK_FALSE(shutdown.Advance(-50 * kMillisecond));
  CHECK(shutdown.ShouldClose(ConnectionActivity::kPartialRequest));
  CHECK_FALSE(shutdown.ShouldClose(ConnectionActivity::kAwaitingResponse));
  CHECK_FALSE(shutdown.Advance(-80 * kMillisecond));
  CHECK(shutdown.phase() == ShutdownPhase::kClosingAwaitingResponse);
  CHECK(shutdown.ShouldClose(ConnectionActivity::kAwaitingResponse));
}

// If the event loop is late, the first call of Advance may come after the deadline. A phase that was entered
// is never left for an earlier one.
TEST_CASE("ShutdownSequence: a late event loop skips phases, and no earlier phase is entered again") {
  ShutdownSequence shutdown(kLimits);
  CHECK(shutdown.Advance(-60 * kMillisecond));
  CHECK(shutdown.phase() == ShutdownPhase::kClosingPartialRequest);
  shutdown.Schedule();
  CHECK_FALSE(shutdown.Advance(500 * kMillisecond));
  CHECK(shutdown.phase() == ShutdownPhase::kClosingPartialRequest);
}

TEST_CASE("ShutdownSequence: the lead time of draining follows the latency of responses") {
  ShutdownSequence shutdown(kLimits);
  for (int i = 0; i < 1000; ++i) {
    shutdown.OnResponse(400 * kMillisecond);
  }
  CHECK_FALSE(shutdown.Advance(601 * kMillisecond));
  CHECK(shutdown.Advance(599 * kMillisecond));
}

TEST_CASE(
    "ShutdownSequence: without limits, idle connections are closed when draining begins, others never") {
  ShutdownSequence shutdown(ShutdownLimits{});
  CHECK_FALSE(shutdown.Advance(201 * kMillisecond));
  CHECK_FALSE(shutdown.ShouldClose(ConnectionActivity::kIdle));
  CHECK(shutdown.Advance(200 * kMillisecond));
  CHECK(shutdown.ShouldClose(ConnectionActivity::kIdle));
  CHECK_FALSE(shutdown.Advance(-3'600'000 * kMillisecond));
  CHECK_FALSE(shutdown.ShouldClose(ConnectionActivity::kPartialRequest));
  CHECK_FALSE(shutdown.ShouldClose(ConnectionActivity::kAwaitingResponse));
}

struct FakeClient {
  EvictionCandidate candidate;
  bool is_protected = false;
  EvictionCandidate eviction_candidate() const { return candidate; }
};

class FullFrontEnd {
 public:
  FakeClient* Add(EvictionRank rank, Time since) {
    auto client = std::make_unique<FakeClient>(FakeClient{{rank, since}});
    FakeClient* added = client.get();
    clients_[clients_.size()] = std::move(client);
    return added;
  }
  FakeClient* Evicted(Time now) const {
    return policy_.Choose(clients_, now, [](const FakeClient& client) { return client.is_protected; });
  }

 private:
  EvictionPolicy policy_{EvictionLimits{.handshake_grace = milliseconds(10),
                                        .first_request_grace = milliseconds(20),
                                        .second_request_grace = milliseconds(30),
                                        .idle_grace = milliseconds(40)}};
  std::map<std::uint64_t, std::unique_ptr<FakeClient>> clients_;
};

TEST_CASE("EvictionPolicy: connections are evicted by rank, then by age; connections in use never") {
  FullFrontEnd front_end;
  CHECK(front_end.Evicted(0) == nullptr);
  front_end.Add(EvictionRank::kInUse, 0);
  CHECK(front_end.Evicted(3'600'000 * kMillisecond) == nullptr);
  const Time now = 1'000 * kMillisecond;
  FakeClient* previous = nullptr;
  for (const EvictionRank rank :
       {EvictionRank::kIdleAfterManyRequests, EvictionRank::kIdleAfterOneRequest, EvictionRank::kNoRequestYet,
        EvictionRank::kHandshake, EvictionRank::kClosing}) {
    FakeClient* older = front_end.Add(rank, 800 * kMillisecond);
    CHECK(front_end.Evicted(now) == older);
    FakeClient* oldest = front_end.Add(rank, 700 * kMillisecond);
    CHECK(front_end.Evicted(now) == oldest);
    oldest->is_protected = true;
    CHECK(front_end.Evicted(now) == older);
    older->is_protected = true;
    CHECK(front_end.Evicted(now) == previous);
    older->is_protected = false;
    previous = older;
  }
}

TEST_CASE("EvictionPolicy: a connection is not evicted during the grace period of its rank") {
  const std::vector<std::pair<EvictionRank, Time>> graces = {
      {EvictionRank::kClosing, 0},
      {EvictionRank::kHandshake, 10 * kMillisecond},
      {EvictionRank::kNoRequestYet, 20 * kMillisecond},
      {EvictionRank::kIdleAfterOneRequest, 30 * kMillisecond},
      {EvictionRank::kIdleAfterManyRequests, 40 * kMillisecond}};
  for (const auto& [rank, grace] : graces) {
    FullFrontEnd front_end;
    FakeClient* client = front_end.Add(rank, 100);
    CHECK(front_end.Evicted(100 + grace) == client);
    if (grace > 0) {
      CHECK(front_end.Evicted(100 + grace - 1) == nullptr);
    }
  }
}

}  // namespace
}  // namespace walnutspur::frontend

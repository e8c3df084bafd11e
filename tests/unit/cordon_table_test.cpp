// Tests the cordon table: which endpoints the scheduler sees while targets are cordoned.
#include "decision/cordon_table.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

namespace walnutspur::test {
namespace {

using decision::CordonTable;

constexpr Time kSecond = 1'000'000;

Endpoint MakeEndpoint(const TargetId& target, EndpointState state = EndpointState::kActive,
                      Time started_at = 0) {
  Endpoint endpoint;
  endpoint.target = target;
  endpoint.state = state;
  endpoint.started_at = started_at;
  return endpoint;
}

// Returns the state of the only endpoint of an update; nullopt if the update changes nothing.
std::optional<EndpointState> StateIn(const EndpointUpdate& update) {
  REQUIRE(update.endpoints.size() <= 1);
  return update.endpoints.empty() ? std::nullopt : std::optional(update.endpoints.front().state);
}

TEST_CASE("cordon table: an id that was never listed cannot be cordoned or uncordoned") {
  CordonTable table;
  table.Overlay({EndpointUpdateKind::kFull, {MakeEndpoint("a")}});
  CHECK_FALSE(table.Cordon("b", kSecond));
  CHECK_FALSE(table.Uncordon("b", kSecond));
  CHECK_FALSE(table.Cordon("", kSecond));
  CHECK_FALSE(table.IsCordoned("b"));
}

TEST_CASE("cordon table: a cordon drains an active target, and its end activates the target") {
  CordonTable table;
  table.Overlay({EndpointUpdateKind::kFull, {MakeEndpoint("a")}});
  const auto cordoned = table.Cordon("a", kSecond);
  REQUIRE(cordoned);
  CHECK(cordoned->kind == EndpointUpdateKind::kOverride);
  CHECK(StateIn(*cordoned) == EndpointState::kDraining);
  const auto uncordoned = table.Uncordon("a", 2 * kSecond);
  REQUIRE(uncordoned);
  CHECK(StateIn(*uncordoned) == EndpointState::kActive);
}

TEST_CASE("cordon table: a cordoned target stays draining in every list, also after it was removed") {
  CordonTable table;
  table.Overlay({EndpointUpdateKind::kCached, {MakeEndpoint("a")}});
  table.Cordon("a", kSecond);
  CHECK(StateIn(table.Overlay({EndpointUpdateKind::kFull, {MakeEndpoint("a")}})) == EndpointState::kDraining);
  CHECK(
      StateIn(table.Overlay({EndpointUpdateKind::kDelta, {MakeEndpoint("a", EndpointState::kTerminated)}})) ==
      EndpointState::kTerminated);
  table.Overlay({EndpointUpdateKind::kFull, {}});
  CHECK(StateIn(table.Overlay({EndpointUpdateKind::kDelta,
                               {MakeEndpoint("a", EndpointState::kActive, 1)}})) == EndpointState::kDraining);
  CHECK(table.IsCordoned("a"));
}

TEST_CASE("cordon table: a target without a cordon passes through unchanged") {
  CordonTable table;
  table.Overlay({EndpointUpdateKind::kFull, {MakeEndpoint("a"), MakeEndpoint("b")}});
  table.Cordon("a", kSecond);
  CHECK(StateIn(table.Overlay({EndpointUpdateKind::kDelta, {MakeEndpoint("b")}})) == EndpointState::kActive);
}

TEST_CASE(
    "cordon table: several cordons are ended by one call, and a call without a cordon changes nothing") {
  CordonTable table;
  table.Overlay({EndpointUpdateKind::kFull, {MakeEndpoint("a")}});
  CHECK(table.Cordon("a", kSecond));
  CHECK(table.Cordon("a", 2 * kSecond));
  CHECK(table.Uncordon("a", 3 * kSecond));
  CHECK_FALSE(table.IsCordoned("a"));
  const auto repeated = table.Uncordon("a", 4 * kSecond);
  REQUIRE(repeated);
  CHECK_FALSE(StateIn(*repeated));
}

TEST_CASE("cordon table: the end of a cordon does not activate a target that is draining or removed") {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kTerminated}) {
    CordonTable table;
    table.Overlay({EndpointUpdateKind::kFull, {MakeEndpoint("a")}});
    table.Cordon("a", kSecond);
    table.Overlay({EndpointUpdateKind::kDelta, {MakeEndpoint("a", state)}});
    const auto update = table.Uncordon("a", 2 * kSecond);
    REQUIRE(update);
    CHECK_FALSE(StateIn(*update));
  }
}

TEST_CASE(
    "cordon table: after a cordon a target counts as started then, unless the list states a start since") {
  constexpr Time kOffset = 100 * kSecond;  // the list's clock is ahead of the events' clock
  const auto started_after = [](Time listed_start) {
    Endpoint endpoint = MakeEndpoint("a", EndpointState::kActive, listed_start);
    endpoint.clock_offset = kOffset;
    CordonTable table;
    table.Overlay({EndpointUpdateKind::kFull, {endpoint}});
    table.Cordon("a", 10 * kSecond);
    return table.Uncordon("a", 20 * kSecond)->endpoints.front().started_at - kOffset;
  };
  CHECK(started_after(0) == 20 * kSecond);                       // started long ago
  CHECK(started_after(kOffset + 5 * kSecond) == 20 * kSecond);   // started before the cordon
  CHECK(started_after(kOffset + 15 * kSecond) == 15 * kSecond);  // restarted during the cordon
}

TEST_CASE(
    "cordon table: the ids of removed targets are known, up to a bound, and a cordon is kept beyond it") {
  CordonTable table;
  const auto replace = [&table](std::size_t number) {
    table.Overlay({EndpointUpdateKind::kFull, {MakeEndpoint("t" + std::to_string(number))}});
  };
  replace(0);
  table.Cordon("t0", kSecond);
  for (std::size_t number = 1; number <= limits::kMaxRecentIds + 2; ++number) {
    replace(number);
  }
  CHECK(table.IsCordoned("t0"));
  CHECK(table.Uncordon("t0", kSecond));
  CHECK_FALSE(table.Cordon("t1", kSecond));
  CHECK(table.Cordon("t4", kSecond));
  CHECK(table.table_entries() == 2);  // the listed target and the cordon of t4
}

TEST_CASE("cordon table: an adopted cordon holds for a target that no list has contained yet") {
  CordonTable table;
  table.Adopt("a", kSecond);
  CHECK(StateIn(table.Overlay({EndpointUpdateKind::kCached, {MakeEndpoint("a")}})) ==
        EndpointState::kDraining);
  CHECK(table.Uncordon("a", 2 * kSecond));
  CHECK_FALSE(table.IsCordoned("a"));
}

}  // namespace
}  // namespace walnutspur::test

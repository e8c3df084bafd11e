// Tests the target pool on its own, and the load reports that it reads.
#include "http/target_pool.h"

#include <doctest/doctest.h>

#include <map>
#include <thread>

#include "app/platform.h"
#include "http/messages.h"
#include "pool_fixture.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

TEST_CASE("TargetPool: a health check reports the outcome and the load of its target") {
  auto json = BasicConfig();
  json["discovery"] = "127.0.0.1:1";
  const http::Config config = app::ParseConfig(json);
  const loop::EventBasePtr base(event_base_new());
  std::vector<core::HealthCheckResult> results;
  core::MemoryAccount memory(config.memory_bytes());
  http::TargetPool pool(base.get(), config, &memory, [&](core::Input input) {
    results.push_back(std::get<core::HealthCheckResult>(input));
    event_base_loopbreak(base.get());
  });
  int port = 0;
  Socket listener = Socket::Listen(&port);
  pool.SetAddress("t", "127.0.0.1:" + std::to_string(port));
  pool.CheckHealth("nowhere");
  pool.CheckHealth("t");
  std::thread server([&] {
    Socket connection = listener.Accept();
    HttpMessage request;
    if (!ReadHttpMessage(connection, &request, 2'000) || !request.start_line.starts_with("GET /-/healthy")) {
      return;
    }
    connection.Send("HTTP/1.1 200 OK\r\nX-Load: {\"queue\":4}\r\nContent-Length: 0\r\n\r\n");
    connection.Fill(2'000);
  });
  event_base_dispatch(base.get());
  pool.Drain("t");  // closes the idle connection
  event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  server.join();
  REQUIRE(results.size() == 2);
  CHECK(results[0].result.outcome == Outcome::kConnectFailed);
  CHECK(results[1].result.outcome == Outcome::kCompleted);
  CHECK(results[1].result.load_report == std::vector<double>{4});
}

TEST_CASE("TargetPool: after a target is removed, its address is no longer tracked") {
  auto json = BasicConfig();
  json["discovery"] = "127.0.0.1:1";
  const http::Config config = app::ParseConfig(json);
  const loop::EventBasePtr base(event_base_new());
  core::MemoryAccount memory(config.memory_bytes());
  http::TargetPool pool(base.get(), config, &memory, [](core::Input) {});
  for (int i = 0; i < 1'000; ++i) {
    pool.SetAddress("t" + std::to_string(i), "127.0.0.1:1");
    pool.Drain("t" + std::to_string(i));
    if (i % 2) {
      pool.Remove("t" + std::to_string(i));
    }
  }
  pool.RetainOnly({"t998"});
  CHECK(pool.tracked_targets() == 1);
}

TEST_CASE("ReadLoadHeaders: load reports are read from response headers; malformed reports are ignored") {
  std::map<std::string, std::string> fields = {
      {"X-Volume-Use", "85"}, {"X-Served-Elsewhere", "3"}, {"X-Load", R"({"util":0.5,"queue":2})"}};
  const http::HeaderLookup header = [&](const char* name) {
    return fields.contains(name) ? fields[name].c_str() : nullptr;
  };
  core::AttemptResult result;
  http::ReadLoadHeaders({"queue", "absent"}, header, &result);
  CHECK(result.reported_usage == 86);  // the simulator's value is one higher
  CHECK(result.units_served_elsewhere == 3);
  CHECK(result.load_report == std::vector<double>{2, 0});
  fields["X-Load"] = "{";
  fields["X-Volume-Use"] = "many";
  core::AttemptResult without_report;
  http::ReadLoadHeaders({"queue"}, header, &without_report);
  CHECK(without_report.reported_usage == 0);
  CHECK(without_report.load_report.empty());
}

// Guards against responses of many targets that exceed the memory limit together.
TEST_CASE("TargetPool: a response waits for memory, and is read once there is some") {
  constexpr std::size_t kBodyBytes = 60'000;
  PoolFixture fixture;
  core::MemoryReservation held(&fixture.memory, limits::MemoryOwner::kHttpResponses);
  REQUIRE(held.Resize(fixture.memory.budget().owner_limit() - kBodyBytes / 2));
  fixture.Start(1);
  Socket target = fixture.Accept();
  CHECK(fixture.ReceivedOn(target) == "GET /api/1");
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
  REQUIRE(target.Send(head + std::string(kBodyBytes, 'x')));
  const Time end = core::Now() + 100'000;
  while (core::Now() < end) {
    event_base_loop(fixture.base.get(), EVLOOP_NONBLOCK);
  }
  CHECK(fixture.results.empty());
  CHECK(fixture.memory.budget().used(limits::MemoryOwner::kHttpResponses) <=
        fixture.memory.budget().owner_limit());
  held.Release();
  fixture.RunUntil([&] { return !fixture.results.empty(); });
  CHECK(fixture.results.front().outcome == Outcome::kCompleted);
  CHECK(fixture.memory.budget().total() >= kBodyBytes - 4'096);
  fixture.results.clear();
  CHECK(fixture.memory.budget().total() == 0);
}

}  // namespace
}  // namespace walnutspur::test

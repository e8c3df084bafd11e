// Tests the parsing of endpoint lists in any formatting, and watches that fail after a list.
#include <doctest/doctest.h>

#include "core/scheduler_thread.h"
#include "http/json_stream.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

constexpr std::size_t kMaxObjectBytes = 4 << 20;

// The objects and the error that a JsonStream reports for a text.
struct StreamResult {
  std::vector<std::string> objects;
  std::string error;  // empty if there is none
  bool operator==(const StreamResult&) const = default;
};

// Feeds `text` to a JsonStream in pieces of `piece` bytes.
StreamResult ReadObjects(const std::string& text, std::size_t piece, std::size_t limit = kMaxObjectBytes) {
  StreamResult result;
  http::JsonStream stream(limit, [&](const std::string& object) {
    result.objects.push_back(object);
    return true;
  });
  for (std::size_t at = 0; at < text.size() && result.error.empty(); at += piece) {
    result.error = stream.Feed(std::string_view(text).substr(at, piece));
  }
  return result;
}

std::string Revision(int revision, int indent, const std::string& state = "SERVING") {
  nlohmann::json list = {{"revision", revision}, {"complete", false}, {"members", nlohmann::json::array()}};
  list["members"].push_back({{"id", "b"}, {"host_port", "127.0.0.1:1"}, {"phase", state}, {"cell", 1}});
  list["odd"] = "a \\ brace } and a \" quote {";
  return list.dump(indent);
}

}  // namespace

TEST_CASE(
    "JsonStream: an object ends at its closing brace, whether indented, escaped, split, or sharing a line") {
  const std::string one = Revision(7, 2);
  const std::string two = Revision(8, -1);
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{100'000}}) {
    const auto [objects, error] = ReadObjects("\n" + one + two + " " + one + "\n\n", piece);
    CHECK(error == "");
    REQUIRE(objects.size() == 3);
    CHECK(objects[0] == one);
    CHECK(objects[1] == two);
    CHECK(objects[2] == one);
  }
}

TEST_CASE(
    "JsonStream: invalid input is reported after the objects before it; an incomplete object is no error") {
  const std::string one = Revision(7, 2);
  for (const char* rubbish :
       {"rubbish", "}", "]", "[1]", "1 ", "\"x\"", "{1}", "{\"a\":}", "null ", "\x01"}) {
    const auto [objects, error] = ReadObjects(one + rubbish, 3);
    CHECK(objects.size() == 1);
    CHECK_MESSAGE(error != "", rubbish);
  }
  CHECK(ReadObjects(one.substr(0, one.size() - 1), 5) == StreamResult{});
}

// Guards against a list whose parsed form takes many times the memory of its text.
TEST_CASE("JsonStream: an object with more values than its maximum size allows is an error") {
  constexpr std::size_t kMaxBytes = 3'200;  // allows 100 values
  for (const int values : {90, 110}) {
    std::string text = "{\"a\":[";
    for (int value = 0; value < values; ++value) {
      text += value == 0 ? "[]" : ",[]";
    }
    int objects = 0;
    http::JsonStream stream(kMaxBytes, [&](const std::string&) { return ++objects > 0; });
    const std::string error = stream.Feed(text + "]}");
    CHECK(error.empty() == (values == 90));
    CHECK(objects == (values == 90 ? 1 : 0));
  }
}

TEST_CASE("JsonStream: an object of 4 MiB is read; one byte more is an error") {
  const std::string largest = "{\"x\":\"" + std::string(kMaxObjectBytes - 8, 'y') + "\"}";
  REQUIRE(largest.size() == kMaxObjectBytes);
  CHECK(ReadObjects(largest, 16'384).objects.size() == 1);
  const auto [objects, error] = ReadObjects(largest.substr(0, 9) + "y" + largest.substr(9), 16'384);
  CHECK(objects.empty());
  CHECK(error.find("4194304") != std::string::npos);
}

TEST_CASE("discovery: lists that are indented, split or share a line are applied without a new watch") {
  ScenarioRunner runner(core::Protocol::kHttp);
  const std::string active = Revision(43, 2);
  const std::string draining = Revision(46, 2, "DRAINING");
  runner.WriteDiscovery(active + "\n", 1);
  runner.Play(R"(
    wait 50
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
  runner.WriteDiscovery(Revision(44, 2) + Revision(45, -1) + "\n" + draining, 11);
  runner.Play(R"(
    wait 50
    client bob send read
    client bob expect refused
    target b expect nothing 50)");
  // Invalid bytes end the watch; the next watch starts from the last revision that was read.
  runner.WriteDiscovery("rubbish", 7);
  runner.Play("discovery expect watch since=46");
}

TEST_CASE(
    "discovery: a watch that is silent right after its list is opened again within 6 s, for any fleet size") {
  for (const bool heartbeat : {false, true}) {
    nlohmann::json config = BasicConfig();
    config["settings"]["nInstances"] = 300;
    ScenarioRunner runner(core::Protocol::kHttp, config);
    if (heartbeat) {  // the response is only a heartbeat, since nothing has changed
      runner.Play("discovery close\n discovery expect watch since=42");
      runner.WriteDiscovery("\n", 1);
    }
    const Time before = core::Now();
    runner.Play("discovery expect watch since=42");
    const Time elapsed = core::Now() - before;
    CHECK(elapsed > 2'400'000);  // a healthy watch may be silent for 2 s
    CHECK(elapsed < 4'000'000);  // leaves 2 s of the 6 s for the call
  }
}

}  // namespace walnutspur::test

// Lists as discovery may write them, and watches that break.
#include <doctest/doctest.h>

#include "core/scheduler_thread.h"
#include "http/json_stream.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

constexpr std::size_t kMost = 4 << 20;

// The objects that are found in `text`, in pieces of so many bytes, and what is wrong in the end.
std::pair<std::vector<std::string>, std::string> Objects(const std::string& text, std::size_t piece,
                                                         std::size_t most = kMost) {
  std::vector<std::string> found;
  http::JsonStream stream(most, [&](const std::string& object) { return found.push_back(object), true; });
  std::string wrong;
  for (std::size_t at = 0; at < text.size() && wrong.empty(); at += piece)
    wrong = stream.Feed(std::string_view(text).substr(at, piece));
  return {found, wrong};
}

std::string Revision(int revision, int indent, const std::string& state = "SERVING") {
  nlohmann::json list = {{"revision", revision}, {"complete", false}, {"members", nlohmann::json::array()}};
  list["members"].push_back({{"id", "b"}, {"host_port", "127.0.0.1:1"}, {"phase", state}, {"cell", 1}});
  list["odd"] = "a \\ brace } and a \" quote {";
  return list.dump(indent);
}

}  // namespace

TEST_CASE("an object ends where its braces close: indented, escaped, in pieces, several on a line") {
  const std::string one = Revision(7, 2), two = Revision(8, -1);
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{100'000}}) {
    const auto [found, wrong] = Objects("\n" + one + two + " " + one + "\n\n", piece);
    CHECK(wrong == "");
    REQUIRE(found.size() == 3);
    CHECK(found[0] == one);
    CHECK(found[1] == two);
    CHECK(found[2] == one);
  }
}

TEST_CASE("what is no object is told, after those in front of it; what is not whole is waited for") {
  const std::string one = Revision(7, 2);
  for (const char* rubbish :
       {"rubbish", "}", "]", "[1]", "1 ", "\"x\"", "{1}", "{\"a\":}", "null ", "\x01"}) {
    const auto [found, wrong] = Objects(one + rubbish, 3);
    CHECK(found.size() == 1);
    CHECK_MESSAGE(wrong != "", rubbish);
  }
  CHECK(Objects(one.substr(0, one.size() - 1), 5) ==
        std::make_pair(std::vector<std::string>{}, std::string()));
}

TEST_CASE("a list of 4 MiB is read; one byte more is none, and is not kept") {
  const std::string whole = "{\"x\":\"" + std::string(kMost - 8, 'y') + "\"}";
  REQUIRE(whole.size() == kMost);
  CHECK(Objects(whole, 16'384).first.size() == 1);
  const auto [found, wrong] = Objects(whole.substr(0, 9) + "y" + whole.substr(9), 16'384);
  CHECK(found.empty());
  CHECK(wrong.find("4194304") != std::string::npos);
}

TEST_CASE("a watch whose lists are indented, in pieces or on one line is followed, without a call too many") {
  ScenarioRunner stage(core::Protocol::kHttp);
  const std::string live = Revision(43, 2), gone = Revision(46, 2, "DRAINING");
  stage.DiscoveryWrites(live + "\n", 1);
  stage.Play(R"(
    wait 50
    client c send read
    box a expect read
    box a send ok
    client c expect served)");
  stage.DiscoveryWrites(Revision(44, 2) + Revision(45, -1) + "\n" + gone, 11);
  stage.Play(R"(
    wait 50
    client bob send read
    client bob expect refused
    box b expect nothing 50)");
  // Behind rubbish a later list is not lost: it is asked for from the revision that was read last.
  stage.DiscoveryWrites("rubbish", 7);
  stage.Play("discovery expect watch since=46");
}

TEST_CASE(
    "a watch that falls silent right after its list is asked for again within 6 s, whatever the fleet") {
  for (const bool beat : {false, true}) {
    nlohmann::json config = BasicConfig();
    config["settings"]["nInstances"] = 300;
    ScenarioRunner stage(core::Protocol::kHttp, config);
    if (beat) {  // nothing has changed: the sign of life is all the answer there is
      stage.Play("discovery close\n discovery expect watch since=42");
      stage.DiscoveryWrites("\n", 1);
    }
    const Time before = core::Now();
    stage.Play("discovery expect watch since=42");
    const Time took = core::Now() - before;
    CHECK(took > 2'400'000);  // a live watch may be still for 2 s
    CHECK(took < 4'000'000);  // which leaves the call its 2 s
  }
}

}  // namespace walnutspur::test

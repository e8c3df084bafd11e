// Tests of the simulator adapter: its line protocol and its handling of invalid input.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "simulator/adapter.h"

namespace walnutspur::simulator {
namespace {

using nlohmann::json;

json MinimalSettings() {
  return json::parse(R"({"nInstances":1,"unknown":{"of":1},
    "classes":[{"aim":400000,"deadline":2000000,"effect":"safe","name":"r","worth":1.0,"novel":7}],
    "policies":[{"rate":5.0,"floorRate":4.0,"parts":1.0,"valueFactor":1.0}],
    "rules":{"drainGrace":1000000,"graceToAnswer":8000,"coldShare":0.2,"warmUp":1000000,"tipMultiple":4.0,
             "overloadFor":1000000},"limits":{"tryLimit":3}})");
}

std::string EnlistLine(int instance) {
  return json{{"op", "enlist"}, {"initiatorId", instance}, {"prng", 5}, {"settings", MinimalSettings()}}
      .dump();
}

const char kCensus0[] =
    R"({"op":"census","list":0,"items":[{"regionPart":0,"scale":1,"cohort":0,"launched":null,"phase":"live","target":"a:1","classOfHost":0}]})";
const char kCensus0Replacement[] =
    R"({"op":"census","list":0,"items":[{"cohort":0,"phase":"live","target":"b:1"}]})";

std::string CachedListLine(int instance) {
  return json{{"op", "membership"}, {"initiatorId", instance}, {"mode", "cached"}, {"stamp", 1}, {"list", 0}}
      .dump();
}

std::string ArrivalLine(int instance, const std::string& id) {
  return json{{"op", "arrival"}, {"initiatorId", instance}, {"tid", id},
              {"tierClass", 0},  {"ttl", 2000000},          {"chunk", "k"},
              {"owner", "v"},    {"priceUnits", 2},         {"liesIn", 0},
              {"mounts", 1},     {"novel", "yes"},          {"serviceLevel", 0}}
      .dump();
}

// Returns the reply to the last batch of `lines`. Each batch must end with eofBatch.
std::string Reply(const std::vector<std::string>& lines) {
  Adapter adapter;
  std::string reply;
  for (const std::string& line : lines) {
    adapter.HandleLine(line, &reply);
  }
  return reply;
}

const char kRound[] = R"({"op":"round","now":5000000})";
const char kEnd[] = R"({"op":"eofBatch"})";

TEST(SimulatorAdapter, EmptyBatchGetsAnEmptyReply) { EXPECT_EQ(Reply({kRound, kEnd}), "{\"op\":\"eor\"}\n"); }

TEST(SimulatorAdapter, SendNamesInstanceRequestAndTarget) {
  const std::string reply =
      Reply({kRound, EnlistLine(3), kCensus0, CachedListLine(3), ArrivalLine(3, "00000000000000aa"), kEnd});
  EXPECT_NE(reply.find(R"("op":"send")"), std::string::npos);
  EXPECT_NE(reply.find(R"("tid":"00000000000000aa")"), std::string::npos);
  EXPECT_NE(reply.find(R"("target":"a:1")"), std::string::npos);
  EXPECT_NE(reply.find(R"("initiatorId":3)"), std::string::npos);
  EXPECT_EQ(reply.substr(reply.size() - 13), "{\"op\":\"eor\"}\n");
}

TEST(SimulatorAdapter, ListNumberReusedWithinABatchReplacesTheListOnlyForInitiatorsThatReadItAfterwards) {
  const std::string reply = Reply({kRound, EnlistLine(1), EnlistLine(2), kCensus0, CachedListLine(1),
                                   kCensus0Replacement, CachedListLine(2), ArrivalLine(1, "0000000000000001"),
                                   ArrivalLine(2, "0000000000000002"), kEnd});
  std::istringstream in(reply);
  int sends = 0;
  for (std::string line; std::getline(in, line);) {
    const json action = json::parse(line);
    if (action["op"] != "send") {
      continue;
    }
    ++sends;
    EXPECT_EQ(action["target"], action["initiatorId"] == 1 ? "a:1" : "b:1");
  }
  EXPECT_EQ(sends, 2);
}

TEST(SimulatorAdapter, KillAndEnlistInOneBatchDiscardsTheEarlierState) {
  Adapter adapter;
  std::string reply;
  for (const std::string& line :
       {std::string(kRound), EnlistLine(1), std::string(kCensus0), CachedListLine(1),
        ArrivalLine(1, "000000000000000a"), std::string(kEnd), std::string(kRound),
        std::string(R"({"op":"kill","initiatorId":1})"), EnlistLine(1), std::string(kCensus0Replacement),
        CachedListLine(1), ArrivalLine(1, "000000000000000b"), std::string(kEnd)}) {
    adapter.HandleLine(line, &reply);
  }
  EXPECT_EQ(reply.find("000000000000000a"), std::string::npos);
  EXPECT_NE(reply.find(R"("target":"b:1")"), std::string::npos);
}

TEST(SimulatorAdapter, EventsForAKilledInstanceAreIgnored) {
  EXPECT_EQ(Reply({kRound, EnlistLine(1), R"({"op":"kill","initiatorId":1})",
                   ArrivalLine(1, "00000000000000aa"), kEnd})
                .find("send"),
            std::string::npos);
}

TEST(SimulatorAdapter, BatchOfMegabytesIsAccepted) {
  Adapter adapter;
  std::string reply;
  adapter.HandleLine(kRound, &reply);
  for (const std::string& line : {EnlistLine(1), std::string(kCensus0), CachedListLine(1)}) {
    adapter.HandleLine(line, &reply);
  }
  char id[17];
  for (int i = 0; i < 12000; ++i) {
    std::snprintf(id, sizeof id, "%016x", i);
    adapter.HandleLine(ArrivalLine(1, id), &reply);
  }
  EXPECT_TRUE(adapter.HandleLine(kEnd, &reply));
  EXPECT_NE(reply.find("send"), std::string::npos);
}

TEST(SimulatorAdapter, InvalidLinesThrow) {
  for (const char* invalid : {"{", "[]", R"({"op":"eofBatch"})", R"({"now":1})"}) {
    Adapter adapter;
    std::string reply;
    EXPECT_THROW(adapter.HandleLine(invalid, &reply), std::exception) << invalid;
  }
  for (const char* invalid :
       {R"({"op":"unknown","initiatorId":1})", R"({"op":"arrival","initiatorId":1})",
        R"({"op":"membership","initiatorId":1,"mode":"full","list":7})",
        R"({"op":"done","initiatorId":1,"tid":"x","trial":0,"target":"a","rc":"odd"})"}) {
    Adapter adapter;
    std::string reply;
    adapter.HandleLine(kRound, &reply);
    EXPECT_THROW(adapter.HandleLine(invalid, &reply), std::exception) << invalid;
  }
}

// Runs the adapter program on `input`; returns its exit code and stores its standard error in `errors`.
int RunAdapter(const std::string& input, std::string* errors) {
  const std::string base = testing::TempDir() + "adapter_" + std::to_string(getpid());
  std::ofstream(base + ".in") << input;
  const std::string command =
      std::string(WALNUTSPUR_SIMULATOR_ADAPTER) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  const int status = std::system(command.c_str());
  std::stringstream text;
  text << std::ifstream(base + ".err").rdbuf();
  *errors = text.str();
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(SimulatorAdapter, ExitsWithZeroAtTheEndOfInput) {
  std::string errors;
  EXPECT_EQ(RunAdapter(std::string(kRound) + "\n" + kEnd + "\n", &errors), 0);
  EXPECT_EQ(errors, "");
}

TEST(SimulatorAdapter, PrintsAnErrorAndExitsWithNonZeroOnInvalidInput) {
  for (const std::string invalid : {"{\n", "{\"op\":\"unknown\"}\n", "{\"op\":\"round\"}\n"}) {
    std::string errors;
    EXPECT_NE(RunAdapter(invalid, &errors), 0) << invalid;
    EXPECT_NE(errors.find("walnutspur_simulator_adapter: line 1"), std::string::npos) << errors;
  }
}

}  // namespace
}  // namespace walnutspur::simulator

#include "scenario_config.h"

namespace walnutspur::test {
namespace {

using nlohmann::json;

json Classes() {
  const json read = {{"name", "read"},   {"aim", 400000}, {"deadline", 1200000},
                     {"effect", "safe"}, {"worth", 3.0},  {"lateWorth", 0.1}};
  json quick = read;  // the tightest objective sets how soon the scheduler considers a target overloaded
  quick["name"] = "quick";
  quick["aim"] = 120000;
  json write = read;
  write["name"] = "write";
  write["effect"] = "unsafe";
  write["worth"] = 2.0;
  return {read, write, quick};
}

json Rules() {
  return {{"askEvery", 10000000}, {"drainGrace", 500000}, {"graceToAnswer", 8000}, {"coldShare", 0.2},
          {"warmUp", 1000000},    {"tipMultiple", 2.0},   {"overloadFor", 1000000}};
}

json AttemptLimits() {
  return {{"tryLimit", 3},           {"cancel", true},      {"probing", true},
          {"maxRetryAfter", 500000}, {"connIdle", 3000000}, {"dialTimeout", 250000}};
}

json Capacity() {
  return {{"largest", 16},
          {"usualUnits", 1.0},
          {"shards", 4},
          {"coldUnits", 20.0},
          {"changesData", {false, true, false}}};
}

}  // namespace

json BasicConfig() {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", 1024}}},
          {"settings",
           {{"nInstances", 1},
            {"discovery", "subscribe"},
            {"classes", Classes()},
            {"policies", {{{"name", "basic"}, {"rate", 50.0}, {"floorRate", 50.0}}}},
            {"rules", Rules()},
            {"limits", AttemptLimits()},
            {"extra", Capacity()},
            {"telemetry", {{"fields", {"queue"}}}}}}};
}

}  // namespace walnutspur::test

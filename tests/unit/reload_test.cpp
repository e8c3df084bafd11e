// Tests which settings may replace the present ones, and how request classes keep their indexes.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "app/class_table.h"
#include "app/errors.h"
#include "app/platform.h"
#include "app/settings_change.h"
#include "lab/fakes/platform_config.h"

namespace walnutspur::test {
namespace {

using app::CheckKeys;
using app::ClassTable;
using nlohmann::json;

constexpr Time kSecond = 1'000'000;

json ValidDocument() {
  lab::PlatformConfig config;
  config.discovery = "127.0.0.1:1";
  return lab::FormatPlatformConfig(config);
}

// Returns a configuration with classes of these names and deadlines.
http::Config ConfigWithClasses(const std::vector<std::pair<std::string, Time>>& classes) {
  lab::PlatformConfig config;
  config.discovery = "127.0.0.1:1";
  config.classes.clear();
  for (const auto& [name, deadline] : classes) {
    lab::PlatformRequestClass request_class;
    request_class.name = name;
    request_class.deadline = deadline;
    config.classes.push_back(request_class);
  }
  return app::ParseConfig(lab::FormatPlatformConfig(config));
}

// Returns the index that a request of the class gets; -1 if it is not accepted.
int IndexIn(const ClassTable& table, const std::string& name) {
  http::Config config;
  table.CopyTo(&config);
  return http::IndexOf(config.names.classes, name);
}

TEST_CASE("settings change: keys that the present settings have must be there with the same type") {
  const json present = json::parse(R"({"classes":[{"name":"a","deadline":5},{"name":"b","deadline":6,"x":1}],
    "limits":{"tryLimit":3,"cancel":true}})");
  const auto error_of = [&present](const char* next) -> std::string {
    try {
      CheckKeys(present, json::parse(next));
    } catch (const app::ConfigError& error) {
      return error.what();
    }
    return "";
  };
  const char* const limits = R"(,"limits":{"tryLimit":2,"cancel":false,"more":1}})";
  CHECK(error_of((R"({"classes":[{"name":"c","deadline":9}])" + std::string(limits)).c_str()) == "");
  CHECK(error_of((R"({"classes":[])" + std::string(limits)).c_str()) == "");
  CHECK(error_of((R"({"classes":[{"name":"c"}])" + std::string(limits)).c_str()) ==
        "'settings.classes[0].deadline' is missing");
  CHECK(error_of((R"({"classes":[{"name":"c","deadline":"9"}])" + std::string(limits)).c_str()) ==
        "'settings.classes[0].deadline' is of type string; allowed: number");
  CHECK(error_of(R"({"classes":[]})") == "'settings.limits' is missing");
  CHECK(error_of(R"({"classes":[],"limits":{"cancel":true}})") == "'settings.limits.tryLimit' is missing");
  CHECK(error_of("null") == "'settings' is of type null; allowed: object");
}

TEST_CASE("platform configuration: deadlines and attempts must be above 0") {
  const json valid = ValidDocument();
  CHECK_NOTHROW(app::ParseConfig(valid));
  for (const int value : {0, -5}) {
    for (const char* pointer :
         {"/settings/classes/0/deadline", "/settings/classes/0/aim", "/settings/limits/tryLimit"}) {
      json changed = valid;
      changed[json::json_pointer(pointer)] = value;
      CHECK_THROWS_AS(app::ParseConfig(changed), app::ConfigError);
    }
  }
}

TEST_CASE("platform configuration: a list of writing classes of another length tells nothing of any class") {
  json document = ValidDocument();
  CHECK(app::ParseConfig(document).writes.size() == 1);
  document["settings"]["extra"]["changesData"] = {true, false};
  CHECK(app::ParseConfig(document).writes.empty());
}

TEST_CASE("class table: an unchanged class keeps its index, a changed or new one gets another") {
  ClassTable table(ConfigWithClasses({{"a", kSecond}, {"b", kSecond}}));
  table.Update(ConfigWithClasses({{"c", kSecond}, {"b", 2 * kSecond}, {"a", kSecond}}), 0);
  CHECK(IndexIn(table, "a") == 0);
  CHECK(IndexIn(table, "c") == 2);
  CHECK(IndexIn(table, "b") == 3);
  http::Config config;
  table.CopyTo(&config);
  CHECK(config.settings.classes[1].deadline == kSecond);  // of requests under way
  CHECK(config.settings.classes[3].deadline == 2 * kSecond);
  CHECK_FALSE(config.settings.classes[1].accepts_requests);
  CHECK(config.settings.classes[3].accepts_requests);
  CHECK(config.max_deadline == 2 * kSecond);
  CHECK(http::IndexOf(config.names.classes, "") == -1);
}

TEST_CASE("class table: a class that is no longer configured is accepted for a while, or until it returns") {
  ClassTable table(ConfigWithClasses({{"a", kSecond}, {"b", kSecond}}));
  table.Update(ConfigWithClasses({{"a", kSecond}}), 0);
  CHECK_FALSE(table.RemoveExpiredNames(app::kClassNameGrace - 1));
  CHECK(IndexIn(table, "b") == 1);
  CHECK(table.RemoveExpiredNames(app::kClassNameGrace));
  CHECK(IndexIn(table, "b") == -1);
  table.Update(ConfigWithClasses({{"a", kSecond}, {"b", kSecond}}), app::kClassNameGrace);
  CHECK(IndexIn(table, "b") == 2);
  table.Update(ConfigWithClasses({{"a", kSecond}}), 2 * app::kClassNameGrace);
  table.Update(ConfigWithClasses({{"a", kSecond}, {"b", kSecond}}), 2 * app::kClassNameGrace + 1);
  CHECK_FALSE(table.RemoveExpiredNames(4 * app::kClassNameGrace));
  CHECK(IndexIn(table, "b") == 2);
}

// Guards against a shutdown that is planned from the deadline of a class that is gone: the platform kills the
// process by the settings in force, and requests that the process then still serves get no response.
TEST_CASE("class table: the longest deadline is that of the classes in force") {
  const auto max_deadline_of = [](const ClassTable& table) {
    http::Config config;
    table.CopyTo(&config);
    return config.max_deadline;
  };
  http::Config first = ConfigWithClasses({{"a", kSecond}, {"b", 2 * kSecond}});
  RequestClass own_class;  // of the scheduler, without a name
  own_class.deadline = 5 * kSecond;
  first.settings.classes.push_back(own_class);
  ClassTable table(first);
  CHECK(max_deadline_of(table) == 2 * kSecond);
  table.Update(ConfigWithClasses({{"a", kSecond}, {"b", 3 * kSecond / 2}}), 0);  // a deadline becomes shorter
  CHECK(max_deadline_of(table) == 3 * kSecond / 2);
  table.Update(ConfigWithClasses({{"a", kSecond}}), 1);  // a class vanishes; its name is still accepted
  CHECK(IndexIn(table, "b") >= 0);
  CHECK(max_deadline_of(table) == kSecond);
  table.Update(ConfigWithClasses({{"a", kSecond}, {"b", 3 * kSecond / 2}}), 2);  // and returns
  CHECK(max_deadline_of(table) == 3 * kSecond / 2);
}

TEST_CASE("class table: many changes use the indexes of replaced classes again, but not at once") {
  ClassTable table(ConfigWithClasses({{"a", kSecond}}));
  Time now = 0;
  for (int change = 1; change <= 3; ++change) {
    table.Update(ConfigWithClasses({{"a", change * kSecond + 1}}), now);
  }
  CHECK(table.size() == 4);
  for (int change = 4; change <= 400; ++change) {
    now += app::kClassIndexGrace / 2;
    table.Update(ConfigWithClasses({{"a", change * kSecond + 1}}), now);
  }
  CHECK(table.size() <= 6);
}

}  // namespace
}  // namespace walnutspur::test

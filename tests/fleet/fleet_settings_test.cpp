// Guards against errors in the [fleet] table of the settings that are not reported, or without their place.
// One line must name the key, the line of the file and the allowed values.
#include "app/fleet_settings.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "app/settings.h"

namespace walnutspur {
namespace {

struct Case {
  std::string text;  // content of the settings file
  std::string line;  // contained in the one reported line
};

void CheckReported(const Case& expected) {
  char path[] = "/tmp/walnutspur-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << expected.text;
  const auto lines = app::CheckFile(path);
  REQUIRE(lines.size() == 1);
  CHECK_MESSAGE(lines[0].find(expected.line) != std::string::npos, lines[0]);
  CHECK_THROWS(app::LoadSettings(path));
  std::remove(path);
}

}  // namespace

TEST_CASE(
    "Settings: an error in the [fleet] table is reported in one line with its place and the allowed values") {
  const std::string good = R"([fleet]
id = "f"
name = "a"
listen = "127.0.0.1:7000"
)";
  CheckReported({good, "fleet.roster: missing; allowed: the names of 3, 5 or 7 members"});
  CheckReported(
      {good + R"(roster = ["a", "b", "c", "d"])", ":5: fleet.roster: has 4 names; allowed: 3, 5 or 7"});
  CheckReported({good + R"(roster = ["a", "b", "a"])", R"(:5: fleet.roster: contains "a" more than once)"});
  CheckReported({R"([fleet]
roster = ["a", "b", "c"]
id = "f"
name = "a"
listen = "x")",
                 R"(:5: fleet.listen: "x" is not an address; allowed: host:port)"});
}

}  // namespace walnutspur

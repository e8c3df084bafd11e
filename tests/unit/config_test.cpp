// Tests the checks of settings files: each error states its line, its key and the allowed values.
#include "nbd/config.h"

#include <doctest/doctest.h>

#include "app/command_line.h"
#include "app/settings.h"
#include "support/temporary_file.h"

namespace walnutspur {
namespace {

using test::TemporaryFile;

TEST_CASE("CheckFile: each kind of invalid value is reported with its line, its key and the allowed values") {
  const struct {
    const char* text;
    const char* line;
  } kCases[] = {
      {"[log]\nlevle = \"warn\"", ":2: log.levle: unknown key; the nearest known key is log.level"},
      {"[log]\nlevel = \"loud\"", R"(:2: log.level: "loud" is not allowed; allowed: one of "debug", "info")"},
      {"[log]\n\nqueue = 3", ":3: log.queue: 3 is out of range; allowed: an integer from 16 to 65536 lines"},
      {"[log]\nqueue = 20.5", ":2: log.queue: not an integer"},
      {"[log]\nper_kind = nan", ":2: log.per_kind: value out of range"},
      {"[log]\nfile = 3", ":2: log.file: not a string"},
      {"[integrity]\ndigests = 1", ":2: integrity.digests: not a boolean"},
      {"[[log]]\nlevel = \"warn\"", ":1: log: unknown key"},
      {"zzz = 1", ":1: zzz: unknown key"},
      {"[log\nlevel = 3", ": invalid TOML"},
  };
  for (const auto& invalid : kCases) {
    const TemporaryFile file(invalid.text);
    const auto lines = app::CheckFile(file.path());
    REQUIRE(lines.size() == 1);
    CHECK_MESSAGE(lines[0].find(invalid.line) != std::string::npos, lines[0]);
    CHECK(lines[0].find('\n') == std::string::npos);
    CHECK_THROWS(app::LoadSettings(file.path()));
  }
  CHECK(app::CheckFile("/nowhere/at/all").front() == "/nowhere/at/all: cannot be read");
}

TEST_CASE("CheckFile: all errors of a file are reported in the order of its lines") {
  const TemporaryFile file("[[box]]\nid = 4\naddress = \"127.0.0.1:1\"\nadress = \"x\"\n");
  const auto lines = app::CheckFile(file.path());
  std::string all;
  for (const auto& line : lines) {
    all += line + "\n";
  }
  CAPTURE(all);
  CHECK(all.find(":2: box[].id: not a string") < all.find(":4: box[].adress"));
  CHECK(all.find("the nearest known key is address") != std::string::npos);
  CHECK(all.find("commands.read: missing") != std::string::npos);
}

TEST_CASE("config::FormatExample: the printed example is valid and states the defaults") {
  const TemporaryFile file(config::FormatExample(app::SettingsKeys()));
  CHECK(app::CheckFile(file.path()).empty());
  const auto from_example = app::LoadSettings(file.path());
  const TemporaryFile empty("");
  const auto from_nothing = app::LoadSettings(empty.path());
  CHECK(from_example.log.level == from_nothing.log.level);
  CHECK(from_nothing.log.level == log::Level::kWarn);
  CHECK_FALSE(from_nothing.digests.on);
  CHECK(from_example.log.queue == 512);
}

TEST_CASE("CheckFile: the settings files in deploy/ are valid") {
  CHECK(app::CheckFile(WALNUTSPUR_ROOT "/deploy/nbd.toml").empty());
  CHECK(app::CheckFile(WALNUTSPUR_ROOT "/deploy/walnutspur.toml").empty());
}

TEST_CASE("config::NearestWord: a known key is suggested only for a similar word") {
  CHECK(config::NearestWord("levl", {"level", "form"}) == "level");
  CHECK(config::NearestWord("xy", {"ab", "form"}).empty());
  CHECK(config::NearestWord("", {"a"}).empty());
}

TEST_CASE("ParseCommand: without arguments the program serves; an error is one line with exit code 2") {
  CHECK(app::ParseCommand({}).action == app::Action::kServe);
  const auto old = app::ParseCommand({"--nbd", "f.toml", "--record", "o.pcap"});
  CHECK(old.action == app::Action::kServe);
  CHECK(old.options.nbd == "f.toml");
  CHECK(old.options.record == "o.pcap");
  CHECK(app::ParseCommand({"serve", "--settings", "s.toml"}).settings == "s.toml");
  CHECK(app::ParseCommand({"check", "a", "b"}).files.size() == 2);
  CHECK(app::ParseCommand({"version"}).action == app::Action::kVersion);
  const auto help = app::ParseCommand({"--help"});
  CHECK(help.exit_code == 0);
  CHECK(help.message.find("check") != std::string::npos);
  for (const std::vector<std::string>& arguments :
       {std::vector<std::string>{"--unknown", "x"}, {"--nbd"}, {"check"}, {"serve", "check"}}) {
    const auto command = app::ParseCommand(arguments);
    CHECK(command.action == app::Action::kPrintMessage);
    CHECK(command.exit_code == 2);
    CHECK(command.message.find('\n') == command.message.size() - 1);
  }
}

}  // namespace
}  // namespace walnutspur

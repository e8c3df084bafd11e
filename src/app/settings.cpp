#include "app/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "app/fleet_settings.h"
#include "app/platform.h"
#include "nbd/config.h"

namespace walnutspur::app {

using config::Kind;

const std::vector<config::Key>& SettingsKeys() {
  static const std::vector<config::Key> keys = [] {
    std::vector<config::Key> all = {
        {"log.level",
         Kind::kText,
         0,
         0,
         "",
         "\"warn\"",
         {"debug", "info", "warn", "error", "off"},
         false,
         "events under this level are not logged"},
        {"log.form", Kind::kText, 0, 0, "", "\"logfmt\"", {"logfmt", "json"}, false, "how a line is written"},
        {"log.file", Kind::kText, 0, 4096, "", "\"\"", {}, false, "where lines go; empty: standard error"},
        {"log.queue",
         Kind::kInteger,
         16,
         65536,
         "lines",
         "512",
         {},
         false,
         "lines that wait to be written; beyond, the oldest is dropped and counted"},
        {"log.per_kind",
         Kind::kNumber,
         0.1,
         10000,
         "lines a second",
         "5.0",
         {},
         false,
         "lines of one kind of event; what is held back is counted in the next"},
        {"integrity.digests",
         Kind::kBool,
         0,
         0,
         "",
         "false",
         {},
         false,
         "digest fields (RFC 9530) of requests and answers are verified and passed on"},
        {"integrity.compute",
         Kind::kText,
         0,
         0,
         "",
         "\"crc32c\"",
         {"crc32c", "sha-256", "sha-512", "none"},
         false,
         "the digest given to writes that come without one, and asked of boxes"},
        {"integrity.folder",
         Kind::kText,
         0,
         4096,
         "",
         "\"\"",
         {},
         false,
         "keeps the damage ledger, the scrub's cursors and the control socket; empty: the ledger is in "
         "memory"},
        {"scrub.on",
         Kind::kBool,
         0,
         0,
         "",
         "false",
         {},
         false,
         "checksummed exports are read in the background, round after round"},
        {"scrub.bytes",
         Kind::kNumber,
         4096,
         1e10,
         "bytes a second",
         "8388608.0",
         {},
         false,
         "at most, at a box"},
        {"scrub.requests",
         Kind::kNumber,
         0.1,
         1e5,
         "requests a second",
         "100.0",
         {},
         false,
         "at most, at a box"},
        {"scrub.in_flight", Kind::kInteger, 1, 16, "requests", "1", {}, false, "at a box"},
        {"scrub.floor",
         Kind::kNumber,
         0,
         1000,
         "requests a second",
         "1.0",
         {},
         false,
         "kept up whatever live work needs; 0: the scrub may stand still"},
        {"scrub.wish",
         Kind::kNumber,
         0,
         3650,
         "days",
         "7.0",
         {},
         false,
         "every block within this time; 0: no wish"},
        {"scrub.most_missed",
         Kind::kNumber,
         0,
         1,
         "",
         "0.02",
         {},
         false,
         "part of live requests that may miss their aim before the scrub falls to its floor"},
        {"nbd.file",
         Kind::kText,
         0,
         4096,
         "",
         "\"\"",
         {},
         false,
         "the NBD front's own file, as --nbd; empty: there is no such front"},
    };
    for (config::Key& key : FleetKeys()) all.push_back(std::move(key));
    return all;
  }();
  return keys;
}

Settings LoadSettings(const std::string& path) {
  const config::Document document = config::ReadFile(path, SettingsKeys());
  if (!document.problems.empty()) throw std::runtime_error(config::Line(path, document.problems.front()));
  const config::Table& root = document.root;
  std::vector<config::Problem> problems;
  const auto fleet = ReadFleet(root, &problems);
  if (!problems.empty()) throw std::runtime_error(config::Line(path, problems.front()));
  Settings s;
  s.log.level = *log::LevelOf(root.Text("log.level"));
  s.log.form = root.Text("log.form") == "json" ? log::Form::kJson : log::Form::kLogfmt;
  s.log.file = root.Text("log.file");
  s.log.queue = static_cast<std::size_t>(root.Integer("log.queue"));
  s.log.per_kind = root.Number("log.per_kind");
  s.digests.on = root.Bool("integrity.digests");
  s.digests.compute = integrity::AlgorithmOf(root.Text("integrity.compute"));
  s.folder = root.Text("integrity.folder");
  s.scrub.enabled = root.Bool("scrub.on");
  s.scrub.job.bytes_a_second = root.Number("scrub.bytes");
  s.scrub.job.requests_a_second = root.Number("scrub.requests");
  s.scrub.job.in_flight = static_cast<int>(root.Integer("scrub.in_flight"));
  s.scrub.job.floor_a_second = root.Number("scrub.floor");
  s.scrub.job.wish = static_cast<Time>(root.Number("scrub.wish") * 86400e6);
  s.scrub.pressure.most_missed = root.Number("scrub.most_missed");
  s.nbd = root.Text("nbd.file");
  s.fleet = fleet;
  return s;
}

std::vector<std::string> CheckFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream stream;
  stream << file.rdbuf();
  const std::string text = stream.str();
  std::vector<std::string> lines;
  if (!file) return {path + ": cannot be read"};
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first != std::string::npos && text[first] == '{') {
    try {
      LoadConfig(path);
    } catch (const std::exception& error) {
      lines.emplace_back(error.what());
    }
    return lines;
  }
  const auto holds = [&](const char* word) { return ("\n" + text).find(word) != std::string::npos; };
  const bool is_nbd = holds("\n[commands]") || holds("\n[[box]]") || holds("\n[[export]]");
  config::Document document = config::Read(text, is_nbd ? nbd::Keys() : SettingsKeys());
  if (!is_nbd && document.problems.empty()) ReadFleet(document.root, &document.problems);
  for (const config::Problem& problem : document.problems) lines.push_back(config::Line(path, problem));
  return lines;
}

}  // namespace walnutspur::app

#include "app/settings.h"

#include <algorithm>
#include <array>
#include <exception>
#include <fstream>
#include <sstream>

#include "app/errors.h"
#include "app/fleet_settings.h"
#include "app/platform.h"
#include "nbd/config.h"

namespace walnutspur::app {
namespace {

constexpr double kMicrosPerDay = 86400e6;
// A file with one of these tables is the configuration of an NBD front end; any other is a settings file.
constexpr std::array<const char*, 3> kNbdTables = {"\n[commands]", "\n[[box]]", "\n[[export]]"};

log::Options ReadLog(const config::Table& root) {
  log::Options options;
  options.level = *log::ParseLevel(root.Text("log.level"));
  options.form = root.Text("log.form") == "json" ? log::Form::kJson : log::Form::kLogfmt;
  options.file = root.Text("log.file");
  options.queue = static_cast<std::size_t>(root.Integer("log.queue"));
  options.per_kind = root.Number("log.per_kind");
  return options;
}

http::DigestOptions ReadDigests(const config::Table& root) {
  http::DigestOptions options;
  options.on = root.Bool("integrity.digests");
  options.compute = integrity::AlgorithmOf(root.Text("integrity.compute"));
  return options;
}

checksummed::ScrubOptions ReadScrub(const config::Table& root) {
  checksummed::ScrubOptions options;
  options.enabled = root.Bool("scrub.on");
  options.job.max_bytes_per_second = root.Number("scrub.bytes");
  options.job.max_requests_per_second = root.Number("scrub.requests");
  options.job.max_in_flight = static_cast<int>(root.Integer("scrub.in_flight"));
  options.job.min_requests_per_second = root.Number("scrub.floor");
  options.job.goal = static_cast<Time>(root.Number("scrub.wish") * kMicrosPerDay);
  options.pressure.max_missed_fraction = root.Number("scrub.most_missed");
  return options;
}

std::vector<std::string> CheckPlatformConfig(const std::string& path) {
  try {
    LoadConfig(path);
  } catch (const std::exception& error) {
    return {error.what()};
  }
  return {};
}

bool IsJson(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  return first != std::string::npos && text[first] == '{';
}

bool IsNbdConfig(const std::string& text) {
  const std::string lines = "\n" + text;
  return std::ranges::any_of(kNbdTables,
                             [&lines](const char* table) { return lines.find(table) != std::string::npos; });
}

}  // namespace

Settings LoadSettings(const std::string& path) {
  const config::Document document = config::ReadFile(path, SettingsKeys());
  const config::Table& root = document.root;
  std::vector<config::Problem> problems = document.problems;
  Settings settings;
  if (problems.empty()) {
    settings.fleet = ReadFleet(root, &problems);
  }
  if (!problems.empty()) {
    throw ConfigError(config::FormatProblem(path, problems.front()));
  }
  settings.log = ReadLog(root);
  settings.digests = ReadDigests(root);
  settings.folder = root.Text("integrity.folder");
  settings.scrub = ReadScrub(root);
  settings.nbd = root.Text("nbd.file");
  return settings;
}

std::vector<std::string> CheckFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream stream;
  stream << file.rdbuf();
  if (!file) {
    return {path + ": cannot be read"};
  }
  const std::string text = stream.str();
  if (IsJson(text)) {
    return CheckPlatformConfig(path);
  }
  const bool is_nbd = IsNbdConfig(text);
  config::Document document = config::Read(text, is_nbd ? nbd::Keys() : SettingsKeys());
  if (!is_nbd && document.problems.empty()) {
    ReadFleet(document.root, &document.problems);
  }
  std::vector<std::string> lines;
  for (const config::Problem& problem : document.problems) {
    lines.push_back(config::FormatProblem(path, problem));
  }
  return lines;
}

}  // namespace walnutspur::app

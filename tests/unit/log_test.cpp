// Tests logging: escaped values, the rate limit per kind of event, and the bounded queue.
#include "log/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

#include "log/event_kinds.h"
#include "support/temporary_file.h"

namespace walnutspur::log {
namespace {

TEST_CASE("Format: a value cannot add a line or a field") {
  const std::vector<Field> fields{{"box", "a b"}, {"what", "x\nlevel=error \"q\"\\"}, {"empty", ""}};
  const std::string plain = Format(Form::kLogfmt, 1'700'000'000'123'456, Level::kWarn, "spoilt", fields);
  CHECK(plain ==
        "time=2023-11-14T22:13:20.123Z level=warn event=spoilt box=\"a b\" "
        "what=\"x\\u000alevel=error \\\"q\\\"\\\\\" empty=\"\"");
  const auto json = nlohmann::json::parse(Format(Form::kJson, 0, Level::kError, "k", fields));
  CHECK(json["what"] == "x\nlevel=error \"q\"\\");
  CHECK(json["level"] == "error");
}

TEST_CASE("RateLimiter: events are limited per kind, and suppressed events are counted") {
  RateLimiter limiter(2);
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    admitted += limiter.Admit("a", 0).has_value() ? 1 : 0;
  }
  CHECK(admitted == 4);
  CHECK(limiter.Admit("b", 0) == 0u);
  CHECK_FALSE(limiter.Admit("a", 400'000));
  CHECK(limiter.Admit("a", 600'000) == 97u);
  CHECK(limiter.Admit("a", 1'600'000) == 0u);
  CHECK(limiter.Admit("b", -5'000'000));  // the clock was stepped back
}

TEST_CASE("Logger: if the log cannot be written, Log does not block; lines are dropped and counted") {
  char path[] = "/tmp/walnutspur-fifo-XXXXXX";
  close(mkstemp(path));
  std::remove(path);
  REQUIRE(mkfifo(path, 0600) == 0);
  const int reader = open(path, O_RDONLY | O_NONBLOCK);
  Options options;
  options.file = path;
  options.queue = 16;
  options.per_kind = 10000;
  {
    Logger logger(options);
    // The pipe holds 64 KiB. When it is full, the writer thread blocks and lines only fill the queue.
    const std::string large(1000, 'x');
    for (int i = 0; i < 2000; ++i) {
      logger.Log(Level::kWarn, "full", {{"v", large}});
    }
    CHECK(logger.dropped() > 0);
    fcntl(reader, F_SETFL, 0);  // a blocking reader, so that the pipe is drained
    std::thread drain([reader] {
      char bytes[65536];
      while (read(reader, bytes, sizeof bytes) > 0) {
      }
    });
    drain.detach();
  }
  std::remove(path);
}

TEST_CASE("Logger: events below the level are not written") {
  const test::TemporaryFile log_file;
  {
    Options options;
    options.file = log_file.path();
    Logger logger(options);
    logger.Log(Level::kInfo, "quiet");
    logger.Log(Level::kError, "loud", {{"request", "7"}});
  }
  std::ifstream file(log_file.path());
  std::string line;
  std::string rest;
  std::getline(file, line);
  CHECK(line.find("level=error event=loud request=7") != std::string::npos);
  CHECK_FALSE(std::getline(file, rest));
}

// Operators look up kinds of events in docs/operators/logs.md. They would not find a kind that the page lacks
// or that it lists under another name.
TEST_CASE("Event kinds: the operators' page has a row for each kind and no others") {
  std::ifstream page(WALNUTSPUR_ROOT "/docs/operators/logs.md");
  REQUIRE(page);
  std::set<std::string> documented;
  bool in_table = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("## ")) {
      in_table = line == "## Kinds of events";
    } else if (in_table && line.starts_with("| `")) {
      documented.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  CHECK(documented == std::set<std::string>(kAllEventKinds.begin(), kAllEventKinds.end()));
}

}  // namespace
}  // namespace walnutspur::log

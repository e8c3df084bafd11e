// Logs: forms that cannot be forged by values, limits by kind, a queue that drops and counts.
#include "log/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace walnutspur::log {
namespace {

TEST_CASE("a value cannot make a line or a field of its own") {
  const std::vector<Field> fields{{"box", "a b"}, {"what", "x\nlevel=error \"q\"\\"}, {"empty", ""}};
  const std::string plain = Format(Form::kLogfmt, 1'700'000'000'123'456, Level::kWarn, "spoilt", fields);
  CHECK(plain ==
        "time=2023-11-14T22:13:20.123Z level=warn event=spoilt box=\"a b\" "
        "what=\"x\\u000alevel=error \\\"q\\\"\\\\\" empty=\"\"");
  const auto json = nlohmann::json::parse(Format(Form::kJson, 0, Level::kError, "k", fields));
  CHECK(json["what"] == "x\nlevel=error \"q\"\\");
  CHECK(json["level"] == "error");
}

TEST_CASE("events of one kind are limited, others are not, and what was held back is counted") {
  Limiter limiter(2);
  int let_through = 0;
  for (int i = 0; i < 100; ++i) let_through += limiter.Admit("a", 0).has_value();
  CHECK(let_through == 4);
  CHECK(limiter.Admit("b", 0) == 0u);
  CHECK_FALSE(limiter.Admit("a", 400'000));
  CHECK(limiter.Admit("a", 600'000) == 97u);
  CHECK(limiter.Admit("a", 1'600'000) == 0u);
  CHECK(limiter.Admit("b", -5'000'000));  // a clock that jumps back gives nothing and breaks nothing
}

TEST_CASE("a log that cannot be written holds nobody up: lines are dropped and counted") {
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
    // The pipe takes 64 KiB; the writer's thread then waits in write, and the queue is what is left.
    const std::string large(1000, 'x');
    for (int i = 0; i < 2000; ++i) logger.Log(Level::kWarn, "full", {{"v", large}});
    CHECK(logger.dropped() > 0);
    fcntl(reader, F_SETFL, 0);  // now it is read, and the logger can end
    std::thread drain([reader] {
      char bytes[65536];
      while (read(reader, bytes, sizeof bytes) > 0) {
      }
    });
    drain.detach();
  }
  std::remove(path);
}

TEST_CASE("what is under the level is not written") {
  char path[] = "/tmp/walnutspur-log-XXXXXX";
  close(mkstemp(path));
  {
    Options options;
    options.file = path;
    Logger logger(options);
    logger.Log(Level::kInfo, "quiet");
    logger.Log(Level::kError, "loud", {{"request", "7"}});
  }
  std::ifstream file(path);
  std::string line, rest;
  std::getline(file, line);
  CHECK(line.find("level=error event=loud request=7") != std::string::npos);
  CHECK_FALSE(std::getline(file, rest));
  std::remove(path);
}

}  // namespace
}  // namespace walnutspur::log

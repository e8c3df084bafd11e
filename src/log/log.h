// Structured logs: one event a line, as logfmt or JSON, with its fields.
//
// Asynchronous and bounded, by spdlog: a line is put together by who logs it and written by a thread of the
// logger's. A full queue drops the oldest line and counts it; whoever logs is never held up. Repeated events
// are limited by kind: what was held back is counted in the kind's next line.
#ifndef WALNUTSPUR_LOG_LOG_H_
#define WALNUTSPUR_LOG_LOG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace walnutspur::log {

enum class Level { kDebug, kInfo, kWarn, kError, kOff };
enum class Form { kLogfmt, kJson };

struct Options {
  Level level = Level::kWarn;  // quiet by default
  Form form = Form::kLogfmt;
  std::string file;         // empty: standard error
  std::size_t queue = 512;  // lines that wait to be written
  double per_kind = 5;      // lines a second of one kind, beyond a burst of twice as many
};

// Decides whether an event of a kind may be logged now. Without a clock: times are microseconds of one that
// never runs backwards.
class Limiter {
 public:
  explicit Limiter(double rate) : rate_(rate) {}
  // Nothing: it is held back. Else how many of its kind were held back since the last that was let through.
  std::optional<std::uint64_t> Admit(std::string_view kind, std::int64_t now);

 private:
  struct Kind {
    double tokens = 0;
    std::int64_t at = 0;
    std::uint64_t held = 0;
  };
  double rate_;
  std::map<std::string, Kind, std::less<>> kinds_;  // few: kinds are named in the code, not by input
};

using Field = std::pair<std::string, std::string>;

// One line without its end. Values that logfmt could misread are quoted, with the escapes of JSON.
std::string Format(Form form, std::int64_t now, Level level, std::string_view kind,
                   const std::vector<Field>& fields);

// Reads "debug", "info", "warn", "error" or "off"; nothing else is one.
std::optional<Level> LevelOf(std::string_view word);

// The logger of a process. Threads may share it.
class Logger {
 public:
  explicit Logger(const Options& options);  // throws std::runtime_error if the file cannot be opened
  ~Logger();                                // writes what waits

  void Log(Level level, std::string_view kind, const std::vector<Field>& fields = {});
  bool enabled(Level level) const { return level >= options_.level && options_.level != Level::kOff; }
  std::uint64_t dropped() const;  // lines that a full queue cost

 private:
  struct Sink;
  Options options_;
  std::mutex mutex_;
  Limiter limiter_;
  std::unique_ptr<Sink> sink_;
};

// The one that the process uses: warnings to standard error until `Use` gives another, which must outlive
// whatever logs. A process that never logs starts no thread.
void Use(Logger* logger);
void Event(Level level, std::string_view kind, const std::vector<Field>& fields = {});

}  // namespace walnutspur::log

#endif  // WALNUTSPUR_LOG_LOG_H_

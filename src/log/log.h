// Structured logging: one event a line, as logfmt or JSON, with its fields.
//
// Asynchronous and bounded, by spdlog: the logging thread formats a line, a thread of the logger writes it. A
// full queue drops its oldest line and counts it, so that logging never blocks. Repeated events are
// rate-limited by kind; the next line of the kind says how many were suppressed. main owns the logger of the
// process; Event may be called from any thread.
#ifndef WALNUTSPUR_LOG_LOG_H_
#define WALNUTSPUR_LOG_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::log {

// In order of severity. kOff: as a threshold, nothing is logged.
enum class Level { kDebug, kInfo, kWarn, kError, kOff };
enum class Form { kLogfmt, kJson };

// The log file cannot be opened.
class LogError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Options {
  Level level = Level::kWarn;  // events below it are not logged
  Form form = Form::kLogfmt;
  std::string file;         // empty: standard error
  std::size_t queue = 512;  // lines that are not written yet, at most
  double per_kind = 5;      // lines of one kind per second, on average; a burst may have twice as many
};

// Rate limit by kind of event: a token bucket for each kind. Has no clock: times are microseconds that never
// run backwards. Not thread-safe.
class RateLimiter {
 public:
  // `rate` is in events per second.
  explicit RateLimiter(double rate) : rate_(rate) {}
  // Admits an event at `now`: returns how many of its kind were suppressed since the last one admitted.
  // Returns nothing if the event is to be suppressed.
  std::optional<std::uint64_t> Admit(std::string_view kind, std::int64_t now);

 private:
  struct Bucket {
    double tokens = 0;
    std::int64_t updated_at = 0;  // us
    std::uint64_t suppressed = 0;
  };
  double rate_;
  std::map<std::string, Bucket, std::less<>> buckets_;  // few: kinds are named in the code, not by input
};

// A field of an event.
struct Field {
  std::string name;
  std::string value;
};

// Formats a line, without its end. Values that logfmt could misread are quoted, with the escapes of JSON.
// `now` is Unix time in microseconds.
std::string Format(Form form, std::int64_t now, Level level, std::string_view kind,
                   const std::vector<Field>& fields);

// Parses "debug", "info", "warn", "error" or "off"; nothing for any other word.
std::optional<Level> ParseLevel(std::string_view word);

// A logger with a queue and a writing thread of its own. Thread-safe.
class Logger {
 public:
  // Throws LogError if the file cannot be opened.
  explicit Logger(const Options& options);
  // Writes what is queued.
  ~Logger();

  void Log(Level level, std::string_view kind, const std::vector<Field>& fields = {});
  bool enabled(Level level) const { return level >= options_.level && options_.level != Level::kOff; }
  // Lines that were dropped from the full queue.
  std::uint64_t dropped() const;

 private:
  struct Sink;
  Options options_;
  std::mutex mutex_;  // guards limiter_
  RateLimiter limiter_;
  std::unique_ptr<Sink> sink_;
};

// Makes `logger`, which has to outlive its use, the logger of the process. Before, warnings and errors go to
// standard error; a process that never logs starts no thread.
void SetProcessLogger(Logger* logger);

// Logs an event by the logger of the process. `kind` is one of event_kinds.h.
void Event(Level level, std::string_view kind, const std::vector<Field>& fields = {});

}  // namespace walnutspur::log

#endif  // WALNUTSPUR_LOG_LOG_H_

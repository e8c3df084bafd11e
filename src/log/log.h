// Structured logging: writes each event with its fields as one line of logfmt or JSON.
//
// Logging is asynchronous and bounded (spdlog): the calling thread formats a line, and a writer thread of the
// logger writes it. If the queue is full, its oldest line is dropped and counted, so that logging never
// blocks. Events are rate-limited by kind; the next line of the kind states how many were suppressed. main
// owns the logger of the process; Event may be called from any thread.
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

// Levels in order of severity. kOff is only a threshold: nothing is logged.
enum class Level { kDebug, kInfo, kWarn, kError, kOff };
enum class Form { kLogfmt, kJson };

// Thrown if the log file cannot be opened.
class LogError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Options {
  Level level = Level::kWarn;  // events below it are not logged
  Form form = Form::kLogfmt;
  std::string file;         // empty: standard error
  std::size_t queue = 512;  // maximum number of lines not written yet
  double per_kind = 5;      // average lines of one kind per second; a burst may have twice as many
};

// Class RateLimiter limits the rate of events by kind, with a token bucket for each kind. It reads no clock:
// the caller passes times in microseconds, which should not run backwards. Not thread-safe.
class RateLimiter {
 public:
  // `rate` is in events per second.
  explicit RateLimiter(double rate) : rate_(rate) {}
  // Decides on an event at `now`. If it is admitted, returns how many events of its kind were suppressed
  // since the last one admitted; returns nullopt if it must be suppressed.
  std::optional<std::uint64_t> Admit(std::string_view kind, std::int64_t now);

 private:
  struct Bucket {
    double tokens = 0;
    std::int64_t updated_at = 0;  // us
    std::uint64_t suppressed = 0;
  };
  double rate_;
  std::map<std::string, Bucket, std::less<>> buckets_;  // bounded: kinds are constants of the code, not input
};

// A field of an event.
struct Field {
  std::string name;
  std::string value;
};

// Formats a line without the line break. In logfmt, values that could be misread are quoted, with the escapes
// of JSON. `now` is Unix time in microseconds.
std::string Format(Form form, std::int64_t now, Level level, std::string_view kind,
                   const std::vector<Field>& fields);

// Parses "debug", "info", "warn", "error" or "off"; returns nullopt for any other word.
std::optional<Level> ParseLevel(std::string_view word);

// Class Logger writes events to standard error or to a file, with a queue and a writer thread of its own.
// Thread-safe.
class Logger {
 public:
  // Throws LogError if the file cannot be opened.
  explicit Logger(const Options& options);
  // Writes the queued lines.
  ~Logger();

  void Log(Level level, std::string_view kind, const std::vector<Field>& fields = {});
  bool enabled(Level level) const { return level >= options_.level && options_.level != Level::kOff; }
  // Returns the number of lines that were dropped because the queue was full.
  std::uint64_t dropped() const;

 private:
  struct Sink;
  Options options_;
  std::mutex mutex_;  // guards limiter_
  RateLimiter limiter_;
  std::unique_ptr<Sink> sink_;
};

// Makes `logger`, which must outlive its use, the logger of the process. Until then, warnings and errors are
// written to standard error. A process that never logs starts no writer thread.
void SetProcessLogger(Logger* logger);

// Logs an event with the logger of the process. `kind` is one of the constants in event_kinds.h.
void Event(Level level, std::string_view kind, const std::vector<Field>& fields = {});

}  // namespace walnutspur::log

#endif  // WALNUTSPUR_LOG_LOG_H_

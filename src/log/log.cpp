#include "log/log.h"

#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

namespace walnutspur::log {
namespace {

// Maximum burst of events of one kind, in seconds of the rate limit.
constexpr double kBurstSeconds = 2;

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

const char* LevelName(Level level) {
  static constexpr std::array<const char*, 5> kNames = {"debug", "info", "warn", "error", "off"};
  return kNames[static_cast<std::size_t>(level)];
}

bool IsControl(unsigned char byte) { return byte < kFirstPrintable || byte == kDelete; }

// Escapes quotes, backslashes and control characters: a line break in a value must not start another line.
std::string Escape(std::string_view text) {
  std::string out;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      out += '\\';
      out += character;
    } else if (IsControl(byte)) {
      std::array<char, 8> code{};
      std::snprintf(code.data(), code.size(), "\\u%04x", byte);
      out += code.data();
    } else {
      out += character;
    }
  }
  return out;
}

std::string Quote(std::string_view text) { return '"' + Escape(text) + '"'; }

// Quotes the text unless logfmt parses it as one value without quotes.
std::string QuoteForLogfmt(std::string_view text) {
  const bool plain = !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
    return character > kFirstPrintable && character != kDelete && character != '"' && character != '=' &&
           character != '\\';
  });
  return plain ? std::string(text) : Quote(text);
}

std::string FormatTime(std::int64_t now) {
  const auto seconds = static_cast<std::time_t>(now / kMicrosPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 48> text{};
  const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  const auto millis = static_cast<int>(now / kMicrosPerMilli % 1000);
  std::snprintf(text.data() + size, text.size() - size, ".%03dZ", millis);
  return text.data();
}

std::int64_t Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string FormatJson(std::int64_t now, Level level, std::string_view kind,
                       const std::vector<Field>& fields) {
  std::string out = R"({"time":)" + Quote(FormatTime(now)) + R"(,"level":")" + LevelName(level) +
                    R"(","event":)" + Quote(kind);
  for (const Field& field : fields) {
    out += "," + Quote(field.name) + ":" + Quote(field.value);
  }
  return out + "}";
}

std::string FormatLogfmt(std::int64_t now, Level level, std::string_view kind,
                         const std::vector<Field>& fields) {
  std::string out =
      "time=" + FormatTime(now) + " level=" + LevelName(level) + " event=" + QuoteForLogfmt(kind);
  for (const Field& field : fields) {
    out += " " + field.name + "=" + QuoteForLogfmt(field.value);
  }
  return out;
}

spdlog::sink_ptr OpenSink(const std::string& file) {
  if (file.empty()) {
    return std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  try {
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  } catch (const spdlog::spdlog_ex&) {
    throw LogError("cannot open log file " + file);
  }
}

std::atomic<Logger*>& ProcessLogger() {
  static std::atomic<Logger*> logger{nullptr};
  return logger;
}

}  // namespace

std::optional<Level> ParseLevel(std::string_view word) {
  for (const Level level : {Level::kDebug, Level::kInfo, Level::kWarn, Level::kError, Level::kOff}) {
    if (word == LevelName(level)) {
      return level;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> RateLimiter::Admit(std::string_view kind, std::int64_t now) {
  const double capacity = std::max(1.0, rate_ * kBurstSeconds);
  auto position = buckets_.find(kind);
  if (position == buckets_.end()) {
    position = buckets_.emplace(std::string(kind), Bucket{capacity, now, 0}).first;
  }
  Bucket& bucket = position->second;
  const auto elapsed = static_cast<double>(std::max<std::int64_t>(0, now - bucket.updated_at));
  bucket.tokens = std::min(capacity, bucket.tokens + rate_ * elapsed / kMicrosPerSecond);
  bucket.updated_at = std::max(bucket.updated_at, now);
  if (bucket.tokens < 1) {
    ++bucket.suppressed;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.suppressed, 0);
}

std::string Format(Form form, std::int64_t now, Level level, std::string_view kind,
                   const std::vector<Field>& fields) {
  return form == Form::kJson ? FormatJson(now, level, kind, fields) : FormatLogfmt(now, level, kind, fields);
}

// The members are declared in this order so that the pool, and with it the writer thread, is destroyed first:
// queued lines share ownership of the logger, and the writer thread must not be the one that destroys it.
struct Logger::Sink {
  std::shared_ptr<spdlog::async_logger> logger;
  std::shared_ptr<spdlog::details::thread_pool> pool;
};

Logger::Logger(const Options& options)
    : options_(options), limiter_(options.per_kind), sink_(std::make_unique<Sink>()) {
  spdlog::sink_ptr sink = OpenSink(options.file);
  sink_->pool = std::make_shared<spdlog::details::thread_pool>(std::max<std::size_t>(1, options.queue), 1);
  sink_->logger = std::make_shared<spdlog::async_logger>("walnutspur", std::move(sink), sink_->pool,
                                                         spdlog::async_overflow_policy::overrun_oldest);
  sink_->logger->set_pattern("%v");
  sink_->logger->set_level(spdlog::level::trace);  // the threshold is applied by Log
  sink_->logger->flush_on(spdlog::level::err);
}

Logger::~Logger() { sink_->logger->flush(); }

std::uint64_t Logger::dropped() const { return sink_->pool->overrun_counter(); }

void Logger::Log(Level level, std::string_view kind, const std::vector<Field>& fields) {
  if (!enabled(level)) {
    return;
  }
  const std::int64_t now = Now();
  std::optional<std::uint64_t> suppressed;
  {
    const std::lock_guard lock(mutex_);
    suppressed = limiter_.Admit(kind, now);
  }
  if (!suppressed) {
    return;
  }
  std::vector<Field> all_fields = fields;
  if (*suppressed > 0) {
    all_fields.push_back({"suppressed", std::to_string(*suppressed)});
  }
  sink_->logger->log(level >= Level::kError ? spdlog::level::err : spdlog::level::info, "{}",
                     Format(options_.form, now, level, kind, all_fields));
}

void SetProcessLogger(Logger* logger) { ProcessLogger() = logger; }

void Event(Level level, std::string_view kind, const std::vector<Field>& fields) {
  if (Logger* logger = ProcessLogger()) {
    logger->Log(level, kind, fields);
    return;
  }
  if (level < Level::kWarn) {
    return;
  }
  static Logger fallback{Options{}};
  fallback.Log(level, kind, fields);
}

}  // namespace walnutspur::log

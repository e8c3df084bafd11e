#include "log/log.h"

#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <stdexcept>

namespace walnutspur::log {
namespace {

constexpr double kBurst = 2;  // seconds of the rate that a kind may use at once

const char* NameOf(Level level) {
  static constexpr const char* kNames[] = {"debug", "info", "warn", "error", "off"};
  return kNames[static_cast<int>(level)];
}

std::string Escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte == 0x7f) {  // a line break in a value must not make a second line
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", byte);
      out += code;
    } else {
      out += c;
    }
  }
  return out;
}

std::string Quoted(std::string_view text) { return '"' + Escaped(text) + '"'; }

// What stands by itself in logfmt: anything without blanks, quotes, "=" and control characters.
std::string Logfmt(std::string_view text) {
  const bool plain = !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > 0x20 && c != 0x7f && c != '"' && c != '=' && c != '\\';
  });
  return plain ? std::string(text) : Quoted(text);
}

std::string Stamp(std::int64_t now) {
  const std::time_t seconds = static_cast<std::time_t>(now / 1'000'000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[48];
  const std::size_t size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text + size, sizeof text - size, ".%03dZ", static_cast<int>(now / 1000 % 1000));
  return text;
}

std::int64_t Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::optional<Level> LevelOf(std::string_view word) {
  for (const Level level : {Level::kDebug, Level::kInfo, Level::kWarn, Level::kError, Level::kOff}) {
    if (word == NameOf(level)) return level;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> Limiter::Admit(std::string_view kind, std::int64_t now) {
  const double most = std::max(1.0, rate_ * kBurst);
  auto at = kinds_.find(kind);
  if (at == kinds_.end()) at = kinds_.emplace(std::string(kind), Kind{most, now, 0}).first;
  Kind& k = at->second;
  k.tokens =
      std::min(most, k.tokens + rate_ * static_cast<double>(std::max<std::int64_t>(0, now - k.at)) / 1e6);
  k.at = std::max(k.at, now);
  if (k.tokens < 1) {
    ++k.held;
    return std::nullopt;
  }
  k.tokens -= 1;
  return std::exchange(k.held, 0);
}

std::string Format(Form form, std::int64_t now, Level level, std::string_view kind,
                   const std::vector<Field>& fields) {
  if (form == Form::kJson) {
    std::string out =
        "{\"time\":" + Quoted(Stamp(now)) + ",\"level\":\"" + NameOf(level) + "\",\"event\":" + Quoted(kind);
    for (const auto& [name, value] : fields) out += "," + Quoted(name) + ":" + Quoted(value);
    return out + "}";
  }
  std::string out = "time=" + Stamp(now) + " level=" + NameOf(level) + " event=" + Logfmt(kind);
  for (const auto& [name, value] : fields) out += " " + name + "=" + Logfmt(value);
  return out;
}

// The pool ends first, and with it the thread that writes: lines that wait hold on to the logger, and the
// last of them must not free it while we do.
struct Logger::Sink {
  std::shared_ptr<spdlog::async_logger> logger;
  std::shared_ptr<spdlog::details::thread_pool> pool;
};

Logger::Logger(const Options& options)
    : options_(options), limiter_(options.per_kind), sink_(std::make_unique<Sink>()) {
  spdlog::sink_ptr sink;
  try {
    if (options.file.empty()) {
      sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    } else {
      sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(options.file);
    }
  } catch (const spdlog::spdlog_ex&) {
    throw std::runtime_error("the log cannot be written to " + options.file);
  }
  sink_->pool = std::make_shared<spdlog::details::thread_pool>(std::max<std::size_t>(1, options.queue), 1);
  sink_->logger = std::make_shared<spdlog::async_logger>("walnutspur", std::move(sink), sink_->pool,
                                                         spdlog::async_overflow_policy::overrun_oldest);
  sink_->logger->set_pattern("%v");
  sink_->logger->set_level(spdlog::level::trace);  // levels are ours
  sink_->logger->flush_on(spdlog::level::err);
}

Logger::~Logger() { sink_->logger->flush(); }  // the pool ends after what it holds

std::uint64_t Logger::dropped() const { return sink_->pool->overrun_counter(); }

void Logger::Log(Level level, std::string_view kind, const std::vector<Field>& fields) {
  if (!enabled(level)) return;
  const std::int64_t now = Now();
  std::optional<std::uint64_t> held;
  {
    const std::lock_guard lock(mutex_);
    held = limiter_.Admit(kind, now);
  }
  if (!held) return;
  std::vector<Field> all = fields;
  if (*held > 0) all.emplace_back("held_back", std::to_string(*held));
  sink_->logger->log(level >= Level::kError ? spdlog::level::err : spdlog::level::info, "{}",
                     Format(options_.form, now, level, kind, all));
}

namespace {
std::atomic<Logger*> used{nullptr};
}  // namespace

void Use(Logger* logger) { used = logger; }

void Event(Level level, std::string_view kind, const std::vector<Field>& fields) {
  if (Logger* logger = used) return logger->Log(level, kind, fields);
  if (level < Level::kWarn) return;
  static Logger fallback{Options{}};
  fallback.Log(level, kind, fields);
}

}  // namespace walnutspur::log

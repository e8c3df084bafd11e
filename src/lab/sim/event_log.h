// The event log of a simulated run: what happened, when and to whom, one short line each. It is all that the
// invariant checker sees, and the same seed and build give the same bytes.
//
// A line is `TIME TYPE INITIATOR REQUEST ATTEMPT SERVER VALUE DETAIL`, numbers in decimal, -1 where there is
// none.
#ifndef WALNUTSPUR_LAB_SIM_EVENT_LOG_H_
#define WALNUTSPUR_LAB_SIM_EVENT_LOG_H_

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "walnutspur/scheduler.h"

namespace walnutspur::lab::sim {

// An event log that cannot be read or written; what() is one line.
class EventLogError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What an entry records, and what its value and detail mean.
enum class LogEntryType {
  kLimits,            // value: most attempts of a request; detail: drain grace, us. The first line
  kClass,             // request: number of the class; value: 1 if not idempotent; detail: deadline, us
  kRequest,           // server: the shard, -1: a new object; value: class; detail: thousandths of a unit
  kSend,              // the initiator sends an attempt
  kOutcome,           // the initiator knows the outcome of an attempt; value: Outcome
  kResponse,          // the client's one response; value: core::ResponseStatus
  kAccepted,          // a server has accepted an attempt; detail: thousandths of a unit
  kQueueFull,         // a server has rejected an attempt before reading it
  kWorkStarted,       // a server works on an attempt
  kWorkFinished,      // the work has its effect; detail: thousandths of a unit
  kDropped,           // accepted, then cancelled or lost; value: 1 if work had started; detail: thousandths
  kEndpointNotified,  // the initiator is notified of a server; value: EndpointState; detail: its shard
  kServerUp,          // a server's process runs; value: 1 if it is warming up
  kServerDown,        // a server's process has ended
  kOverloadCrash,     // a server has crashed by overload while it was warming up
  kUnfinished,        // at the end, for each server; detail: thousandths of a unit that it still holds
  kEnd                // the last line
};

// One line of the log.
struct LogEntry {
  Time at = 0;  // us of virtual time
  LogEntryType type = LogEntryType::kEnd;
  int initiator = -1;
  std::int64_t request = -1;
  int attempt = -1;
  int server = -1;
  std::int64_t value = 0;   // by type
  std::int64_t detail = 0;  // by type
  bool operator==(const LogEntry&) const = default;
};

// The line of an entry, with its newline.
std::string FormatEntry(const LogEntry& entry);
// The entry of a line, with or without its newline; nullopt if it is none.
std::optional<LogEntry> ParseEntry(std::string_view line);

// Passes entries on as they are appended, and to a file if one is wanted; keeps count and checksum of the
// bytes. Used on one thread.
class EventLog {
 public:
  // `path` empty: no file. Throws EventLogError if the file cannot be opened.
  explicit EventLog(const std::string& path = "");

  void Append(const LogEntry& entry);
  // Called with each entry after it is written.
  std::function<void(const LogEntry&)> on_entry;

  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t entries() const { return entries_; }
  std::uint32_t checksum() const { return checksum_; }  // CRC32C of all bytes

 private:
  struct FileCloser {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  std::unique_ptr<std::FILE, FileCloser> file_;
  std::uint64_t bytes_ = 0;
  std::uint64_t entries_ = 0;
  std::uint32_t checksum_ = 0;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_EVENT_LOG_H_

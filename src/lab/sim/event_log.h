// The event log of a simulated run, one line per event. It is the only input of the invariant checker. The
// same seed and build produce the same bytes.
//
// A line is `TIME TYPE INITIATOR REQUEST ATTEMPT SERVER VALUE DETAIL`, numbers in decimal; -1: not
// applicable.
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

// Reports that an event log cannot be read or written; what() is a one-line message.
class EventLogError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The type of an entry, which determines the meaning of its value and detail.
enum class LogEntryType {
  kLimits,            // value: maximum attempts of a request; detail: drain grace, us. The first line
  kClass,             // request: number of the class; value: 1 if not idempotent; detail: deadline, us
  kRequest,           // server: the shard, -1: a new object; value: class; detail: thousandths of a unit
  kSend,              // the initiator sends an attempt
  kOutcome,           // an attempt ends at the initiator; value: Outcome
  kResponse,          // the client's one response; value: core::ResponseStatus
  kAccepted,          // a server has accepted an attempt; detail: thousandths of a unit
  kQueueFull,         // a server has rejected an attempt before reading it
  kWorkStarted,       // a server works on an attempt
  kWorkFinished,      // the work takes effect; detail: thousandths of a unit
  kDropped,           // accepted, then cancelled or lost; value: 1 if work had started; detail: thousandths
  kEndpointNotified,  // the initiator is notified of a server; value: EndpointState; detail: its shard
  kServerUp,          // a server's process has started; value: 1 if it is warming up
  kServerDown,        // a server's process has ended
  kOverloadCrash,     // a server has crashed because of overload while it was warming up
  kUnfinished,        // at the end, for each server; detail: unfinished work, thousandths of a unit
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

// Returns the line of an entry, including its newline.
std::string FormatEntry(const LogEntry& entry);
// Parses a line, with or without its newline; returns nullopt if it is not a valid entry.
std::optional<LogEntry> ParseEntry(std::string_view line);

// Class EventLog passes each appended entry to a callback, writes it to a file if one is given, and counts
// entries and bytes. Used on one thread.
class EventLog {
 public:
  // Writes no file if `path` is empty. Throws EventLogError if the file cannot be opened.
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

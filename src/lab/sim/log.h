// The event log of a run: what happened, when and to whom, one short line each. It is all that the checker
// sees, and the same seed and build give the same bytes.
//
// A line is `TIME WHAT INITIATOR REQUEST TRIAL BOX A B`, numbers in decimal, -1 where there is none.
#ifndef WALNUTSPUR_LAB_SIM_LOG_H_
#define WALNUTSPUR_LAB_SIM_LOG_H_

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "walnutspur/scheduler.h"

namespace walnutspur::lab {

enum class What {
  kRules,    // a: attempts that a request may have; b: drain grace, us. The first line
  kClass,    // request: its number; a: 1 if it must not run twice; b: deadline, us
  kAsk,      // box: the cell, -1: a new object; a: class; b: thousandths of a unit
  kSend,     // an attempt leaves for a box
  kOutcome,  // the initiator learns of an attempt; a: Outcome
  kAnswer,   // the client's one answer; a: core::Verdict
  kTaken,    // a box has taken an attempt; b: thousandths of a unit
  kFull,     // or turned it away unseen
  kBegin,    // work on it begins
  kRan,      // and has ended: its effect is there
  kDropped,  // taken, and called back or lost; a: 1 if work on it had begun; b: thousandths of a unit
  kTold,     // the initiator hears of a box; a: Phase; b: the cell
  kUp,       // a box's process runs; a: 1 if it is cold
  kDown,     // it has ended
  kTopple,   // it was pushed over while it was cold
  kLeft,     // at the end, of a box: b: thousandths of a unit that it holds
  kEnd       // the last line
};
const char* NameOf(What what);

struct Entry {
  Time at = 0;
  What what = What::kEnd;
  int initiator = -1;
  std::int64_t request = -1;
  int trial = -1, box = -1;
  std::int64_t a = 0, b = 0;
  bool operator==(const Entry&) const = default;
};

std::string Line(const Entry& entry);  // with its end
std::optional<Entry> ParseEntry(std::string_view line);

// Hands entries on as they come, to a file if one is wanted; keeps count and checksum of the bytes.
class Log {
 public:
  // `path` empty: no file. Throws std::runtime_error if it cannot be opened.
  explicit Log(const std::string& path = "");
  void Put(const Entry& entry);
  std::function<void(const Entry&)> on_entry;
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t entries() const { return entries_; }
  std::uint32_t sum() const { return sum_; }

 private:
  struct Close {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  std::unique_ptr<std::FILE, Close> file_;
  std::uint64_t bytes_ = 0, entries_ = 0;
  std::uint32_t sum_ = 0;  // CRC32C
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_SIM_LOG_H_

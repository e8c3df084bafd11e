// Keeps the index of each request class stable while the configuration changes: requests under way identify
// their class by its index.
//
// A class whose definition changes gets a new index. A class that is no longer configured keeps its name for
// a while, since clients learn of the change later. Owned by ConfigurationReload; no I/O or clock.
#ifndef WALNUTSPUR_APP_CLASS_TABLE_H_
#define WALNUTSPUR_APP_CLASS_TABLE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "http/config.h"

namespace walnutspur::app {

// Time for which a class that is no longer configured is still accepted, us.
constexpr Time kClassNameGrace = 5'000'000;

// Time after which the index of a replaced class may be used for another, us: longer than its requests last.
constexpr Time kClassIndexGrace = 60'000'000;

class ClassTable {
 public:
  explicit ClassTable(const http::Config& config);

  // Replaces the configured classes by those of `next` at `now`.
  void Update(const http::Config& next, Time now);
  // Ends the grace of names at `now`. Returns whether a name was removed.
  bool RemoveExpiredNames(Time now);
  // Sets the classes of a configuration, and its longest deadline: that of the classes that are configured
  // now, from which the platform derives when it kills a process. A class that is not accepted any more has
  // an empty name.
  void CopyTo(http::Config* config) const;

  std::size_t size() const { return entries_.size(); }

 private:
  enum class Phase { kConfigured, kUnconfigured, kReplaced };
  struct Entry {
    std::string name;  // empty if kReplaced
    RequestClass definition;
    std::optional<bool> changes_data;  // nullopt: unknown
    Phase phase = Phase::kConfigured;
    Time since = 0;  // of the phase, us
  };

  static std::vector<Entry> EntriesOf(const http::Config& config);
  static bool IsSame(const Entry& left, const Entry& right);
  // Returns whether the class is one that the settings in force have.
  static bool IsInForce(const Entry& entry);
  void Replace(Entry& entry, Time now);
  void Add(const Entry& added, Time now);

  std::vector<Entry> entries_;  // by index
  std::size_t fixed_count_;     // indexes that other parts of the process refer to for good
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_CLASS_TABLE_H_

#include "app/class_table.h"

#include <algorithm>

namespace walnutspur::app {

ClassTable::ClassTable(const http::Config& config)
    : entries_(EntriesOf(config)), fixed_count_(entries_.size()) {}

// The scheduler may have classes without a name, which no client can use.
std::vector<ClassTable::Entry> ClassTable::EntriesOf(const http::Config& config) {
  std::vector<Entry> entries;
  for (std::size_t i = 0; i < config.settings.classes.size(); ++i) {
    Entry entry;
    entry.name = i < config.names.classes.size() ? config.names.classes[i] : "";
    entry.definition = config.settings.classes[i];
    entry.changes_data = i < config.writes.size() ? config.writes[i] : std::nullopt;
    entries.push_back(entry);
  }
  return entries;
}

bool ClassTable::IsSame(const Entry& left, const Entry& right) {
  const bool is_data_known = left.changes_data && right.changes_data;
  return left.definition == right.definition && (!is_data_known || *left.changes_data == *right.changes_data);
}

// The scheduler's own classes have no name; no client waits for their requests.
bool ClassTable::IsInForce(const Entry& entry) {
  return entry.phase == Phase::kConfigured && !entry.name.empty();
}

void ClassTable::Replace(Entry& entry, Time now) {
  entry.name.clear();
  entry.phase = Phase::kReplaced;
  entry.since = now;
}

void ClassTable::Add(const Entry& added, Time now) {
  for (std::size_t i = fixed_count_; i < entries_.size(); ++i) {
    if (entries_[i].phase == Phase::kReplaced && entries_[i].since + kClassIndexGrace <= now) {
      entries_[i] = added;
      return;
    }
  }
  entries_.push_back(added);
}

void ClassTable::Update(const http::Config& next, Time now) {
  std::vector<Entry> added = EntriesOf(next);
  for (Entry& entry : entries_) {
    if (entry.name.empty()) {
      continue;
    }
    const auto found = std::find_if(added.begin(), added.end(),
                                    [&entry](const Entry& each) { return each.name == entry.name; });
    if (found == added.end()) {
      entry.since = entry.phase == Phase::kUnconfigured ? entry.since : now;
      entry.phase = Phase::kUnconfigured;
    } else if (IsSame(entry, *found)) {
      entry.phase = Phase::kConfigured;
      added.erase(found);
    } else {
      Replace(entry, now);
    }
  }
  for (const Entry& entry : added) {
    Add(entry, now);
  }
}

bool ClassTable::RemoveExpiredNames(Time now) {
  bool removed = false;
  for (Entry& entry : entries_) {
    if (entry.phase == Phase::kUnconfigured && entry.since + kClassNameGrace <= now) {
      Replace(entry, now);
      removed = true;
    }
  }
  return removed;
}

void ClassTable::CopyTo(http::Config* config) const {
  config->settings.classes.clear();
  config->names.classes.clear();
  config->writes.clear();
  config->max_deadline = 0;
  for (const Entry& entry : entries_) {
    config->settings.classes.push_back(entry.definition);
    config->settings.classes.back().accepts_requests = entry.phase != Phase::kReplaced;
    config->names.classes.push_back(entry.name);
    config->writes.push_back(entry.changes_data);
    if (IsInForce(entry)) {
      config->max_deadline = std::max(config->max_deadline, entry.definition.deadline);
    }
  }
}

}  // namespace walnutspur::app

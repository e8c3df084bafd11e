// The records of all known members, with the indexes over them: by address, live ones, dead ones, and the
// hashes by which tables are compared. Owned by a MembershipState, used on the thread of its caller.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_TABLE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/membership/message.h"

namespace walnutspur::fleet {

// Draws an index below `count`.
using DrawIndex = std::function<std::size_t(std::size_t count)>;

struct MemberEntry {
  Record record;
  Time since = 0;  // when the record's state or incarnation last changed
};

class MemberTable {
 public:
  struct StoreResult {
    bool is_new = false;
    bool was_dead = false;
    bool transitioned = false;  // new, or its state or incarnation changed
  };

  explicit MemberTable(std::string self_name) : self_name_(std::move(self_name)) {}

  // Inserts or replaces the record of its name.
  StoreResult Store(const Record& record, Time now);
  // `name` has to be in the table and dead.
  void Remove(const std::string& name);
  // Sets the member that is named as the reporter of the state; not a change of the member.
  void SetReporter(const std::string& name, const std::string& reporter) {
    entries_.at(name).record.reported_by = reporter;
  }

  // Null: unknown. Valid until the table changes.
  const Record* Find(const std::string& name) const;
  // `name` has to be in the table.
  const Record& Get(const std::string& name) const { return entries_.at(name).record; }
  // Null: unknown. Where several members had the address, the live one.
  const Record* FindByAddress(const std::string& address) const;
  // This member's own record, as last stored.
  const Record& self() const { return self_; }
  const std::string& self_name() const { return self_name_; }
  const std::map<std::string, MemberEntry>& entries() const { return entries_; }
  const std::set<std::string>& dead_names() const { return dead_names_; }
  // The dead member whose state is oldest, `except` left out; empty: there is none.
  std::string OldestDead(const std::string& except) const;

  // Up to `count` distinct live members other than this one, drawn at random.
  std::vector<std::string> PickRandom(std::size_t count, const std::string& except, const DrawIndex& draw);

  // This member and those that are alive or suspect.
  int live_count() const { return live_count_; }
  int dead_count() const { return dead_count_; }
  int suspect_count() const { return suspect_count_; }
  // This member's share of the load of all live members, between 0 and 1.
  double LoadShare() const;

  // Of all live members' names, incarnations and fact versions: equal on members with the same table.
  std::uint64_t hash() const { return hash_; }
  const std::array<std::uint64_t, kDigestBuckets>& buckets() const { return buckets_; }
  std::vector<Record> RecordsInBuckets(const std::set<std::size_t>& buckets) const;

 private:
  // Adds (+1) or removes (-1) a record from the counts; the hashes are symmetric.
  void UpdateTotals(const Record& record, int sign);
  void RemoveAddress(const Record& record);
  // Moves a member between the live pool and the dead names.
  void SetLive(const std::string& name, bool live);

  std::string self_name_;
  Record self_;
  std::map<std::string, MemberEntry> entries_;
  std::vector<std::string> live_pool_;  // the live members other than this one, in no order
  std::unordered_map<std::string, std::size_t> live_pool_index_;
  std::set<std::string> dead_names_;
  std::unordered_map<std::string, std::string> name_by_address_;
  std::array<std::uint64_t, kDigestBuckets> buckets_{};
  std::uint64_t hash_ = 0;
  int live_count_ = 1;
  int dead_count_ = 0;
  int suspect_count_ = 0;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MEMBER_TABLE_H_

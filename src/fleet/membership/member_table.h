// Class MemberTable stores the records of all known members, with indexes by address and by live and dead
// members, and with the hashes by which tables are compared. Owned by a MembershipState and used on its
// thread.
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

// Returns a random index below `count`.
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
  // Removes a member, which must be in the table and dead.
  void Remove(const std::string& name);
  // Sets the member that is named as the reporter of the state. Does not count as a change of the member.
  void SetReporter(const std::string& name, const std::string& reporter) {
    entries_.at(name).record.reported_by = reporter;
  }

  // Returns the member's record, or null if the member is unknown. The pointer is valid until the table
  // changes.
  const Record* Find(const std::string& name) const;
  // Returns the record of a member that must be in the table.
  const Record& Get(const std::string& name) const { return entries_.at(name).record; }
  // Returns the record of the member with this address, or null if the address is unknown. If several members
  // had the address, returns the record of the live one.
  const Record* FindByAddress(const std::string& address) const;
  // Returns this member's own record, as last stored.
  const Record& self() const { return self_; }
  const std::string& self_name() const { return self_name_; }
  const std::map<std::string, MemberEntry>& entries() const { return entries_; }
  const std::set<std::string>& dead_names() const { return dead_names_; }
  // Returns the member that has been dead for longest, apart from `except`; empty if there is none.
  std::string OldestDead(const std::string& except) const;

  // Returns up to `count` distinct random live members other than this member and `except`.
  std::vector<std::string> PickRandom(std::size_t count, const std::string& except, const DrawIndex& draw);

  // Returns the number of members that are alive or suspect, including this member.
  int live_count() const { return live_count_; }
  int dead_count() const { return dead_count_; }
  int suspect_count() const { return suspect_count_; }
  // Returns this member's share of the load of all live members, between 0 and 1.
  double LoadShare() const;

  // Returns the hash of all live members' names, incarnations and versions of facts, which is equal on
  // members with the same table.
  std::uint64_t hash() const { return hash_; }
  const std::array<std::uint64_t, kDigestBuckets>& buckets() const { return buckets_; }
  std::vector<Record> RecordsInBuckets(const std::set<std::size_t>& buckets) const;

 private:
  // Adds a record to the counts (`sign` +1) or removes it from them (-1). Toggles it in the hashes, where
  // adding and removing are the same operation (XOR).
  void UpdateTotals(const Record& record, int sign);
  void RemoveAddress(const Record& record);
  // Moves a member between the live pool and the dead names.
  void SetLive(const std::string& name, bool live);

  std::string self_name_;
  Record self_;
  std::map<std::string, MemberEntry> entries_;
  std::vector<std::string> live_pool_;  // live members other than this one, unordered
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

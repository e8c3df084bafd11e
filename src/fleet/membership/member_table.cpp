#include "fleet/membership/member_table.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace walnutspur::fleet {
namespace {

// Bits by which the version of facts is shifted in a hash, so that it lies above the bits of the incarnation,
// which is a time in microseconds.
constexpr int kVersionShift = 48;

// Applies the final mix of SplitMix64.
std::uint64_t Mix(std::uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9;
  value ^= value >> 27;
  value *= 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

// Returns an FNV-1a hash with a final mix. Unlike std::hash, it is the same on all members, whatever standard
// library they were built with.
std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
  }
  return Mix(hash);
}

std::size_t BucketOf(const std::string& name) { return HashOf(name) % kDigestBuckets; }

}  // namespace

MemberTable::StoreResult MemberTable::Store(const Record& record, Time now) {
  const auto [at, is_new] = entries_.try_emplace(record.name);
  MemberEntry& entry = at->second;
  StoreResult result;
  result.is_new = is_new;
  result.was_dead = !is_new && IsDead(entry.record.state);
  result.transitioned =
      is_new || entry.record.state != record.state || entry.record.incarnation != record.incarnation;
  if (!is_new) {
    UpdateTotals(entry.record, -1);
    RemoveAddress(entry.record);
  }
  if (!IsDead(record.state) || !name_by_address_.contains(record.address)) {
    name_by_address_[record.address] = record.name;
  }
  if (result.transitioned) {
    entry.since = now;
  }
  entry.record = record;
  UpdateTotals(record, +1);
  if (record.name == self_name_) {
    self_ = record;
  } else {
    SetLive(record.name, !IsDead(record.state));
  }
  return result;
}

void MemberTable::Remove(const std::string& name) {
  const auto at = entries_.find(name);
  UpdateTotals(at->second.record, -1);
  RemoveAddress(at->second.record);
  dead_names_.erase(name);
  live_pool_index_.erase(name);
  entries_.erase(at);
}

const Record* MemberTable::Find(const std::string& name) const {
  const auto at = entries_.find(name);
  return at == entries_.end() ? nullptr : &at->second.record;
}

const Record* MemberTable::FindByAddress(const std::string& address) const {
  const auto at = name_by_address_.find(address);
  return at == name_by_address_.end() ? nullptr : &Get(at->second);
}

std::string MemberTable::OldestDead(const std::string& except) const {
  const MemberEntry* oldest = nullptr;
  for (const std::string& name : dead_names_) {
    const MemberEntry& entry = entries_.at(name);
    if (name != except && (!oldest || entry.since < oldest->since)) {
      oldest = &entry;
    }
  }
  return oldest ? oldest->record.name : "";
}

std::vector<std::string> MemberTable::PickRandom(std::size_t count, const std::string& except,
                                                 const DrawIndex& draw) {
  std::vector<std::string> picked;
  // A partial Fisher-Yates shuffle in place, since the pool has no order to preserve.
  for (std::size_t i = 0; i < live_pool_.size() && picked.size() < count; ++i) {
    const std::size_t other = i + draw(live_pool_.size() - i);
    std::swap(live_pool_[i], live_pool_[other]);
    live_pool_index_[live_pool_[i]] = i;
    live_pool_index_[live_pool_[other]] = other;
    if (live_pool_[i] != except) {
      picked.push_back(live_pool_[i]);
    }
  }
  return picked;
}

double MemberTable::LoadShare() const {
  double total = 0;
  for (const auto& [name, entry] : entries_) {
    if (!IsDead(entry.record.state)) {
      total += std::max(0.0, entry.record.facts.load);
    }
  }
  return total > 0 ? std::max(0.0, self_.facts.load) / total : 1.0 / live_count_;
}

std::vector<Record> MemberTable::RecordsInBuckets(const std::set<std::size_t>& buckets) const {
  std::vector<Record> records;
  for (const auto& [name, entry] : entries_) {
    if (buckets.contains(BucketOf(name))) {
      records.push_back(entry.record);
    }
  }
  return records;
}

void MemberTable::UpdateTotals(const Record& record, int sign) {
  const bool dead = IsDead(record.state);
  if (record.name != self_name_) {
    (dead ? dead_count_ : live_count_) += sign;
  }
  if (record.state == MemberState::kSuspect) {
    suspect_count_ += sign;
  }
  if (dead) {
    return;
  }
  const std::uint64_t hash =
      Mix(HashOf(record.name) ^ Mix(record.incarnation ^ (record.facts.version << kVersionShift)));
  hash_ ^= hash;
  buckets_.at(BucketOf(record.name)) ^= hash;
}

void MemberTable::RemoveAddress(const Record& record) {
  const auto at = name_by_address_.find(record.address);
  if (at != name_by_address_.end() && at->second == record.name) {
    name_by_address_.erase(at);
  }
}

void MemberTable::SetLive(const std::string& name, bool live) {
  std::size_t& index = live_pool_index_[name];
  const bool in_pool = index < live_pool_.size() && live_pool_[index] == name;
  if (live) {
    dead_names_.erase(name);
  } else {
    dead_names_.insert(name);
  }
  if (live == in_pool) {
    return;
  }
  if (live) {
    index = live_pool_.size();
    live_pool_.push_back(name);
  } else {
    live_pool_index_[live_pool_.back()] = index;
    std::swap(live_pool_[index], live_pool_.back());
    live_pool_.pop_back();
  }
}

}  // namespace walnutspur::fleet

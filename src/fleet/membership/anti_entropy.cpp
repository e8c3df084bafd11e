#include "fleet/membership/anti_entropy.h"

#include <set>
#include <utility>

namespace walnutspur::fleet {
namespace {

// Interval between comparisons of digests, us.
constexpr Time kCompareInterval = 1'000'000;
// Interval between attempts to contact addresses of failed members and of peers that are not live, us.
constexpr Time kReconnectInterval = 1'000'000;
// Addresses contacted per interval once this member has joined.
constexpr int kReconnectAttempts = 1;
// Addresses contacted per interval until this member has joined.
constexpr int kJoinAttempts = 3;
// Encoded size of a digest's bucket, bytes.
constexpr std::size_t kBucketBytes = 9;

// Splits records into pages that each fit one message. The first page is sent together with a digest.
std::vector<std::vector<Record>> SplitIntoPages(std::vector<Record> records) {
  std::vector<std::vector<Record>> pages(1);
  std::size_t size = 0;
  for (Record& record : records) {
    const std::size_t capacity =
        pages.size() == 1 ? kMaxUpdateBytes - kDigestBuckets * kBucketBytes : kMaxUpdateBytes;
    if (size + EstimateSize(record) > capacity) {
      pages.emplace_back();
      size = 0;
    }
    size += EstimateSize(record);
    pages.back().push_back(std::move(record));
  }
  return pages;
}

}  // namespace

void AntiEntropy::Start() {
  const double interval = kCompareInterval;
  // The delay is random so that members that start at the same time do not compare at the same time.
  state_.timers.Start(static_cast<Time>(state_.draw() * interval), [this](Time) { CompareDigests(); });
  Reconnect();
}

void AntiEntropy::CompareDigests() {
  if (state_.left) {
    return;
  }
  state_.timers.Start(kCompareInterval, [this](Time) { CompareDigests(); });
  for (const std::string& name : state_.PickRandom(1)) {
    SendDigest(state_.table.Get(name).address, MessageKind::kDigest, {state_.table.self()});
  }
}

// Contacts addresses that are not live. Without this, two sides of a partition that have declared each other
// failed would stay separated, and a member that no other member has in its table would stay alone.
void AntiEntropy::Reconnect() {
  if (state_.left) {
    return;
  }
  state_.timers.Start(kReconnectInterval, [this](Time) { Reconnect(); });
  const std::vector<std::string> addresses = UnreachableAddresses();
  if (addresses.empty()) {
    return;
  }
  const int attempts = state_.joined ? kReconnectAttempts : kJoinAttempts;
  for (int i = 0; i < attempts; ++i) {
    SendDigest(addresses[state_.DrawBelow(addresses.size())], MessageKind::kDigest, {state_.table.self()});
  }
}

std::vector<std::string> AntiEntropy::UnreachableAddresses() const {
  std::vector<std::string> addresses;
  for (const std::string& name : state_.table.dead_names()) {
    const Record& record = state_.table.Get(name);
    if (record.state == MemberState::kFailed) {
      addresses.push_back(record.address);
    }
  }
  for (const std::string& peer : state_.options.peers) {
    const Record* known = state_.table.FindByAddress(peer);
    if (!known || IsDead(known->state)) {
      addresses.push_back(peer);
    }
  }
  return addresses;
}

void AntiEntropy::OnDigest(const Message& message) {
  if (message.buckets.size() != kDigestBuckets) {
    return;
  }
  std::set<std::size_t> differing;
  for (std::size_t i = 0; i < kDigestBuckets; ++i) {
    if (message.buckets[i] != state_.table.buckets().at(i)) {
      differing.insert(i);
    }
  }
  if (!differing.empty()) {
    SendRecords(message, state_.table.RecordsInBuckets(differing));
  } else if (message.kind == MessageKind::kDigest) {
    // An equal digest gets a reply as well, since the sender may need the reply to join.
    SendDigest(message.from_address, MessageKind::kDigestReply, {});
  }
}

void AntiEntropy::SendRecords(const Message& request, std::vector<Record> records) {
  bool reply_with_digest = request.kind == MessageKind::kDigest;
  for (std::vector<Record>& page : SplitIntoPages(std::move(records))) {
    if (reply_with_digest) {
      SendDigest(request.from_address, MessageKind::kDigestReply, std::move(page));
      reply_with_digest = false;
    } else if (!page.empty()) {
      Message message;
      message.updates = std::move(page);
      sender_.Send(request.from_address, std::move(message), Piggyback::kNone);
    }
  }
}

void AntiEntropy::SendDigest(const std::string& address, MessageKind kind, std::vector<Record> records) {
  Message message;
  message.kind = kind;
  message.buckets.assign(state_.table.buckets().begin(), state_.table.buckets().end());
  message.updates = std::move(records);
  sender_.Send(address, std::move(message), Piggyback::kNone);
}

}  // namespace walnutspur::fleet

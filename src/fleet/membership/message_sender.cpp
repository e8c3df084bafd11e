#include "fleet/membership/message_sender.h"

#include <algorithm>
#include <utility>

namespace walnutspur::fleet {
namespace {

// Appends records to a message up to kMaxUpdateBytes.
class UpdateAppender {
 public:
  UpdateAppender(const MemberTable& table, Message& message) : table_(table), message_(message) {
    for (const Record& record : message.updates) {
      size_ += EstimateSize(record);
    }
  }

  // Returns false if the record does not fit.
  bool Append(const std::string& name) {
    const Record& record = table_.Get(name);
    const std::size_t size = EstimateSize(record);
    if (size_ + size > kMaxUpdateBytes) {
      return false;
    }
    const auto is_same = [&name](const Record& other) { return other.name == name; };
    if (std::any_of(message_.updates.begin(), message_.updates.end(), is_same)) {
      return true;
    }
    size_ += size;
    message_.updates.push_back(record);
    return true;
  }

 private:
  const MemberTable& table_;
  Message& message_;
  std::size_t size_ = 0;
};

}  // namespace

void MessageSender::Send(const std::string& address, Message message, Piggyback piggyback) {
  const Record& self = state_.table.self();
  message.from = self.name;
  message.from_address = self.address;
  message.incarnation = self.incarnation;
  message.started_at = self.started_at;
  message.sequence_number = ++last_sequence_number_;
  message.hash = state_.table.hash();
  UpdateAppender appender(state_.table, message);
  // Each message to a suspect or failed member carries the record of that member, so that it can refute the
  // record (Lifeguard's buddy system).
  const Record* receiver = state_.table.FindByAddress(address);
  if (receiver && state_.options.lifeguard && receiver->state != MemberState::kAlive) {
    appender.Append(receiver->name);
  }
  if (piggyback == Piggyback::kUpdates) {
    state_.broadcasts.FillMessage([&appender](const std::string& name) { return appender.Append(name); });
  }
  state_.actions.emplace_back(SendDatagram{address, std::move(message)});
}

}  // namespace walnutspur::fleet

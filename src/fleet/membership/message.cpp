#include "fleet/membership/message.h"

namespace walnutspur::fleet {
namespace {

// Bytes of a record's numbers and field tags.
constexpr std::size_t kRecordOverhead = 40;
// Bytes of an entry of Facts::connections, without the target's name.
constexpr std::size_t kConnectionOverhead = 8;

}  // namespace

std::size_t EstimateSize(const Record& record) {
  std::size_t size = kRecordOverhead + record.name.size() + record.address.size() +
                     record.reported_by.size() + record.facts.building.size();
  for (const auto& [target, count] : record.facts.connections) {
    size += kConnectionOverhead + target.size();
  }
  return size;
}

}  // namespace walnutspur::fleet

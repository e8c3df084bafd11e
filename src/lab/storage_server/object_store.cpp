#include "lab/storage_server/object_store.h"

#include <algorithm>
#include <cstdint>

#include "lab/storage_server/corruption_kind.h"
#include "lab/storage_server/faulty_device.h"

namespace walnutspur::lab {
namespace {

// Faults in objects have no range of their own: those that cover the first byte apply to every object.
constexpr std::uint64_t kObjectOffset = 0;
constexpr std::uint64_t kObjectLength = 1;

}  // namespace

void ObjectStore::Put(const std::string& key, const StoredObject& object) {
  const StoredObject stored = InjectWriteFault(key, object);
  if (const auto old = objects_.find(key); old != objects_.end()) {
    previous_[key] = old->second;
  }
  objects_[key] = stored;
}

StoredObject ObjectStore::InjectWriteFault(const std::string& key, const StoredObject& object) {
  Fault* fault = plan_->Match(
      {CorruptionKind::kLostWrite, CorruptionKind::kMisdirectedWrite, CorruptionKind::kTornWrite}, kAnyPath,
      kObjectOffset, kObjectLength);
  if (!fault) {
    return object;
  }
  plan_->RecordInjection(*fault);
  if (fault->kind == CorruptionKind::kTornWrite) {
    return {object.digest, object.body.substr(0, object.body.size() / 2)};
  }
  const auto old = objects_.find(key);
  const std::string old_body = old == objects_.end() ? "" : old->second.body;
  if (fault->kind == CorruptionKind::kMisdirectedWrite) {
    OverwriteAnother(key, object.body);
  }
  return {object.digest, old_body};
}

void ObjectStore::OverwriteAnother(const std::string& key, const std::string& body) {
  const auto other = std::find_if(objects_.begin(), objects_.end(),
                                  [&key](const auto& entry) { return entry.first != key; });
  if (other != objects_.end()) {
    other->second.body = body;
  }
}

std::optional<StoredObject> ObjectStore::Get(const std::string& key) {
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    return std::nullopt;
  }
  StoredObject object = found->second;
  if (!object.body.empty()) {
    InjectReadFault(key, &object.body);
  }
  return object;
}

void ObjectStore::InjectReadFault(const std::string& key, std::string* body) {
  Fault* fault = plan_->Match({CorruptionKind::kTransitBitFlip, CorruptionKind::kStaleRead}, kAnyPath,
                              kObjectOffset, kObjectLength);
  if (!fault) {
    return;
  }
  const auto old = previous_.find(key);
  if (fault->kind == CorruptionKind::kStaleRead && old != previous_.end()) {
    *body = old->second.body;
  } else {
    FlipBits(body, DrawFlippedBits(*device_), &device_->random());
  }
  plan_->RecordInjection(*fault);
}

}  // namespace walnutspur::lab

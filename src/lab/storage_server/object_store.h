// Stores the objects of a storage server that are accessed over HTTP, each with its content and the digest of
// the write, and injects the faults of a plan. Faults corrupt the content only, as a device or a path does,
// which do not process digests.
//
// Not synchronised: belongs to the storage server, which uses it under its mutex. The storage server owns the
// device, whose generator is used, and the plan; both must outlive the store.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_OBJECT_STORE_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_OBJECT_STORE_H_

#include <map>
#include <optional>
#include <string>

#include "lab/storage_server/block_device.h"
#include "lab/storage_server/fault_plan.h"

namespace walnutspur::lab {

struct StoredObject {
  std::string digest;  // the Content-Digest header of the write, empty if it had none
  std::string body;
};

class ObjectStore {
 public:
  ObjectStore(BlockDevice* device, FaultPlan* plan) : device_(device), plan_(plan) {}

  void Put(const std::string& key, const StoredObject& object);
  std::optional<StoredObject> Get(const std::string& key);

 private:
  // Returns the object to store in place of `object`. Its digest is always the new one.
  StoredObject InjectWriteFault(const std::string& key, const StoredObject& object);
  void InjectReadFault(const std::string& key, std::string* body);
  // Replaces the content of the first other object by `body` and keeps its digest.
  void OverwriteAnother(const std::string& key, const std::string& body);

  BlockDevice* device_;
  FaultPlan* plan_;
  std::map<std::string, StoredObject> objects_;   // by path
  std::map<std::string, StoredObject> previous_;  // by path: before the last write
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_OBJECT_STORE_H_

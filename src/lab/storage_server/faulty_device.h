// Reads and writes of a block device with the faults of a plan injected.
//
// Not synchronised: belongs to the storage server, which uses it under its mutex and owns the device and the
// plan; both must outlive it.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_FAULTY_DEVICE_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_FAULTY_DEVICE_H_

#include <cstdint>
#include <string>

#include "lab/storage_server/block_device.h"
#include "lab/storage_server/fault_plan.h"

namespace walnutspur::lab {

class FaultyDevice {
 public:
  FaultyDevice(BlockDevice* device, FaultPlan* plan) : device_(device), plan_(plan) {}

  // A read that arrived on `path`. Only the part of it that overlaps the fault's range is corrupted.
  std::string Read(int path, std::uint64_t offset, std::uint32_t length);
  void Write(std::uint64_t offset, const std::string& data, bool fua);
  // Flips bits of the stored data at once.
  void FlipStoredBits(const Fault& fault);

 private:
  BlockDevice* device_;
  FaultPlan* plan_;
};

// How many bits one fault flips: 1 to 8, drawn from the device's generator.
int DrawFlippedBits(BlockDevice& device);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_FAULTY_DEVICE_H_

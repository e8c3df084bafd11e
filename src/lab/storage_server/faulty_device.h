// Reads and writes a block device and injects the faults of a plan.
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

  // Executes a read that arrived on `path`. Corrupts only the part that overlaps the range of the fault.
  std::string Read(int path, std::uint64_t offset, std::uint32_t length);
  void Write(std::uint64_t offset, const std::string& data, bool fua);
  // Flips bits of the stored data immediately.
  void FlipStoredBits(const Fault& fault);

 private:
  BlockDevice* device_;
  FaultPlan* plan_;
};

// Draws the number of bits that one fault flips, 1 to 8, from the generator of the device.
int DrawFlippedBits(BlockDevice& device);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_FAULTY_DEVICE_H_

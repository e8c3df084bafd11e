// Plays a Volume against a Disk, in an order that chance decides, and holds what clients see against what may
// be there. Used by the crash tests and by the bench's in-memory part.
#ifndef WALNUTSPUR_TESTS_INTEGRITY_DRIVER_H_
#define WALNUTSPUR_TESTS_INTEGRITY_DRIVER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "integrity/volume.h"
#include "lab/storage_server/block_device.h"

namespace walnutspur::test {

class Driver {
 public:
  Driver(std::uint64_t size, std::uint64_t seed, integrity::VolumeOptions options = {});

  void Format(std::uint64_t journal = 0);
  void Start();  // a new process: attaches
  // Runs one Io of those that wait, by chance; false if none waits.
  bool Step();
  void Settle();  // until nothing waits
  // The process dies; with `power`, so does the box: unflushed writes are lost by chance. What was on its way
  // is carried out, cut off or lost.
  void Kill(bool power);

  integrity::CommandId Submit(integrity::Command::Kind kind, std::uint64_t offset, std::uint32_t length,
                              std::string data = "", bool fua = false);
  // Submits and settles.
  integrity::Result Do(integrity::Command::Kind kind, std::uint64_t offset, std::uint32_t length,
                       std::string data = "", bool fua = false);

  integrity::Volume& volume() { return *volume_; }
  lab::BlockDevice& disk() { return disk_; }
  std::map<integrity::CommandId, integrity::Result> results;  // in arrival order of ids
  std::function<void(const integrity::Result&)> on_result;
  // May change what an Io brings, or how it ends; it has been carried out if `ran`.
  std::function<integrity::IoEnd(const integrity::Io&, std::string* data, bool* ran)> on_io;
  std::size_t waiting() const { return waiting_.size(); }

 private:
  void Take();

  lab::BlockDevice disk_;
  integrity::VolumeOptions options_;
  std::unique_ptr<integrity::Volume> volume_;
  std::vector<integrity::Io> waiting_;
  std::map<integrity::IoId, std::uint64_t> marks_;  // what each flush must cover, and no more
  integrity::CommandId next_ = 1;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_INTEGRITY_DRIVER_H_

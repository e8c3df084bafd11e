// Class Driver runs a Volume on a simulated disk. Storage requests are executed in an order that the disk's
// seed determines, and may be lost or torn by a crash. Used on the test's thread.
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
  void Start();  // attaches the volume, as a new process does
  // Executes one of the pending storage requests. Returns false if there is none.
  bool Step();
  void Settle();  // executes storage requests until none is pending
  // Simulates a crash of the process and, if `power` is true, of the storage server, which then loses a
  // random part of its unflushed writes. Requests in flight are executed, torn or lost.
  void Kill(bool power);

  integrity::CommandId Submit(integrity::Command::Kind kind, std::uint64_t offset, std::uint32_t length,
                              std::string data = "", bool fua = false);
  // Submits a command, executes all storage requests and returns the result.
  integrity::CommandResult Do(integrity::Command::Kind kind, std::uint64_t offset, std::uint32_t length,
                              std::string data = "", bool fua = false);

  integrity::Volume& volume() { return *volume_; }
  lab::BlockDevice& disk() { return disk_; }
  std::map<integrity::CommandId, integrity::CommandResult> results;  // in arrival order of ids
  std::function<void(const integrity::CommandResult&)> on_result;
  // Called for each storage request. May set the data of a read and returns the status of the request, which
  // is not executed if `*executed` is set to false.
  std::function<integrity::IoStatus(const integrity::IoRequest&, std::string* data, bool* executed)> on_io;
  std::size_t pending() const { return pending_.size(); }

 private:
  void CollectRequests();

  lab::BlockDevice disk_;
  integrity::VolumeOptions options_;
  std::unique_ptr<integrity::Volume> volume_;
  std::vector<integrity::IoRequest> pending_;
  std::map<integrity::IoId, std::uint64_t> flush_marks_;  // by flush: the writes it covers
  integrity::CommandId next_command_ = 1;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_INTEGRITY_DRIVER_H_

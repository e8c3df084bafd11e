// A storage box, written for this project: keeps bytes, speaks NBD and the platform's HTTP on any number of
// loopback addresses, and is told what to damage. It knows nothing of checksums.
//
// Runs on a thread of its own between Start and Stop. Faults may be set from any thread. Each that strikes is
// counted and written down, so that every alarm can be held against what really happened.
#ifndef WALNUTSPUR_LAB_BOX_BOX_H_
#define WALNUTSPUR_LAB_BOX_BOX_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/message_reader.h"
#include "lab/box/disk.h"
#include "loop/loop.h"
#include "nbd/codec.h"

struct bufferevent;
struct evconnlistener;

namespace walnutspur::lab {

// A fault waits until a command that it fits comes, and strikes it.
struct Fault {
  Damage damage = Damage::kFlipPath;
  int path = -1;           // kFlipPath, kStale: of one listener only; -1: of any
  std::uint64_t from = 0;  // the bytes of the disk that it is about
  std::uint64_t to = ~0ull;
  std::uint64_t elsewhere = 0;  // kAstray: where the write lands
  int times = 1;                // it strikes so often; -1: for good
};

struct BoxOptions {
  std::string export_name = "disk";
  std::uint64_t size = 64 << 20;
  std::uint64_t seed = 1;
  int paths = 1;             // NBD listeners
  bool http = false;         // and one that speaks HTTP
  std::string file;          // the disk's bytes lie in it, and stay there however the process ends
  std::int64_t delay = 0;    // us before each answer
  std::int64_t service = 0;  // us of work a command; one at a time is worked on, the others wait in turn
  std::string host = "127.0.0.1";
  std::uint16_t flags = nbd::kHasFlags | nbd::kSendFlush | nbd::kSendFua | nbd::kCanMultiConn;
  int first_port = 0;  // of the first listener, the others follow; 0: free ones
};

class Box {
 public:
  explicit Box(const BoxOptions& options);  // listens; throws std::runtime_error if it cannot
  ~Box();
  Box(const Box&) = delete;
  Box& operator=(const Box&) = delete;

  void Start();
  void Stop();  // the process dies: connections end, what was being written may be cut off
  // The same disk under power again, at the same addresses, after Stop. `power`: unflushed writes were lost.
  void Restart(bool power);

  int port(int path) const { return ports_[static_cast<std::size_t>(path)]; }
  int http_port() const { return ports_.back(); }
  void Add(const Fault& fault);
  void ClearFaults();
  std::uint64_t struck(Damage damage) const;
  std::uint64_t commands() const;
  void SetDelay(std::int64_t us);
  void SetService(std::int64_t us);
  // Nothing of what is worked on by `service` goes on for so long.
  void Stall(std::int64_t us);

  // With the box's thread held off.
  template <typename Call>
  auto WithDisk(Call call) {
    const std::lock_guard lock(mutex_);
    return call(*disk_);
  }

 private:
  struct Connection;
  struct Listener;

  void Listen();
  void OnAccept(int path, int fd);
  void OnRead(Connection& connection);
  void OnNbd(Connection& connection, const nbd::Request& request);
  void OnHttp(Connection& connection);
  void Send(Connection& connection, std::string bytes);
  std::string Read(int path, std::uint64_t offset, std::uint32_t length);
  void Write(std::uint64_t offset, const std::string& data, bool fua);
  Fault* Fitting(std::initializer_list<Damage> kinds, int path, std::uint64_t offset, std::uint64_t length);
  void Struck(Fault& fault);

  BoxOptions options_;
  mutable std::mutex mutex_;
  std::unique_ptr<Disk> disk_;
  std::vector<Fault> faults_;
  std::map<Damage, std::uint64_t> struck_;
  std::uint64_t commands_ = 0;
  std::int64_t busy_until_ = 0;
  std::map<std::string, std::string> objects_, previous_;  // by HTTP; and what stood there before
  std::vector<nbd::Export> exports_;
  std::vector<int> ports_;
  loop::EventBasePtr base_;
  loop::EventHandle stop_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::uint64_t next_ = 1;
  std::thread thread_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_BOX_BOX_H_

// What the NBD cases share: the configuration of the front end, and a client that waits for its replies.
#ifndef REVIEW_COMMON_NBD_LAB_H_
#define REVIEW_COMMON_NBD_LAB_H_

#include "http_lab.h"

namespace lab {

struct NbdSettings {
  int listen_port = 0;
  int box_port = 0;
  std::uint64_t size = 0;
  std::uint32_t unit_bytes = 4096;
  std::string read_class = "read";
  std::string write_class = "write";
};

// Returns the file of the NBD front end: one box, s-5be2a07c, with one export, volume-a, in cell 3.
inline std::string FormatNbd(const NbdSettings& settings) {
  return "listen = \"127.0.0.1:" + std::to_string(settings.listen_port) +
         "\"\nunit_bytes = " + std::to_string(settings.unit_bytes) + "\n[commands]\nread = \"" + settings.read_class +
         "\"\nwrite = \"" + settings.write_class + "\"\nflush = \"" + settings.write_class +
         "\"\n[[box]]\nid = \"s-5be2a07c\"\naddress = \"127.0.0.1:" + std::to_string(settings.box_port) +
         "\"\n[[export]]\nname = \"volume-a\"\nvolume = \"00000003b4d60021\"\nplan = \"grade-a\"\nshard = 3\nhosts = "
         "1\n"
         "box = \"s-5be2a07c\"\nremote = \"volume-a\"\nsize = " +
         std::to_string(settings.size) + "\n";
}

// A client whose commands can be sent at once and waited for one by one.
class WaitingClient {
 public:
  struct Result {
    bool replied = false;
    std::uint32_t error = 0;
    std::string data;
  };

  bool Open(int port) {
    return client_.Open(port, "volume-a", [this](std::uint64_t cookie, std::uint32_t error, const std::string& data) {
      const std::lock_guard<std::mutex> lock(mutex_);
      results_[cookie] = {true, error, data};
      replied_.notify_all();
    });
  }
  // Returns the command's cookie.
  std::uint64_t Send(std::uint16_t type, std::uint64_t offset, std::uint32_t length, const std::string& data = "") {
    NbdCommand command;
    command.type = type;
    command.cookie = ++cookie_;
    command.offset = offset;
    command.length = length;
    command.data = data;
    client_.Send(command);
    return command.cookie;
  }
  Result Wait(std::uint64_t cookie, std::int64_t ms) {
    std::unique_lock<std::mutex> lock(mutex_);
    replied_.wait_for(lock, std::chrono::milliseconds(ms), [&] { return results_.contains(cookie); });
    return results_.contains(cookie) ? results_[cookie] : Result();
  }
  Result Call(std::uint16_t type, std::uint64_t offset, std::uint32_t length, const std::string& data = "") {
    return Wait(Send(type, offset, length, data), 4'000);
  }
  bool ended() const { return client_.ended(); }

 private:
  std::mutex mutex_;
  std::condition_variable replied_;
  std::map<std::uint64_t, Result> results_;
  std::uint64_t cookie_ = 0;
  NbdClient client_;
};

}  // namespace lab

#endif  // REVIEW_COMMON_NBD_LAB_H_

// Stand-ins for a box that speaks NBD (fixed newstyle handshake, simple replies) and for its client, from NBD's
// public protocol description. The box serves each connection in a thread of its own; a command that the case
// makes slow runs in a further thread, so that the other commands of the box go on.
#ifndef REVIEW_COMMON_2_NBD_LAB_H_
#define REVIEW_COMMON_2_NBD_LAB_H_

#include <endian.h>

#include "lab.h"

namespace lab {

constexpr std::uint64_t kNbdMagic = 0x4e42444d41474943ULL;
constexpr std::uint64_t kOptionMagic = 0x49484156454f5054ULL;
constexpr std::uint64_t kOptionReplyMagic = 0x3e889045565a9ULL;
constexpr std::uint32_t kRequestMagic = 0x25609513;
constexpr std::uint32_t kReplyMagic = 0x67446698;
constexpr std::uint16_t kRead = 0;
constexpr std::uint16_t kWrite = 1;
constexpr std::uint16_t kDisconnect = 2;
constexpr std::uint16_t kFlush = 3;
constexpr std::uint16_t kFua = 1;

template <typename T>
void PutNumber(T value, std::string* out) {
  for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>(value >> shift & 0xff));
  }
}
template <typename T>
T GetNumber(const std::string& bytes, std::size_t at) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = static_cast<T>(value << 8 | static_cast<unsigned char>(bytes[at + i]));
  }
  return value;
}

// A command as the box has received it.
struct BoxCommand {
  std::uint16_t flags = 0;
  std::uint16_t type = 0;
  std::uint64_t cookie = 0;
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  std::string data;
  int connection = 0;
};

// What the case makes of a command.
struct BoxPlan {
  double run_after = 0;     // seconds until the command is run and answered; other commands go on
  double reset_after = -1;  // seconds until the command's connection is reset; the command still runs
};

class Box {
 public:
  using Plan = std::function<BoxPlan(const BoxCommand&)>;

  // FLUSH, FUA and CAN_MULTI_CONN, or fewer of them.
  explicit Box(std::uint64_t size, std::uint16_t flags = 1 | 4 | 8 | 256)
      : flags_(flags), stored_(size, '\0'), durable_(size, '\0'), listener_(Listen()), port_(PortOf(listener_)) {
    std::thread([this] { Accept(); }).detach();
  }

  int port() const { return port_; }
  void set_plan(Plan plan) {
    const std::lock_guard<std::mutex> lock(mutex_);
    plan_ = std::move(plan);
  }
  std::string Content(std::uint64_t offset, std::uint32_t length) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return stored_.substr(offset, length);
  }
  // Reports each command as it is run.
  std::function<void(const BoxCommand&)> on_run;

  // The power fails and is back after `seconds`: connections break, and what was written since the last flush
  // and without FUA is lost, as NBD allows.
  void CutPower(double seconds) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      down_ = true;
      stored_ = durable_;
      for (const auto& [number, fd] : open_) {
        Reset(fd);
      }
    }
    Sleep(seconds);
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = false;
  }

 private:
  void Accept() {
    for (int number = 1;; ++number) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (down_) {
          Reset(fd);
          close(fd);
          continue;
        }
        open_[number] = fd;
      }
      std::thread([this, fd, number] { Serve(fd, number); }).detach();
    }
  }

  bool Handshake(int fd) {
    std::string out;
    PutNumber(kNbdMagic, &out);
    PutNumber(kOptionMagic, &out);
    PutNumber<std::uint16_t>(3, &out);
    std::string in;
    if (!WriteAll(fd, out) || !ReadAll(fd, 4, &in)) {
      return false;
    }
    while (true) {
      if (!ReadAll(fd, 16, &in)) {
        return false;
      }
      const auto option = GetNumber<std::uint32_t>(in, 8);
      const auto length = GetNumber<std::uint32_t>(in, 12);
      if (length > 65536 || !ReadAll(fd, length, &in)) {
        return false;
      }
      if (option == 7) {  // NBD_OPT_GO
        std::string info;
        PutNumber<std::uint16_t>(0, &info);
        PutNumber<std::uint64_t>(stored_.size(), &info);
        PutNumber(flags_, &info);
        if (!WriteAll(fd, OptionReply(option, 3, info) + OptionReply(option, 1, ""))) {
          return false;
        }
        return true;
      }
      if (!WriteAll(fd, OptionReply(option, 0x80000001, ""))) {  // not supported
        return false;
      }
    }
  }

  static std::string OptionReply(std::uint32_t option, std::uint32_t type, const std::string& data) {
    std::string out;
    PutNumber(kOptionReplyMagic, &out);
    PutNumber(option, &out);
    PutNumber(type, &out);
    PutNumber(static_cast<std::uint32_t>(data.size()), &out);
    return out + data;
  }

  void Serve(int fd, int number) {
    if (Handshake(fd)) {
      std::string in;
      while (ReadAll(fd, 28, &in) && GetNumber<std::uint32_t>(in, 0) == kRequestMagic) {
        BoxCommand command;
        command.flags = GetNumber<std::uint16_t>(in, 4);
        command.type = GetNumber<std::uint16_t>(in, 6);
        command.cookie = GetNumber<std::uint64_t>(in, 8);
        command.offset = GetNumber<std::uint64_t>(in, 16);
        command.length = GetNumber<std::uint32_t>(in, 24);
        command.connection = number;
        if (command.type == kDisconnect ||
            (command.type == kWrite && !ReadAll(fd, command.length, &command.data))) {
          break;
        }
        Plan plan;
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          plan = plan_;
        }
        const BoxPlan planned = plan ? plan(command) : BoxPlan{};
        if (planned.run_after > 0) {
          std::thread([this, command, planned] {
            Sleep(planned.run_after);
            Run(command);
          }).detach();
        } else {
          Run(command);
        }
        if (planned.reset_after >= 0) {
          std::thread([this, number, planned] {
            Sleep(planned.reset_after);
            const std::lock_guard<std::mutex> lock(mutex_);
            if (const auto at = open_.find(number); at != open_.end()) {
              Reset(at->second);
            }
          }).detach();
        }
      }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(number);
    close(fd);
  }

  void Run(const BoxCommand& command) {
    std::string reply;
    PutNumber(kReplyMagic, &reply);
    const std::lock_guard<std::mutex> lock(mutex_);
    std::uint32_t error = 0;
    std::string data;
    if (command.type == kFlush) {
      durable_ = stored_;
    } else if (command.offset + command.length > stored_.size()) {
      error = 22;
    } else if (command.type == kRead) {
      data = stored_.substr(command.offset, command.length);
    } else if (command.type == kWrite) {
      stored_.replace(command.offset, command.length, command.data);
      if ((command.flags & kFua) != 0) {
        durable_.replace(command.offset, command.length, command.data);
      }
    } else {
      error = 22;
    }
    if (on_run) {
      on_run(command);
    }
    PutNumber(error, &reply);
    PutNumber(command.cookie, &reply);
    if (const auto at = open_.find(command.connection); at != open_.end()) {
      WriteAll(at->second, reply + data);
    }
  }

  std::uint16_t flags_;
  std::mutex mutex_;
  std::string stored_;
  std::string durable_;
  bool down_ = false;
  std::map<int, int> open_;
  Plan plan_;
  int listener_;
  int port_;
};

// A client of the initiator with one command at a time.
class NbdClient {
 public:
  // Connects within `seconds`.
  NbdClient(int port, const std::string& name, double seconds = 10) {
    for (const double until = Now() + seconds; Now() < until; Sleep(0.02)) {
      if (Open(port, name)) {
        return;
      }
    }
    CannotRun("the NBD front end did not answer the handshake");
  }
  ~NbdClient() { close(fd_); }
  std::uint64_t size() const { return size_; }

  // Return the error of the reply; -1 if none came within 10 s or the connection ended.
  int Write(std::uint64_t offset, const std::string& data) { return Ask(kWrite, offset, data.size(), data, nullptr); }
  int Read(std::uint64_t offset, std::uint32_t length, std::string* data) { return Ask(kRead, offset, length, "", data); }
  int Flush() { return Ask(kFlush, 0, 0, "", nullptr); }

 private:
  bool Open(int port, const std::string& name) {
    fd_ = Connect(port);
    std::string in;
    std::string out;
    if (fd_ < 0) {
      return false;
    }
    PutNumber<std::uint32_t>(3, &out);
    PutNumber(kOptionMagic, &out);
    PutNumber<std::uint32_t>(7, &out);
    PutNumber(static_cast<std::uint32_t>(name.size() + 6), &out);
    PutNumber(static_cast<std::uint32_t>(name.size()), &out);
    out += name;
    PutNumber<std::uint16_t>(0, &out);
    bool good = ReadAll(fd_, 18, &in, 3) && WriteAll(fd_, out);
    while (good && ReadAll(fd_, 20, &in, 3)) {
      const auto type = GetNumber<std::uint32_t>(in, 12);
      const auto length = GetNumber<std::uint32_t>(in, 16);
      good = ReadAll(fd_, length, &in, 3);
      if (type == 1) {
        return true;
      }
      if (type == 3 && length >= 12 && GetNumber<std::uint16_t>(in, 0) == 0) {
        size_ = GetNumber<std::uint64_t>(in, 2);
      }
      good = good && type == 3;
    }
    close(fd_);
    return false;
  }

  int Ask(std::uint16_t type, std::uint64_t offset, std::size_t length, const std::string& sent,
          std::string* received) {
    std::string out;
    PutNumber(kRequestMagic, &out);
    PutNumber<std::uint16_t>(0, &out);
    PutNumber(type, &out);
    PutNumber(++cookie_, &out);
    PutNumber(offset, &out);
    PutNumber(static_cast<std::uint32_t>(length), &out);
    std::string in;
    if (!WriteAll(fd_, out + sent) || !ReadAll(fd_, 16, &in, 10) ||
        GetNumber<std::uint64_t>(in, 8) != cookie_) {
      return -1;
    }
    const auto error = static_cast<int>(GetNumber<std::uint32_t>(in, 4));
    if (received != nullptr && error == 0 && !ReadAll(fd_, length, received, 10)) {
      return -1;
    }
    return error;
  }

  int fd_ = -1;
  std::uint64_t size_ = 0;
  std::uint64_t cookie_ = 0;
};

// ---- configuration ----

struct Deployment {
  int listen = 0;
  int discovery = 0;
  int nbd = 0;
  int box = 0;
  std::string known;                 // the list of discovery
  std::string write_effect;          // "safe", "keyed" or "unsafe"
  bool checksums = false;
  std::uint64_t size = 0;            // of the export at the box
};

// The settings of a small deployment: reads that are safe to repeat, writes with a key that a cell's targets
// remember for 2 s.
inline std::string ConfigText(const Deployment& deployment) {
  const std::string effect =
      deployment.write_effect == "keyed"
          ? R"("effect":"keyed","group":"cell","memorySpan":2000000)"
          : "\"effect\":\"" + deployment.write_effect + "\"";
  return R"({"name":"n1","listen":"127.0.0.1:)" + std::to_string(deployment.listen) +
         R"(","discovery":"127.0.0.1:)" + std::to_string(deployment.discovery) +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
         deployment.known +
         R"(,"settings":{"nInstances":1,"discovery":"subscribe","classes":[
  {"name":"layer-pull","aim":200000,"deadline":1200000,"effect":"safe","worth":2,"lateWorth":0.2},
  {"name":"layer-push","aim":250000,"deadline":1200000,)" +
         effect + R"(,"worth":2,"lateWorth":0.15})" +
         (deployment.checksums
              ? R"(,{"name":"schedule-export","aim":750000,"deadline":2500000,"effect":"safe","worth":1,"lateWorth":0.2})"
              : "") +
         R"(],
  "policies":[{"name":"standard","rate":400,"floorRate":400}],
  "rules":{"askEvery":10000000,"drainGrace":1000000,"graceToAnswer":8000,"coldShare":0.2,"warmUp":1000000,
           "tipMultiple":4.0,"overloadFor":1000000},
  "limits":{"tryLimit":4,"cancel":true,"probing":false,"maxRetryAfter":2000000,"connIdle":30000000,
            "dialTimeout":250000},
  "extra":{"largest":16,"usualUnits":1.0,"shards":4,"coldUnits":10,"changesData":[false,true)" +
         (deployment.checksums ? ",false" : "") + R"(]},
  "telemetry":{"fields":[]}}})";
}

inline std::string NbdText(const Deployment& deployment) {
  return "listen = \"127.0.0.1:" + std::to_string(deployment.nbd) +
         "\"\n[commands]\nread = \"layer-pull\"\nwrite = \"layer-push\"\nflush = \"layer-push\"\n"
         "[[box]]\nid = \"s-5be2a07c\"\naddress = \"127.0.0.1:" +
         std::to_string(deployment.box) +
         "\"\n[[export]]\nname = \"volume-a\"\nvolume = \"00000003b4d60021\"\nplan = \"standard\"\nshard = 0\n"
         "hosts = 1\nbox = \"s-5be2a07c\"\nremote = \"volume-a\"\nsize = " +
         std::to_string(deployment.size) + "\nchecksums = " + (deployment.checksums ? "true" : "false") + "\n";
}

// The entries of discovery's list: the box of the export, and three others.
inline std::string Members(int box) {
  static std::vector<std::unique_ptr<Box>> others;
  std::string members;
  for (int cell = 0; cell < 4; ++cell) {
    int port = box;
    if (cell > 0) {
      others.push_back(std::make_unique<Box>(1 << 20));
      port = others.back()->port();
    }
    members += std::string(cell > 0 ? "," : "") + R"({"id":"s-5be2a07)" + "cdef"[cell] +
               R"(","host_port":"127.0.0.1:)" + std::to_string(port) +
               R"(","locality":"","flavor":"","cell":)" + std::to_string(cell) +
               R"(,"phase":"SERVING","size":1.0,"up_since_ms":0})";
  }
  return members;
}

// Starts the initiator with the deployment's files and waits until it is ready.
inline pid_t StartInitiator(const Deployment& deployment) {
  const std::string config = Put("config.json", ConfigText(deployment));
  const std::string nbd = Put("nbd.toml", NbdText(deployment));
  const std::string settings = Put("settings.toml", "[log]\nlevel = \"info\"\n");
  const pid_t pid = StartCommand(RunCommand("--settings " + settings + " --nbd " + nbd),
                                 {{"BALANCER_CONFIG", config}, {"TMPDIR", Folder()}}, "initiator.log");
  WaitUntilReady(deployment.listen);
  Record("initiator %d is ready", static_cast<int>(pid));
  return pid;
}

inline std::string Block(char letter) { return std::string(4096, letter); }

// Describes the content of a block: the letter that fills it.
inline std::string Describe(int error, const std::string& data) {
  if (error != 0) {
    return "error " + std::to_string(error);
  }
  const bool is_filled = !data.empty() && data.find_first_not_of(data[0]) == std::string::npos;
  if (!is_filled) {
    return "mixed content";
  }
  return data[0] == '\0' ? "zeros" : std::string("content ") + data[0];
}

}  // namespace lab

#endif  // REVIEW_COMMON_2_NBD_LAB_H_

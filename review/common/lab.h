// Stand-ins for the cases of this review: discovery, an NBD target, an NBD client, and the start of the program
// itself. They follow the protocol pages and the public NBD specification. Everything is on 127.0.0.1.
#ifndef REVIEW_COMMON_LAB_H_
#define REVIEW_COMMON_LAB_H_

#include <arpa/inet.h>
#include <endian.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

// ---- clock and record ----

inline std::int64_t NowMs() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - kStart).count();
}

inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// The record of a run: one line for each event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) {
      return;
    }
    std::fprintf(file_, "%8lld ", static_cast<long long>(NowMs()));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// The case could not run.
[[noreturn]] inline void CannotRun(const std::string& why);

// ---- sockets ----

inline int ListenOn(int port, int* bound) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 128) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *bound = ntohs(address.sin_port);
  return fd;
}

inline int FreePort() {
  int port = 0;
  const int fd = ListenOn(0, &port);
  close(fd);
  return port;
}

inline int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool WriteAll(int fd, const void* data, std::size_t size) {
  const char* at = static_cast<const char*>(data);
  while (size > 0) {
    const ssize_t written = send(fd, at, size, MSG_NOSIGNAL);
    if (written <= 0) {
      if (written < 0 && errno == EINTR) {
        continue;
      }
      return false;
    }
    at += written;
    size -= static_cast<std::size_t>(written);
  }
  return true;
}

inline bool WriteAll(int fd, const std::string& text) { return WriteAll(fd, text.data(), text.size()); }

inline bool ReadAll(int fd, void* data, std::size_t size) {
  char* at = static_cast<char*>(data);
  while (size > 0) {
    const ssize_t got = recv(fd, at, size, 0);
    if (got <= 0) {
      if (got < 0 && errno == EINTR) {
        continue;
      }
      return false;
    }
    at += got;
    size -= static_cast<std::size_t>(got);
  }
  return true;
}

template <typename T>
T Swap(T value) {
  if constexpr (sizeof(T) == 2) {
    return static_cast<T>(htobe16(static_cast<std::uint16_t>(value)));
  } else if constexpr (sizeof(T) == 4) {
    return static_cast<T>(htobe32(static_cast<std::uint32_t>(value)));
  } else {
    return static_cast<T>(htobe64(static_cast<std::uint64_t>(value)));
  }
}

template <typename T>
void Put(std::string* out, T value) {
  value = Swap(value);
  out->append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <typename T>
T Get(const char* at) {
  T value;
  std::memcpy(&value, at, sizeof value);
  return Swap(value);
}

// Reads an HTTP head up to the empty line. Returns false at the end of the connection.
inline bool ReadHead(int fd, std::string* head) {
  head->clear();
  char byte = 0;
  while (head->size() < 65536) {
    if (!ReadAll(fd, &byte, 1)) {
      return false;
    }
    head->push_back(byte);
    if (head->size() >= 4 && head->compare(head->size() - 4, 4, "\r\n\r\n") == 0) {
      return true;
    }
  }
  return false;
}

// ---- discovery ----

struct Member {
  std::string id;
  std::string address;
  int cell = 0;
  std::string phase = "SERVING";
  std::int64_t up_since_ms = 0;
};

// Answers GET /api/targets with the whole list, and a watch with the whole list, then each change, and an empty
// line every 2 s.
class Discovery {
 public:
  explicit Discovery(Record* record, int port = 0) : record_(record) {
    listener_ = ListenOn(port, &port_);
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { Beat(); }).detach();
  }
  int port() const { return port_; }

  // Adds or changes a member and tells all watches.
  void Set(const Member& member) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++revision_;
    members_[member.id] = member;
    if (member.phase == "DELETED") {
      members_.erase(member.id);
    }
    record_->Line("discovery: revision %d, %s is %s", revision_, member.id.c_str(), member.phase.c_str());
    Tell(Format({member}, false));
  }
  bool has_watch() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return !watches_.empty();
  }

 private:
  std::string Format(const std::vector<Member>& members, bool complete) const {
    std::string text = "{\"revision\":" + std::to_string(revision_) + ",\"complete\":" + (complete ? "true" : "false") +
                       ",\"members\":[";
    for (std::size_t i = 0; i < members.size(); ++i) {
      const Member& member = members[i];
      text += std::string(i > 0 ? "," : "") + "{\"id\":\"" + member.id + "\",\"host_port\":\"" + member.address +
              "\",\"locality\":\"mill-building\",\"flavor\":\"standard-box\",\"cell\":" + std::to_string(member.cell) +
              ",\"phase\":\"" + member.phase + "\",\"size\":1.0,\"up_since_ms\":" + std::to_string(member.up_since_ms) +
              "}";
    }
    return text + "]}";
  }
  std::string WholeList() const {
    std::vector<Member> all;
    for (const auto& [id, member] : members_) {
      all.push_back(member);
    }
    return Format(all, true);
  }
  void Tell(const std::string& line) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    const std::string chunk = size + line + "\n\r\n";
    for (auto at = watches_.begin(); at != watches_.end();) {
      at = WriteAll(*at, chunk) ? std::next(at) : watches_.erase(at);
    }
  }
  void Beat() {
    while (true) {
      SleepMs(2000);
      const std::lock_guard<std::mutex> lock(mutex_);
      Tell("");
    }
  }
  void Accept() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }
  void Serve(int fd) {
    std::string head;
    while (ReadHead(fd, &head)) {
      const bool follow = head.find("follow=1") != std::string::npos;
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::string list = WholeList();
      if (!follow) {
        WriteAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(list.size()) + "\r\n\r\n" + list);
        continue;
      }
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", list.size() + 1);
      WriteAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       std::string(size) + list + "\n\r\n");
      record_->Line("discovery: watch opened");
      watches_.insert(fd);
      return;
    }
    close(fd);
  }

  Record* record_;
  int port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  int revision_ = 1;
  std::map<std::string, Member> members_;
  std::set<int> watches_;
};

// ---- NBD ----

constexpr std::uint16_t kNbdRead = 0, kNbdWrite = 1, kNbdDisconnect = 2, kNbdFlush = 3;
constexpr std::uint16_t kHasFlags = 1, kSendFlush = 4, kSendFua = 8, kCanMultiConn = 256;
constexpr std::uint16_t kFua = 1;
constexpr std::uint32_t kErrorIo = 5, kErrorNoMemory = 12, kErrorShutdown = 108;

struct NbdCommand {
  std::uint16_t flags = 0;
  std::uint16_t type = 0;
  std::uint64_t cookie = 0;
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  std::string data;
};

// Serves one connection of an NBD server: the fixed newstyle handshake with simple replies, then commands one
// after another. `execute` returns the error of a command, and the data of a read.
class NbdServerConnection {
 public:
  using Execute = std::function<std::uint32_t(const NbdCommand&, std::string* data)>;
  // Called before each read from the socket, for instance to stand still.
  using Gate = std::function<void()>;

  static void Serve(int fd, std::uint64_t size, std::uint16_t flags, const Gate& gate, const Execute& execute) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    gate();
    if (Handshake(fd, size, flags, gate)) {
      Transmit(fd, gate, execute);
    }
    close(fd);
  }

 private:
  static void OptionReply(int fd, std::uint32_t option, std::uint32_t type, const std::string& data) {
    std::string out;
    Put<std::uint64_t>(&out, 0x3e889045565a9);
    Put<std::uint32_t>(&out, option);
    Put<std::uint32_t>(&out, type);
    Put<std::uint32_t>(&out, static_cast<std::uint32_t>(data.size()));
    WriteAll(fd, out + data);
  }
  static bool Handshake(int fd, std::uint64_t size, std::uint16_t flags, const Gate& gate) {
    std::string greeting;
    Put<std::uint64_t>(&greeting, 0x4e42444d41474943);
    Put<std::uint64_t>(&greeting, 0x49484156454F5054);
    Put<std::uint16_t>(&greeting, 3);
    char buffer[16];
    if (!WriteAll(fd, greeting) || !ReadAll(fd, buffer, 4)) {
      return false;
    }
    while (true) {
      gate();
      if (!ReadAll(fd, buffer, 16)) {
        return false;
      }
      const auto option = Get<std::uint32_t>(buffer + 8);
      std::string data(Get<std::uint32_t>(buffer + 12), '\0');
      if (!data.empty() && !ReadAll(fd, data.data(), data.size())) {
        return false;
      }
      if (option == 7) {  // NBD_OPT_GO
        std::string info;
        Put<std::uint16_t>(&info, 0);
        Put<std::uint64_t>(&info, size);
        Put<std::uint16_t>(&info, flags);
        OptionReply(fd, option, 3, info);
        OptionReply(fd, option, 1, "");
        return true;
      }
      OptionReply(fd, option, 0x80000001, "");  // unsupported
    }
  }
  static void Transmit(int fd, const Gate& gate, const Execute& execute) {
    char header[28];
    while (true) {
      gate();
      if (!ReadAll(fd, header, sizeof header)) {
        return;
      }
      NbdCommand command;
      command.flags = Get<std::uint16_t>(header + 4);
      command.type = Get<std::uint16_t>(header + 6);
      command.cookie = Get<std::uint64_t>(header + 8);
      command.offset = Get<std::uint64_t>(header + 16);
      command.length = Get<std::uint32_t>(header + 24);
      if (command.type == kNbdDisconnect) {
        return;
      }
      if (command.type == kNbdWrite) {
        command.data.resize(command.length);
        for (std::size_t at = 0; at < command.data.size();) {
          gate();
          const std::size_t part = std::min<std::size_t>(command.data.size() - at, 65536);
          if (!ReadAll(fd, command.data.data() + at, part)) {
            return;
          }
          at += part;
        }
      }
      gate();
      std::string data;
      const std::uint32_t error = execute(command, &data);
      std::string out;
      Put<std::uint32_t>(&out, 0x67446698);
      Put<std::uint32_t>(&out, error);
      Put<std::uint64_t>(&out, command.cookie);
      if (!WriteAll(fd, error == 0 ? out + data : out)) {
        return;
      }
    }
  }
};

// A client's connection to the program's NBD front end. Replies are simple ones.
class NbdClient {
 public:
  // Called on the reader's thread with each reply; with nothing once the connection has ended.
  using OnReply = std::function<void(std::uint64_t cookie, std::uint32_t error, const std::string& data)>;

  ~NbdClient() {
    if (fd_ >= 0) {
      shutdown(fd_, SHUT_RDWR);
    }
    if (reader_.joinable()) {
      reader_.join();
    }
    if (fd_ >= 0) {
      close(fd_);
    }
  }

  bool Open(int port, const std::string& name, OnReply on_reply) {
    fd_ = ConnectTo(port);
    if (fd_ < 0) {
      return false;
    }
    const timeval limit{5, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    char greeting[18];
    if (!ReadAll(fd_, greeting, sizeof greeting)) {
      return false;
    }
    std::string out;
    Put<std::uint32_t>(&out, 3);
    std::string data;
    Put<std::uint32_t>(&data, static_cast<std::uint32_t>(name.size()));
    data += name;
    Put<std::uint16_t>(&data, 0);
    Put<std::uint64_t>(&out, 0x49484156454F5054);
    Put<std::uint32_t>(&out, 7);
    Put<std::uint32_t>(&out, static_cast<std::uint32_t>(data.size()));
    if (!WriteAll(fd_, out + data)) {
      return false;
    }
    while (true) {
      char header[20];
      if (!ReadAll(fd_, header, sizeof header)) {
        return false;
      }
      const auto type = Get<std::uint32_t>(header + 12);
      std::string info(Get<std::uint32_t>(header + 16), '\0');
      if (!info.empty() && !ReadAll(fd_, info.data(), info.size())) {
        return false;
      }
      if (type == 1) {
        break;
      }
      if (type != 3) {
        return false;
      }
      if (info.size() >= 12 && Get<std::uint16_t>(info.data()) == 0) {
        flags_ = Get<std::uint16_t>(info.data() + 10);
        size_ = Get<std::uint64_t>(info.data() + 2);
      }
    }
    const timeval none{0, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &none, sizeof none);
    on_reply_ = std::move(on_reply);
    reader_ = std::thread([this] { Read(); });
    return true;
  }
  std::uint16_t flags() const { return flags_; }
  std::uint64_t size() const { return size_; }
  bool ended() const { return ended_; }

  bool Send(const NbdCommand& command) {
    std::string out;
    Put<std::uint32_t>(&out, 0x25609513);
    Put<std::uint16_t>(&out, command.flags);
    Put<std::uint16_t>(&out, command.type);
    Put<std::uint64_t>(&out, command.cookie);
    Put<std::uint64_t>(&out, command.offset);
    Put<std::uint32_t>(&out, command.length);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      lengths_[command.cookie] = command.type == kNbdRead ? command.length : 0;
    }
    const std::lock_guard<std::mutex> lock(write_mutex_);
    return WriteAll(fd_, out) && WriteAll(fd_, command.data);
  }

 private:
  void Read() {
    char header[16];
    while (ReadAll(fd_, header, sizeof header)) {
      const auto error = Get<std::uint32_t>(header + 4);
      const auto cookie = Get<std::uint64_t>(header + 8);
      std::string data;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        data.resize(error == 0 ? lengths_[cookie] : 0);
        lengths_.erase(cookie);
      }
      if (!data.empty() && !ReadAll(fd_, data.data(), data.size())) {
        break;
      }
      on_reply_(cookie, error, data);
    }
    ended_ = true;
  }

  int fd_ = -1;
  std::uint16_t flags_ = 0;
  std::uint64_t size_ = 0;
  std::atomic<bool> ended_{false};
  OnReply on_reply_;
  std::thread reader_;
  std::mutex mutex_;
  std::mutex write_mutex_;
  std::map<std::uint64_t, std::uint32_t> lengths_;
};

// ---- the program ----

inline std::set<pid_t>& Children() {
  static std::set<pid_t> children;
  return children;
}

inline void EndChildren() {
  for (const pid_t pid : Children()) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  Children().clear();
}

[[noreturn]] inline void Exit(int code) {
  EndChildren();
  std::fflush(nullptr);
  _exit(code);
}

[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  Exit(2);
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void WriteFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

// Ends a case that takes longer: a script has to be done within 120 s.
inline void EndAfter(int seconds) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // also ends with its script; the program then ends with it (StartProcess)
  std::thread([seconds] {
    SleepMs(seconds * std::int64_t{1000});
    CannotRun("it took too long");
  }).detach();
}

// Returns the value of a text key of the deploy file.
inline std::string DeployCommand(const std::string& root, const std::string& key) {
  std::istringstream lines(ReadFile(root + "/deploy/balancer.toml"));
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(key + " = \"", 0) == 0) {
      const std::size_t begin = line.find('"') + 1;
      return line.substr(begin, line.find('"', begin) - begin);
    }
  }
  CannotRun("deploy/balancer.toml has no " + key);
}

// Starts a command by /bin/sh from the root of the repository, its output in a file of the temporary folder.
inline pid_t StartProcess(const std::string& root, const std::string& command,
                          const std::map<std::string, std::string>& environment, const std::string& log) {
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the program ends with the case, however that ends
    for (const auto& [name, value] : environment) {
      setenv(name.c_str(), value.c_str(), 1);
    }
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (chdir(root.c_str()) != 0) {
      _exit(127);
    }
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  Children().insert(pid);
  return pid;
}

// Returns the status of a process if it has ended within the time.
inline std::optional<int> WaitFor(pid_t pid, std::int64_t ms) {
  const std::int64_t end = NowMs() + ms;
  while (true) {
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) == pid) {
      Children().erase(pid);
      return status;
    }
    if (NowMs() >= end) {
      return std::nullopt;
    }
    SleepMs(10);
  }
}

// Waits until GET /-/ready answers 200.
inline bool WaitReady(int port, std::int64_t ms) {
  const std::int64_t end = NowMs() + ms;
  while (NowMs() < end) {
    const int fd = ConnectTo(port);
    if (fd >= 0) {
      const timeval limit{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      std::string head;
      const bool ready = WriteAll(fd, "GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n") &&
                         ReadHead(fd, &head) && head.find(" 200 ") != std::string::npos;
      close(fd);
      if (ready) {
        return true;
      }
    }
    SleepMs(50);
  }
  return false;
}

}  // namespace lab

#endif  // REVIEW_COMMON_LAB_H_

// Shared by the cases 6 to 10: the record, sockets, the initiator's process, and stand-ins for discovery.
// Everything listens on free ports of loopback addresses. Failures of the stand-ins end the case with code 2.
#ifndef REVIEW_COMMON_2_LAB_H_
#define REVIEW_COMMON_2_LAB_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
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
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;

inline Clock::time_point Begin() {
  static const Clock::time_point begin = Clock::now();
  return begin;
}
inline double Now() { return std::chrono::duration<double>(Clock::now() - Begin()).count(); }
inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
}

// Writes one line of the record.
__attribute__((format(printf, 1, 2))) inline void Record(const char* format, ...) {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  std::printf("%8.3f  ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vprintf(format, arguments);
  va_end(arguments);
  std::printf("\n");
  std::fflush(stdout);
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::set<pid_t>& Started() {
  static std::set<pid_t> started;
  return started;
}

// Ends all processes that were started, and the case.
[[noreturn]] inline void Exit(int code) {
  for (const pid_t pid : Started()) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  std::fflush(stdout);
  _exit(code);
}
[[noreturn]] inline void CannotRun(const std::string& why) {
  Record("the case could not run: %s", why.c_str());
  Exit(2);
}
// No case is about a process that ends: if one did, it was ended from outside.
[[noreturn]] inline void Verdict(bool held, const std::string& what) {
  for (const pid_t pid : Started()) {
    if (waitpid(pid, nullptr, WNOHANG) == pid) {
      CannotRun("process " + std::to_string(pid) + " has ended");
    }
  }
  Record("%s: %s", held ? "HELD" : "BROKEN", what.c_str());
  Exit(held ? 0 : 1);
}

inline std::string Folder() {
  const char* folder = std::getenv("CASE_TMP");
  if (folder == nullptr) {
    CannotRun("CASE_TMP is not set");
  }
  return folder;
}

// ---- sockets ----

inline sockaddr_in Address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Listens on a loopback port; 0 takes a free one.
inline int Listen(int port = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Address(port);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 256) != 0) {
    CannotRun(std::string("cannot listen: ") + std::strerror(errno));
  }
  return fd;
}

inline std::set<int>& TakenPorts() {
  static std::set<int> taken;
  return taken;
}

// Returns a port that nobody listens on, below the range from which outgoing connections get theirs.
inline int FreePort() {
  static int next = 15000 + (getpid() * 7) % 10000;
  for (int tries = 0; tries < 2000; ++tries) {
    const int port = next++;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Address(port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free && TakenPorts().insert(port).second) {
      return port;
    }
  }
  CannotRun("no free port");
}

// Connects; returns -1 if that fails.
inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t size = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(size);
  }
  return true;
}

// Reads exactly `size` bytes; false at an end, an error, or after `timeout` seconds without a byte (0: none).
inline bool ReadAll(int fd, std::size_t size, std::string* bytes, double timeout = 0) {
  bytes->assign(size, '\0');
  std::size_t done = 0;
  while (done < size) {
    if (timeout > 0) {
      pollfd polled{fd, POLLIN, 0};
      if (poll(&polled, 1, static_cast<int>(timeout * 1000)) <= 0) {
        return false;
      }
    }
    const ssize_t got = recv(fd, bytes->data() + done, size - done, 0);
    if (got <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(got);
  }
  return true;
}

// Closes with a reset, as the peer sees it when a connection is reset on its way.
inline void Reset(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  shutdown(fd, SHUT_RD);  // wakes a thread that reads
}

// ---- files and processes ----

inline std::string Put(const std::string& name, const std::string& text) {
  const std::string path = Folder() + "/" + name;
  const std::string temporary = path + ".new";
  std::ofstream(temporary) << text;
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    CannotRun("cannot write " + path);
  }
  return path;
}

// Returns whether the initiator's log has a line with this text.
inline bool LogContains(const std::string& text) {
  std::ifstream log(Folder() + "/initiator.log");
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

// Starts a shell command with variables added to the environment; its output goes to a file of the folder.
inline pid_t StartCommand(const std::string& command, const std::map<std::string, std::string>& environment,
                          const std::string& log) {
  const std::string log_path = Folder() + "/" + log;
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(2);
    }
    const int out = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    for (const auto& [name, value] : environment) {
      setenv(name.c_str(), value.c_str(), 1);
    }
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  if (pid < 0) {
    CannotRun("cannot start a process");
  }
  Started().insert(pid);
  return pid;
}

// Waits for the end of a process for at most `seconds`. Returns whether it ended.
inline bool WaitForEnd(pid_t pid, double seconds, int* status) {
  for (const double until = Now() + seconds; Now() < until; Sleep(0.005)) {
    if (waitpid(pid, status, WNOHANG) == pid) {
      Started().erase(pid);
      return true;
    }
  }
  return false;
}

// The start command of the deploy file, with further arguments.
inline std::string RunCommand(const std::string& arguments) {
  const char* run = std::getenv("CASE_RUN");
  if (run == nullptr || *run == '\0') {
    CannotRun("CASE_RUN is not set");
  }
  return std::string(run) + " " + arguments;
}

// Sends a request over HTTP on a new connection and returns the whole answer, or what came until the timeout.
inline std::string Http(int port, const std::string& request, double timeout) {
  const int fd = Connect(port);
  if (fd < 0) {
    return "";
  }
  WriteAll(fd, request);
  std::string answer;
  char buffer[65536];
  for (const double until = Now() + timeout; Now() < until;) {
    pollfd polled{fd, POLLIN, 0};
    if (poll(&polled, 1, 50) <= 0) {
      continue;
    }
    const ssize_t size = recv(fd, buffer, sizeof buffer, 0);
    if (size <= 0) {
      break;
    }
    answer.append(buffer, static_cast<std::size_t>(size));
  }
  close(fd);
  return answer;
}

inline void WaitUntilReady(int port) {
  for (const double until = Now() + 15; Now() < until; Sleep(0.05)) {
    const std::string answer =
        Http(port, "GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n", 2);
    if (answer.rfind("HTTP/1.1 200", 0) == 0) {
      return;
    }
  }
  CannotRun("the initiator did not become ready");
}

// ---- discovery ----

// Answers each call with a watch: the whole list, then an empty line each second.
class Discovery {
 public:
  explicit Discovery(std::string members) : members_(std::move(members)), listener_(Listen()) {
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return PortOf(listener_); }
  std::string List() const {
    return "{\"revision\":41,\"complete\":true,\"members\":[" + members_ + "]}";
  }

 private:
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
    char byte = 0;
    while (head.find("\r\n\r\n") == std::string::npos) {
      if (recv(fd, &byte, 1, 0) != 1) {
        close(fd);
        return;
      }
      head.push_back(byte);
    }
    bool open = WriteAll(fd,
                         "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n" +
                             Chunk(List() + "\n"));
    while (open) {
      Sleep(1);
      open = WriteAll(fd, Chunk("\n"));
    }
    close(fd);
  }
  static std::string Chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }

  std::string members_;
  int listener_;
};

}  // namespace lab

#endif  // REVIEW_COMMON_2_LAB_H_

#include "lab/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace walnutspur::lab {
namespace {

constexpr int kExitPollInterval = 5;  // ms
constexpr int kPortPollInterval = 2;  // ms
constexpr int kExecFailed = 127;      // exit code, as of a shell
constexpr mode_t kLogMode = 0640;
constexpr double kNanosecondsPerSecond = 1e9;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int MakeSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

bool CanConnect(int port) {
  const sockaddr_in address = LoopbackAddress(port);
  const int fd = MakeSocket();
  const bool connected = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return connected;
}

// Runs in the child.
[[noreturn]] void Execute(char* const* arguments, const std::map<std::string, std::string>& environment,
                          const std::string& log) {
  // The child ends with its parent, also where that is killed and cleans up nothing.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  for (const auto& [name, value] : environment) {
    setenv(name.c_str(), value.c_str(), 1);
  }
  execv(arguments[0], arguments);
  _exit(kExecFailed);
}

}  // namespace

Folder::Folder() : path_(std::filesystem::temp_directory_path() / "walnutspur-lab-XXXXXX") {
  if (!mkdtemp(path_.data())) {
    throw ProcessError("cannot make a folder for temporary files");
  }
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string Folder::Put(const std::string& name, const std::string& text) const {
  std::string path = path_ + "/" + name;
  std::ofstream(path, std::ios::binary) << text;
  return path;
}

Process::Process(const std::vector<std::string>& command,
                 const std::map<std::string, std::string>& environment, const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ < 0) {
    throw ProcessError("cannot start " + command.front());
  }
  if (pid_ == 0) {
    Execute(arguments.data(), environment, log);
  }
}

Process::~Process() { Kill(); }

void Process::Signal(int number) const {
  if (!reaped_) {
    kill(pid_, number);
  }
}

void Process::Kill() {
  if (reaped_) {
    return;
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, &status_, 0);
  reaped_ = true;
}

bool Process::running() {
  if (!reaped_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
    reaped_ = true;
  }
  return !reaped_;
}

int Process::Wait(int ms) {
  for (; running() && ms > 0; ms -= kExitPollInterval) {
    poll(nullptr, 0, kExitPollInterval);
  }
  return reaped_ && WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

std::string Process::ProcPath(const std::string& name) const {
  return "/proc/" + std::to_string(pid_) + "/" + name;
}

// The process's own schedstat covers its first thread alone.
double Process::cpu() const {
  double total = 0;
  std::error_code ignored;
  for (const auto& thread : std::filesystem::directory_iterator(ProcPath("task"), ignored)) {
    std::ifstream file(thread.path() / "schedstat");
    double nanoseconds = 0;
    file >> nanoseconds;
    total += nanoseconds / kNanosecondsPerSecond;
  }
  return total;
}

std::int64_t Process::memory() const {
  std::ifstream file(ProcPath("statm"));
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

bool WaitForPort(int port, int ms) {
  for (; ms > 0; ms -= kPortPollInterval) {
    if (CanConnect(port)) {
      return true;
    }
    poll(nullptr, 0, kPortPollInterval);
  }
  return false;
}

int FreePort() {
  sockaddr_in address = LoopbackAddress(0);
  socklen_t length = sizeof address;
  const int fd = MakeSocket();
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  close(fd);
  if (!bound) {
    throw ProcessError("there is no free port");
  }
  return ntohs(address.sin_port);
}

}  // namespace walnutspur::lab

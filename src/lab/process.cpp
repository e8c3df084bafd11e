#include "lab/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace walnutspur::lab {

Folder::Folder() {
  std::string path = std::filesystem::temp_directory_path() / "walnutspur-lab-XXXXXX";
  if (!mkdtemp(path.data())) {
    throw std::runtime_error("cannot make a folder for temporary files");
  }
  path_ = path;
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string Folder::Put(const std::string& name, const std::string& text) const {
  const std::string path = path_ + "/" + name;
  std::ofstream(path, std::ios::binary) << text;
  return path;
}

Process::Process(const std::vector<std::string>& command,
                 const std::map<std::string, std::string>& environment, const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ < 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
  if (pid_ > 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // a bench that is interrupted leaves nothing behind
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
  dup2(fd, 1);
  dup2(fd, 2);
  for (const auto& [name, value] : environment) {
    setenv(name.c_str(), value.c_str(), 1);
  }
  execv(arguments[0], arguments.data());
  _exit(127);
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
  for (; running() && ms > 0; ms -= 5) {
    poll(nullptr, 0, 5);
  }
  return reaped_ && WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

double Process::cpu() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
  // Threads are told apart there: all of them are summed.
  double all = 0;
  std::error_code ignored;
  for (const auto& thread :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/task", ignored)) {
    std::ifstream one(thread.path() / "schedstat");
    double nanoseconds = 0;
    one >> nanoseconds;
    all += nanoseconds / 1e9;
  }
  return all;
}

long Process::memory() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  long all = 0;
  long resident = 0;
  file >> all >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

bool WaitForPort(int port, int ms) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  for (; ms > 0; ms -= 2) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool there = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (there) {
      return true;
    }
    poll(nullptr, 0, 2);
  }
  return false;
}

int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  socklen_t length = sizeof address;
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  close(fd);
  if (!bound) {
    throw std::runtime_error("there is no free port");
  }
  return ntohs(address.sin_port);
}

}  // namespace walnutspur::lab

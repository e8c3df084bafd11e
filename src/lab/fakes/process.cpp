#include "lab/fakes/process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace walnutspur::lab {
namespace {

constexpr int kExitPollInterval = 5;  // ms
constexpr int kExecFailed = 127;      // exit code, as a shell returns it
constexpr mode_t kLogMode = 0640;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr int kHexadecimal = 16;
constexpr std::size_t kBytesPerKibibyte = 1024;

// Runs in the child.
[[noreturn]] void Execute(char* const* arguments, const std::map<std::string, std::string>& environment,
                          const std::string& log) {
  // The child is killed when its parent exits, also if the parent is killed and cannot clean up.
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

bool Process::HandlesSignal(int number) const {
  std::ifstream status(ProcPath("status"));
  const std::uint64_t bit = std::uint64_t{1} << static_cast<unsigned>(number - 1);
  for (std::string line; std::getline(status, line);) {
    if (!line.starts_with("SigBlk:") && !line.starts_with("SigCgt:")) {
      continue;
    }
    if ((std::stoull(line.substr(line.find(':') + 1), nullptr, kHexadecimal) & bit) != 0) {
      return true;
    }
  }
  return false;
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

std::size_t Process::peak_memory() const {
  std::ifstream status(ProcPath("status"));
  const std::string key = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(key)) {
      return std::stoul(line.substr(key.size())) * kBytesPerKibibyte;
    }
  }
  return 0;
}

double Process::cpu() const { return SumOfSchedstat(0); }

double Process::processor_wait() const { return SumOfSchedstat(1); }

double Process::SumOfSchedstat(int column) const {
  double total = 0;
  std::error_code ignored;
  for (const auto& thread : std::filesystem::directory_iterator(ProcPath("task"), ignored)) {
    std::ifstream file(thread.path() / "schedstat");
    double nanoseconds = 0;
    for (int read = 0; read <= column; ++read) {
      file >> nanoseconds;
    }
    total += nanoseconds / kNanosecondsPerSecond;
  }
  return total;
}

}  // namespace walnutspur::lab

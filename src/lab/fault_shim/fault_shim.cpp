// A library to preload into a process under test. System calls fail according to the plan in the environment
// variable WALNUTSPUR_FAULTS (fault_plan.h); random decisions use the seed in WALNUTSPUR_FAULTS_SEED. For
// tests and benchmarks only; `run` never loads it.
//
// libevent reads and writes sockets by readv and writev, accepts by accept4, waits by epoll_wait or
// epoll_pwait2, and reads the clocks by clock_gettime and gettimeofday; the standard library reads them by
// clock_gettime. Calls that reach the kernel in other ways, such as syscall(2), are not
// intercepted.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string_view>
#include <vector>

#include "lab/fault_shim/fault_plan.h"

namespace {

using walnutspur::lab::ParseFaultPlan;
using walnutspur::lab::SystemFault;
using walnutspur::lab::SystemFaultKind;

constexpr std::int64_t kMillisecondsPerSecond = 1'000;
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
constexpr int kInvalidPlan = 125;  // exit code

// Returns the next definition of a function, which the definition in this library hides.
template <typename Function>
Function Real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

using ClockGetTime = int (*)(clockid_t, timespec*);

std::int64_t MonotonicMs() {
  static const auto real = Real<ClockGetTime>("clock_gettime");
  timespec now{};
  real(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kMillisecondsPerSecond + now.tv_nsec / kNanosecondsPerMillisecond;
}

const std::vector<SystemFault>& Faults() {
  static const std::vector<SystemFault> faults = [] {
    const char* text = std::getenv("WALNUTSPUR_FAULTS");
    const auto plan = ParseFaultPlan(text != nullptr ? text : "");
    if (!plan) {
      std::fputs("WALNUTSPUR_FAULTS is not a valid fault plan\n", stderr);
      _exit(kInvalidPlan);
    }
    return *plan;
  }();
  return faults;
}

std::int64_t ProcessAgeMs() {
  static const std::int64_t started_at = MonotonicMs();
  return MonotonicMs() - started_at;
}

// Returns a number uniform in [0, 1): splitmix64 over a counter that all threads share.
double Draw() {
  static const char* seed_text = std::getenv("WALNUTSPUR_FAULTS_SEED");
  static const std::uint64_t seed = seed_text != nullptr ? std::strtoull(seed_text, nullptr, 10) : 1;
  static std::atomic<std::uint64_t> counter{0};
  std::uint64_t bits = seed * 0x9e3779b97f4a7c15ULL + ++counter * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
  return static_cast<double>((bits ^ (bits >> 31U)) >> 11U) * 0x1.0p-53;
}

// Returns the fault to apply to this call now, or null. Applies delays itself.
const SystemFault* ActiveFault(std::string_view call) {
  for (const SystemFault& fault : Faults()) {
    if (fault.call != call || !fault.IsActive(ProcessAgeMs()) || Draw() >= fault.probability) {
      continue;
    }
    if (fault.kind != SystemFaultKind::kDelay) {
      return &fault;
    }
    const timespec pause{fault.amount_ms / kMillisecondsPerSecond,
                         fault.amount_ms % kMillisecondsPerSecond * kNanosecondsPerMillisecond};
    nanosleep(&pause, nullptr);
  }
  return nullptr;
}

// Sockets that this process has connected itself. Errors that end a connection are injected into these only:
// the connection of a client ends with an error because the client closed it, and then the client expects no
// response.
constexpr std::size_t kMaxDescriptors = 65'536;
std::array<std::atomic<bool>, kMaxDescriptors> outgoing_sockets{};

bool IsOutgoing(int fd) {
  return fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors &&
         outgoing_sockets[static_cast<std::size_t>(fd)];
}

void SetOutgoing(int fd, bool is_outgoing) {
  if (fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors) {
    outgoing_sockets[static_cast<std::size_t>(fd)] = is_outgoing;
  }
}

// Returns whether the socket has input. A connection that fails still delivers the bytes that arrived before.
bool HasInput(int fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Returns the fault to apply to a transfer on a socket now, or null.
const SystemFault* ActiveTransferFault(std::string_view call, int fd) {
  const SystemFault* fault = ActiveFault(call);
  if (fault == nullptr || fault->kind == SystemFaultKind::kShort || fault->error == EINTR ||
      fault->error == EAGAIN) {
    return fault;
  }
  const bool loses_input = call == "readv" && HasInput(fd);
  return IsOutgoing(fd) && !loses_input ? fault : nullptr;
}

// Returns whether the call must fail, and sets errno if it must.
bool Fails(std::string_view call) {
  const SystemFault* fault = ActiveFault(call);
  if (fault == nullptr || fault->kind != SystemFaultKind::kError) {
    return false;
  }
  errno = fault->error;
  return true;
}

using VectorTransfer = ssize_t (*)(int, const iovec*, int);

// Performs `call` with the C library's function `real`: in full, with its first byte only, or not at all,
// with errno set.
ssize_t Transfer(std::string_view call, VectorTransfer real, int fd, const iovec* pieces, int count) {
  const SystemFault* fault = ActiveTransferFault(call, fd);
  if (fault == nullptr) {
    return real(fd, pieces, count);
  }
  if (fault->kind == SystemFaultKind::kShort && count > 0 && pieces->iov_len > 0) {
    const iovec first_byte{pieces->iov_base, 1};
    return real(fd, &first_byte, 1);
  }
  errno = fault->error;
  return -1;
}

std::int64_t ClockStepMs() {
  std::int64_t step = 0;
  for (const SystemFault& fault : Faults()) {
    if (fault.kind == SystemFaultKind::kClockStep && fault.IsActive(ProcessAgeMs())) {
      step += fault.amount_ms;
    }
  }
  return step;
}

}  // namespace

// The C library declares these functions with reserved parameter names, which other code must not use.
// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name)
extern "C" {

int clock_gettime(clockid_t clock, timespec* time) {
  static const auto real = Real<ClockGetTime>("clock_gettime");
  const int result = real(clock, time);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    const std::int64_t total =
        time->tv_sec * kNanosecondsPerSecond + time->tv_nsec + ClockStepMs() * kNanosecondsPerMillisecond;
    time->tv_sec = total / kNanosecondsPerSecond;
    time->tv_nsec = total % kNanosecondsPerSecond;
  }
  return result;
}

int gettimeofday(timeval* time, void* /*zone*/) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  *time = {now.tv_sec, now.tv_nsec / (kNanosecondsPerMillisecond / kMicrosecondsPerMillisecond)};
  return 0;
}

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static const auto real = Real<decltype(&accept4)>("accept4");
  if (Fails("accept4")) {
    return -1;
  }
  const int accepted = real(fd, address, length, flags);
  SetOutgoing(accepted, false);
  return accepted;
}

int socket(int domain, int type, int protocol) {
  static const auto real = Real<decltype(&socket)>("socket");
  return Fails("socket") ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto real = Real<decltype(&connect)>("connect");
  SetOutgoing(fd, true);
  return Fails("connect") ? -1 : real(fd, address, length);
}

ssize_t readv(int fd, const iovec* pieces, int count) {
  static const auto real = Real<VectorTransfer>("readv");
  return Transfer("readv", real, fd, pieces, count);
}

ssize_t writev(int fd, const iovec* pieces, int count) {
  static const auto real = Real<VectorTransfer>("writev");
  return Transfer("writev", real, fd, pieces, count);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  static const auto real = Real<decltype(&epoll_wait)>("epoll_wait");
  return Fails("epoll_wait") ? -1 : real(fd, events, max_events, timeout);
}

int fsync(int fd) {
  static const auto real = Real<decltype(&fsync)>("fsync");
  return Fails("fsync") ? -1 : real(fd);
}

int rename(const char* old_path, const char* new_path) {
  static const auto real = Real<decltype(&rename)>("rename");
  return Fails("rename") ? -1 : real(old_path, new_path);
}

}  // extern "C"
// NOLINTEND(readability-inconsistent-declaration-parameter-name)

#include "app/control.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <sstream>
#include <utility>

#include "app/errors.h"

namespace walnutspur::app {
namespace {

// Maximum number of connected clients; further connections are closed immediately.
constexpr std::size_t kMaxClients = 4;

// Maximum length of a command line, bytes.
constexpr std::size_t kMaxLineBytes = 512;

// Time after which the connection of a client is closed, us.
constexpr Time kClientTimeout = 2'000'000;

// Maximum number of connections that wait to be accepted.
constexpr int kBacklog = 8;

// The umask that gives only the owner access to the socket.
constexpr mode_t kOwnerOnlyUmask = 0177;

constexpr int kMillisPerSecond = 1000;
constexpr suseconds_t kMicrosPerMilli = 1000;

// Size of the buffer for received parts of a response, bytes.
constexpr std::size_t kReadBytes = 4096;

sockaddr_un AddressOf(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) {
    throw ControlError("control socket path " + path + " has " + std::to_string(path.size()) +
                       " bytes; allowed: at most " + std::to_string(sizeof address.sun_path - 1));
  }
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

// Returns a descriptor that is connected to the socket, or -1 with the error in errno.
int Connect(const std::string& path) {
  const sockaddr_un address = AddressOf(path);
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    return fd;
  }
  const int error = errno;
  if (fd >= 0) {
    close(fd);
  }
  errno = error;
  return -1;
}

[[noreturn]] void ThrowErrno(const std::string& step, const std::string& path) {
  throw ControlError(step + " " + path + ": " + std::strerror(errno));
}

// Removes the socket of a process that no longer runs. Throws ControlError if the path is not a socket or a
// running process uses it.
void RemoveStaleSocket(const std::string& path) {
  struct stat existing {};
  if (lstat(path.c_str(), &existing) != 0) {
    return;
  }
  if (!S_ISSOCK(existing.st_mode)) {
    throw ControlError(path + " exists and is not a socket");
  }
  if (const int fd = Connect(path); fd >= 0) {
    close(fd);
    throw ControlError(path + " is in use by another running process");
  }
  unlink(path.c_str());
}

// Returns a descriptor that is bound to the path; only this user can connect to it.
int BindSocket(const std::string& path, const sockaddr_un& address) {
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    ThrowErrno("cannot create a socket for", path);
  }
  const mode_t previous_mask = umask(kOwnerOnlyUmask);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  umask(previous_mask);
  if (!bound) {
    close(fd);
    ThrowErrno("cannot bind", path);
  }
  return fd;
}

// Reads until the peer closes the connection. Returns false after a read error.
bool ReadAll(int fd, std::string* text) {
  std::array<char, kReadBytes> buffer{};
  while (true) {
    const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return size == 0;
    }
    text->append(buffer.data(), static_cast<std::size_t>(size));
  }
}

}  // namespace

struct Control::Client {
  Control* owner = nullptr;
  std::uint64_t number = 0;
  bool responded = false;
  loop::EventHandle timeout;
  std::unique_ptr<bufferevent, loop::Deleter<bufferevent_free>> stream;
};

Control::Control(event_base* base, const std::string& path, Execute execute)
    : base_(base), path_(path), execute_(std::move(execute)), listener_(nullptr, evconnlistener_free) {
  Listen();
}

void Control::Listen() {
  const sockaddr_un address = AddressOf(path_);
  RemoveStaleSocket(path_);
  const int fd = BindSocket(path_, address);
  listener_.reset(evconnlistener_new(
      base_,
      [](evconnlistener*, evutil_socket_t client, sockaddr*, int, void* arg) {
        static_cast<Control*>(arg)->OnAccept(client);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, kBacklog, fd));
  if (!listener_) {
    close(fd);
    ThrowErrno("cannot listen on", path_);
  }
}

Control::~Control() { unlink(path_.c_str()); }

void Control::OnAccept(int fd) {
  if (clients_.size() >= kMaxClients) {
    close(fd);
    return;
  }
  auto owned = std::make_unique<Client>();
  Client* client = owned.get();
  client->owner = this;
  client->number = next_client_++;
  client->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  client->timeout = loop::MakeTimer(base_, [this, number = client->number] { clients_.erase(number); });
  client->timeout.Start(kClientTimeout);
  bufferevent_setcb(
      client->stream.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Client*>(arg);
        self->owner->OnRead(*self);
      },
      [](bufferevent* stream, void* arg) {  // also called once before a response is written
        auto* self = static_cast<Client*>(arg);
        const bool written = evbuffer_get_length(bufferevent_get_output(stream)) == 0;
        if (self->responded && written) {
          self->owner->clients_.erase(self->number);
        }
      },
      [](bufferevent*, auto events, void* arg) {
        auto* self = static_cast<Client*>(arg);
        if ((events & BEV_EVENT_ERROR) != 0 || !self->responded) {
          self->owner->clients_.erase(self->number);
        }
      },
      client);
  clients_[client->number] = std::move(owned);
  bufferevent_enable(client->stream.get(), EV_READ | EV_WRITE);
}

void Control::OnRead(Client& client) {
  evbuffer* buffer = bufferevent_get_input(client.stream.get());
  std::string input(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, input.data(), input.size());
  const bool complete = input.find('\n') != std::string::npos || input.size() > kMaxLineBytes;
  if (client.responded || !complete) {
    return;
  }
  const std::string response = Respond(input);
  client.responded = true;
  bufferevent_write(client.stream.get(), response.data(), response.size());
}

std::string Control::Respond(const std::string& input) const {
  const std::size_t end = input.find('\n');
  if (end == std::string::npos || end > kMaxLineBytes) {
    return "error: the line is too long; allowed: at most " + std::to_string(kMaxLineBytes) + " bytes\n";
  }
  std::istringstream line(input.substr(0, end));
  Words words;
  for (std::string word; line >> word;) {
    words.push_back(word);
  }
  return execute_(words);
}

std::string SendControlCommand(const std::string& path, const std::string& line, int timeout_ms) {
  const int fd = Connect(path);
  if (fd < 0) {
    ThrowErrno("cannot connect to control socket", path);
  }
  const timeval timeout{timeout_ms / kMillisPerSecond, timeout_ms % kMillisPerSecond * kMicrosPerMilli};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const std::string text = line + "\n";
  std::string response;
  const bool sent = send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  const bool received = sent && ReadAll(fd, &response);
  const std::string reason = received ? "the process closed the connection" : std::strerror(errno);
  close(fd);
  if (!received || response.empty()) {
    throw ControlError("no response from control socket " + path + ": " + reason);
  }
  return response;
}

}  // namespace walnutspur::app

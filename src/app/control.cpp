#include "app/control.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace walnutspur::app {
namespace {

constexpr std::size_t kMostClients = 4;
constexpr std::size_t kMostLine = 512;  // bytes
constexpr Time kPatience = 2'000'000;   // us for a client from its first byte to its last

sockaddr_un AddressOf(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path)
    throw std::runtime_error("the path " + path + " is too long for a socket; allowed are " +
                             std::to_string(sizeof address.sun_path - 1) + " bytes");
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

// A socket's descriptor that is connected there, or -1.
int Connect(const std::string& path) {
  const sockaddr_un address = AddressOf(path);
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  const int error = errno;
  if (fd >= 0) close(fd);
  errno = error;
  return -1;
}

}  // namespace

struct Control::Client {
  Control* owner = nullptr;
  std::uint64_t number = 0;
  bool answered = false;
  loop::EventHandle patience;
  std::unique_ptr<bufferevent, loop::Deleter<bufferevent_free>> stream;
};

Control::Control(event_base* base, const std::string& path, std::function<std::string(const Words&)> answer)
    : base_(base), path_(path), answer_(std::move(answer)), listener_(nullptr, evconnlistener_free) {
  const sockaddr_un address = AddressOf(path);
  const auto fail = [&](const char* step) {
    throw std::runtime_error(std::string(step) + " " + path + ": " + std::strerror(errno));
  };
  struct stat there {};
  if (lstat(path.c_str(), &there) == 0) {
    if (!S_ISSOCK(there.st_mode)) throw std::runtime_error(path + " is there and is no socket");
    if (const int fd = Connect(path); fd >= 0) {
      close(fd);
      throw std::runtime_error(path + " belongs to another process that runs");
    }
    unlink(path.c_str());
  }
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) fail("cannot make a socket for");
  const mode_t before = umask(0177);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  umask(before);
  if (!bound) {
    close(fd);
    fail("cannot bind");
  }
  listener_.reset(evconnlistener_new(
      base_,
      [](evconnlistener*, evutil_socket_t client, sockaddr*, int, void* arg) {
        static_cast<Control*>(arg)->OnAccept(client);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 8, fd));
  if (!listener_) {
    close(fd);
    fail("cannot listen at");
  }
}

Control::~Control() { unlink(path_.c_str()); }

void Control::OnAccept(int fd) {
  if (clients_.size() >= kMostClients) {
    close(fd);
    return;
  }
  auto made = std::make_unique<Client>();
  Client* c = made.get();
  c->owner = this;
  c->number = next_++;
  c->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  c->patience = loop::MakeTimer(base_, [this, number = c->number] { clients_.erase(number); });
  c->patience.Start(kPatience);
  bufferevent_setcb(
      c->stream.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Client*>(arg);
        self->owner->OnRead(*self);
      },
      [](bufferevent* stream, void* arg) {  // it is called once before anything is written, too
        auto* self = static_cast<Client*>(arg);
        const bool written = evbuffer_get_length(bufferevent_get_output(stream)) == 0;
        if (self->answered && written) self->owner->clients_.erase(self->number);
      },
      [](bufferevent*, short what, void* arg) {
        auto* self = static_cast<Client*>(arg);
        if (what & BEV_EVENT_ERROR || !self->answered) self->owner->clients_.erase(self->number);
      },
      c);
  clients_[c->number] = std::move(made);
  bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
}

void Control::OnRead(Client& client) {
  evbuffer* input = bufferevent_get_input(client.stream.get());
  std::string line(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, line.data(), line.size());
  const std::size_t end = line.find('\n');
  if (client.answered || (end == std::string::npos && line.size() <= kMostLine)) return;
  std::string answer;
  if (end == std::string::npos || end > kMostLine) {
    answer = "error: the line is too long; allowed are " + std::to_string(kMostLine) + " bytes\n";
  } else {
    std::istringstream text(line.substr(0, end));
    Words words;
    for (std::string word; text >> word;) words.push_back(word);
    answer = answer_(words);
  }
  client.answered = true;
  bufferevent_write(client.stream.get(), answer.data(), answer.size());
}

std::string AskControl(const std::string& path, const std::string& line, int ms) {
  const int fd = Connect(path);
  if (fd < 0) throw std::runtime_error("no process answers at " + path + ": " + std::strerror(errno));
  const timeval patience{ms / 1000, ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  const std::string text = line + "\n";
  std::string answer;
  bool whole = send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  while (whole) {
    char bytes[4096];
    const ssize_t size = recv(fd, bytes, sizeof bytes, 0);
    if (size == 0) break;
    whole = size > 0;
    if (whole) answer.append(bytes, static_cast<std::size_t>(size));
  }
  const std::string why = whole ? "it ended the connection" : std::strerror(errno);
  close(fd);
  if (!whole || answer.empty()) throw std::runtime_error("no answer came from " + path + ": " + why);
  return answer;
}

}  // namespace walnutspur::app

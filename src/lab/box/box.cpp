#include "lab/box/box.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "core/scheduler_thread.h"
#include "integrity/digest.h"
#include "loop/address.h"

namespace walnutspur::lab {
namespace {

constexpr std::uint32_t kLargest = 2 << 20;  // bytes of a command

bool Fits(const Fault& fault, std::uint64_t offset, std::uint64_t length) {
  return offset < fault.to && offset + length > fault.from;
}

}  // namespace

struct Box::Connection {
  explicit Connection(const std::vector<nbd::Export>& exports) : session(exports) {}
  Box* owner = nullptr;
  std::uint64_t number = 0;
  int path = 0;
  bool http = false;
  nbd::ServerSession session;
  http::MessageReader reader{http::MessageReader::Kind::kRequest, 1 << 20};
  std::map<std::uint64_t, loop::EventHandle> delayed;
  std::uint64_t next = 1;
  std::unique_ptr<bufferevent, loop::Deleter<bufferevent_free>> stream;
};

struct Box::Listener {
  Box* owner = nullptr;
  int path = 0;
  std::unique_ptr<evconnlistener, loop::Deleter<evconnlistener_free>> listener;
};

Box::Box(const BoxOptions& options) : options_(options) {
  static const int threads = evthread_use_pthreads();
  if (threads != 0) {
    throw std::runtime_error("libevent has no threads");
  }
  disk_ = std::make_unique<Disk>(options.size, options.seed, options.file);
  disk_->KeepHistory();
  exports_.push_back({options.export_name, options.size, kLargest, options.flags});
  ports_.assign(static_cast<std::size_t>(options.paths + (options.http ? 1 : 0)), 0);
  for (std::size_t i = 0; options.first_port > 0 && i < ports_.size(); ++i) {
    ports_[i] = options.first_port + static_cast<int>(i);
  }
  Listen();
}

Box::~Box() { Stop(); }

void Box::Listen() {
  base_.reset(event_base_new());
  stop_ = loop::EventHandle(base_.get(), -1, EV_PERSIST, [this] { event_base_loopbreak(base_.get()); });
  for (std::size_t i = 0; i < ports_.size(); ++i) {
    auto made = std::make_unique<Listener>();
    made->owner = this;
    made->path = static_cast<int>(i);
    sockaddr_in address = loop::ToSocket({options_.host, static_cast<std::uint16_t>(ports_[i])});
    made->listener.reset(evconnlistener_new_bind(
        base_.get(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
          auto* self = static_cast<Listener*>(arg);
          self->owner->OnAccept(self->path, fd);
        },
        made.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 256,
        reinterpret_cast<sockaddr*>(&address), sizeof address));
    if (!made->listener) {
      throw std::runtime_error(std::string("the box cannot listen: ") + std::strerror(errno));
    }
    socklen_t length = sizeof address;
    getsockname(evconnlistener_get_fd(made->listener.get()), reinterpret_cast<sockaddr*>(&address), &length);
    ports_[i] = ntohs(address.sin_port);
    listeners_.push_back(std::move(made));
  }
}

void Box::Start() {
  thread_ = std::thread([this] { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); });
}

void Box::Stop() {
  if (thread_.joinable()) {
    stop_.Activate();
    thread_.join();
  }
  connections_.clear();
  listeners_.clear();
  stop_ = loop::EventHandle();
  base_.reset();
}

void Box::Restart(bool power) {
  if (power) {
    WithDisk([](Disk& disk) { disk.Crash(); });
  }
  Listen();
  Start();
}

void Box::Add(const Fault& fault) {
  const std::lock_guard lock(mutex_);
  if (fault.damage == Damage::kFlipRest) {  // at once: it waits for no command
    disk_->Flip(fault.from, static_cast<std::uint32_t>(fault.to - fault.from),
                1 + static_cast<int>(disk_->Draw(8)));
    ++struck_[fault.damage];
    return;
  }
  faults_.push_back(fault);
}

void Box::ClearFaults() {
  const std::lock_guard lock(mutex_);
  faults_.clear();
}

std::uint64_t Box::struck(Damage damage) const {
  const std::lock_guard lock(mutex_);
  const auto at = struck_.find(damage);
  return at == struck_.end() ? 0 : at->second;
}

std::uint64_t Box::commands() const {
  const std::lock_guard lock(mutex_);
  return commands_;
}

void Box::SetDelay(std::int64_t us) {
  const std::lock_guard lock(mutex_);
  options_.delay = us;
}

void Box::Stall(std::int64_t us) {
  const std::lock_guard lock(mutex_);
  busy_until_ = std::max(busy_until_, core::Now()) + us;
}

void Box::SetService(std::int64_t us) {
  const std::lock_guard lock(mutex_);
  options_.service = us;
}

void Box::OnAccept(int path, int fd) {
  auto made = std::make_unique<Connection>(exports_);
  Connection* c = made.get();
  c->owner = this;
  c->number = next_++;
  c->path = path;
  c->http = options_.http && path + 1 == static_cast<int>(ports_.size());
  c->stream.reset(bufferevent_socket_new(base_.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  bufferevent_setcb(
      c->stream.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        self->owner->OnRead(*self);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
          self->owner->connections_.erase(self->number);
        }
      },
      c);
  connections_[c->number] = std::move(made);
  bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
  if (!c->http) {
    const std::string greeting = nbd::Greeting();
    bufferevent_write(c->stream.get(), greeting.data(), greeting.size());
  }
}

void Box::Send(Connection& c, std::string bytes) {
  std::int64_t wait = options_.delay;
  if (options_.service > 0) {
    const std::int64_t now = core::Now();
    busy_until_ = std::max(busy_until_, now) + options_.service;
    wait += busy_until_ - now;
  }
  if (wait == 0) {
    bufferevent_write(c.stream.get(), bytes.data(), bytes.size());
    return;
  }
  const std::uint64_t key = c.next++;
  Connection* connection = &c;
  c.delayed[key] = loop::MakeTimer(base_.get(), [connection, key, bytes = std::move(bytes)] {
    bufferevent_write(connection->stream.get(), bytes.data(), bytes.size());
    connection->delayed.erase(key);
  });
  c.delayed[key].Start(wait);
}

void Box::OnRead(Connection& c) {
  const std::lock_guard lock(mutex_);
  evbuffer* input = bufferevent_get_input(c.stream.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  const std::uint64_t number = c.number;
  if (c.http) {
    std::string_view left(bytes);
    while (!left.empty() && !c.reader.malformed()) {
      left.remove_prefix(c.reader.Feed(left));
      if (c.reader.complete()) {
        OnHttp(c);
      }
    }
    if (c.reader.malformed()) {
      connections_.erase(number);
    }
    return;
  }
  std::string out;
  std::vector<nbd::Request> requests;
  c.session.Feed(bytes, &out, &requests);
  if (!out.empty()) {
    bufferevent_write(c.stream.get(), out.data(), out.size());
  }
  for (const nbd::Request& request : requests) {
    OnNbd(c, request);
  }
  if (c.session.ended()) {
    connections_.erase(number);
  }
}

Fault* Box::Fitting(std::initializer_list<Damage> kinds, int path, std::uint64_t offset,
                    std::uint64_t length) {
  const auto at = std::find_if(faults_.begin(), faults_.end(), [&](const Fault& f) {
    return f.times != 0 && std::find(kinds.begin(), kinds.end(), f.damage) != kinds.end() &&
           (f.path < 0 || path < 0 || f.path == path) && Fits(f, offset, length);
  });
  return at == faults_.end() ? nullptr : &*at;
}

void Box::Struck(Fault& fault) {
  ++struck_[fault.damage];
  if (fault.times > 0) {
    --fault.times;
  }
}

// Of a longer read only the part that the fault is about is damaged.
std::string Box::Read(int path, std::uint64_t offset, std::uint32_t length) {
  std::string data = disk_->Read(offset, length);
  Fault* fault = Fitting({Damage::kFlipPath, Damage::kStale}, path, offset, length);
  if (!fault) {
    return data;
  }
  const std::uint64_t from = std::max(fault->from, offset);
  const std::uint64_t to = std::min(fault->to, offset + length);
  std::string part;
  if (fault->damage == Damage::kStale) {
    part = disk_->Before(from, static_cast<std::uint32_t>(to - from));
  } else {
    part = data.substr(from - offset, to - from);
    FlipBits(&part, 1 + static_cast<int>(disk_->Draw(8)), &disk_->random());
  }
  data.replace(from - offset, part.size(), part);
  Struck(*fault);
  return data;
}

void Box::Write(std::uint64_t offset, const std::string& data, bool fua) {
  Fault* fault = Fitting({Damage::kLost, Damage::kAstray, Damage::kTorn}, -1, offset, data.size());
  if (!fault) {
    return disk_->Write(offset, data, fua);
  }
  const std::uint64_t from = std::max(fault->from, offset);
  const std::uint64_t to = std::min(fault->to, offset + data.size());
  const std::string part = data.substr(from - offset, to - from);
  disk_->Write(offset, data.substr(0, from - offset), fua);
  disk_->Write(to, data.substr(to - offset), fua);
  if (fault->damage == Damage::kAstray) {
    disk_->Write(fault->elsewhere, part, fua);
  }
  if (fault->damage == Damage::kTorn) {
    const std::uint64_t sectors = part.size() / Disk::kSector;
    const std::uint64_t kept = 1 + disk_->Draw(sectors > 1 ? sectors - 1 : 1);
    disk_->Write(from, part.substr(0, kept * Disk::kSector), fua);
  }
  Struck(*fault);
}

void Box::OnNbd(Connection& c, const nbd::Request& request) {
  ++commands_;
  std::string out;
  const bool ranged = request.type != nbd::kFlush;
  if (ranged && (request.oversized || request.offset > options_.size ||
                 request.length > options_.size - request.offset || request.length == 0)) {
    c.session.Reply(request.cookie, request.type == nbd::kWrite ? nbd::kNoSpace : nbd::kInvalid,
                    "past the end", &out);
  } else if (request.type == nbd::kRead) {
    c.session.Reply(request.cookie, {{request.offset, Read(c.path, request.offset, request.length), 0}},
                    &out);
  } else if (request.type == nbd::kWrite) {
    Write(request.offset, request.data, (request.flags & nbd::kFua) != 0);
    c.session.Reply(request.cookie, nbd::kOk, "", &out);
  } else if (request.type == nbd::kFlush) {
    disk_->Flush();
    c.session.Reply(request.cookie, nbd::kOk, "", &out);
  } else {
    c.session.Reply(request.cookie, nbd::kInvalid, "unknown command", &out);
  }
  Send(c, std::move(out));
}

// Objects by their path. The digest that came with a write is kept and given back with every read; damage
// strikes the body alone, as on a disk or a path that knows nothing of it.
void Box::OnHttp(Connection& c) {
  ++commands_;
  http::MessageReader& read = c.reader;
  std::string head = "HTTP/1.1 200 OK\r\n";
  std::string body;
  const std::string key = read.uri();
  if (key == "/-/healthy") {
  } else if (read.method() == "PUT") {
    const std::string digest = read.Joined("Content-Digest");
    std::string stored = digest + "\n" + read.body();
    Fault* fault = Fitting({Damage::kLost, Damage::kAstray, Damage::kTorn}, -1, 0, 1);
    if (fault) {
      Struck(*fault);
      const auto old = objects_.find(key);
      const std::string before = old == objects_.end() ? "" : old->second.substr(old->second.find('\n') + 1);
      // The box's index has the new digest, its disk has not the new bytes.
      if (fault->damage == Damage::kLost) {
        stored = digest + "\n" + before;
      }
      if (fault->damage == Damage::kAstray) {  // another object gets the bytes, and keeps its digest
        stored = digest + "\n" + before;
        for (auto& [name, other] : objects_) {
          if (name == key) {
            continue;
          }
          other = other.substr(0, other.find('\n') + 1) + read.body();
          break;
        }
      }
      if (fault->damage == Damage::kTorn) {
        stored = digest + "\n" + read.body().substr(0, read.body().size() / 2);
      }
    }
    if (const auto old = objects_.find(key); old != objects_.end()) {
      previous_[key] = old->second;
    }
    objects_[key] = stored;
    body = "stored";
  } else if (const auto at = objects_.find(key); at != objects_.end()) {
    const std::size_t end = at->second.find('\n');
    const std::string digest = at->second.substr(0, end);
    body = at->second.substr(end + 1);
    if (!digest.empty()) {
      head += "Content-Digest: " + digest + "\r\n";
    }
    if (Fault* fault = Fitting({Damage::kFlipPath, Damage::kStale}, -1, 0, 1); fault && !body.empty()) {
      const auto old = previous_.find(key);
      if (fault->damage == Damage::kStale && old != previous_.end()) {
        body = old->second.substr(old->second.find('\n') + 1);
      } else {
        FlipBits(&body, 1 + static_cast<int>(disk_->Draw(8)), &disk_->random());
      }
      Struck(*fault);
    }
  } else {
    body = "nothing";
  }
  Send(c, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  c.reader = http::MessageReader(http::MessageReader::Kind::kRequest, 1 << 20);
}

}  // namespace walnutspur::lab

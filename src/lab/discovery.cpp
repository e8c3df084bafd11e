#include "lab/discovery.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/thread.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "http/message_reader.h"
#include "loop/address.h"

namespace walnutspur::lab {
namespace {

constexpr Time kBeat = 1'000'000;  // us between empty lines; they are due every 2 s

}  // namespace

struct Discovery::Connection {
  Discovery* owner = nullptr;
  http::MessageReader reader{http::MessageReader::Kind::kRequest};
  bool watches = false;
  std::unique_ptr<bufferevent, loop::Deleter<bufferevent_free>> stream;
};

Discovery::Discovery() : listener_(nullptr, evconnlistener_free) {
  static const int threads = evthread_use_pthreads();
  if (threads != 0) {
    throw std::runtime_error("libevent has no threads");
  }
  base_.reset(event_base_new());
  stop_ = loop::EventHandle(base_.get(), -1, EV_PERSIST, [this] { event_base_loopbreak(base_.get()); });
  changed_ = loop::EventHandle(base_.get(), -1, EV_PERSIST, [this] {
    std::string line;
    {
      const std::lock_guard lock(mutex_);
      if (news_.empty()) {
        return;
      }
      line = List(false, std::exchange(news_, {}));
    }
    for (auto& [key, connection] : connections_) {
      if (connection->watches) {
        Tell(*connection, line);
      }
    }
  });
  beat_ = loop::EventHandle(base_.get(), -1, EV_PERSIST, [this] {
    for (auto& [key, connection] : connections_) {
      if (connection->watches) {
        Tell(*connection, "");
      }
    }
  });
  beat_.Start(kBeat);
  sockaddr_in address = loop::ToSocket({"127.0.0.1", 0});
  listener_.reset(evconnlistener_new_bind(
      base_.get(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
        static_cast<Discovery*>(arg)->OnAccept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 64, reinterpret_cast<sockaddr*>(&address),
      sizeof address));
  if (!listener_) {
    throw std::runtime_error("discovery cannot listen");
  }
  socklen_t length = sizeof address;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); });
}

Discovery::~Discovery() {
  stop_.Activate();
  thread_.join();
  connections_.clear();
  listener_.reset();
}

void Discovery::Set(const Member& member) {
  {
    const std::lock_guard lock(mutex_);
    ++revision_;
    members_[member.id] = news_[member.id] = member;
    if (member.phase == "DELETED") {
      members_.erase(member.id);
    }
  }
  changed_.Activate();
}

std::string Discovery::List(bool complete, const std::map<std::string, Member>& members) const {
  nlohmann::json list = {
      {"revision", revision_}, {"complete", complete}, {"members", nlohmann::json::array()}};
  for (const auto& [id, m] : members) {
    list["members"].push_back({{"id", m.id},
                               {"host_port", m.host_port},
                               {"locality", "a"},
                               {"flavor", "x"},
                               {"cell", m.cell},
                               {"phase", m.phase},
                               {"size", 1.0},
                               {"up_since_ms", m.up_since_ms}});
  }
  return list.dump();
}

void Discovery::Tell(Connection& c, const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  const std::string chunk = size + line + "\n\r\n";
  bufferevent_write(c.stream.get(), chunk.data(), chunk.size());
}

void Discovery::OnAccept(int fd) {
  auto made = std::make_unique<Connection>();
  Connection* c = made.get();
  c->owner = this;
  c->stream.reset(bufferevent_socket_new(base_.get(), fd, BEV_OPT_CLOSE_ON_FREE));
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
          self->owner->connections_.erase(self);
        }
      },
      c);
  connections_[c] = std::move(made);
  bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
}

// A watch begins with the whole list, whatever it asks after: that is always right.
void Discovery::OnRead(Connection& c) {
  evbuffer* input = bufferevent_get_input(c.stream.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  c.reader.Feed(bytes);
  if (!c.reader.complete()) {
    return;
  }
  std::string list;
  {
    const std::lock_guard lock(mutex_);
    list = List(true, members_);
  }
  c.watches = c.reader.uri().find("follow=1") != std::string::npos;
  c.reader = http::MessageReader(http::MessageReader::Kind::kRequest);
  if (c.watches) {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    bufferevent_write(c.stream.get(), head.data(), head.size());
    return Tell(c, list);
  }
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  bufferevent_write(c.stream.get(), text.data(), text.size());
}

}  // namespace walnutspur::lab

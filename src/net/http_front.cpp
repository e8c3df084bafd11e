#include "net/http_front.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <mutex>
#include <stdexcept>
#include <vector>

#include "core/owner.h"
#include "net/messages.h"

namespace walnutspur::net {
namespace {

constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kMostHeaders = 16 * 1024;
constexpr int kIdleSeconds = 60;        // a client's connection may stay idle so long
constexpr Time kAcceptAgain = 50'000;   // us without accepting after a failed accept
constexpr Time kDeadlineGuard = 5'000;  // us past the deadline: attempts' own timers come first
constexpr std::size_t kMakeRoom = 16;   // idle clients that go at a time
constexpr double kClientPart = 0.55;    // of the descriptors; the rest is for targets and the loop
// Also those that evhttp has no name for: it would answer them 501 by itself.
constexpr std::uint16_t kEveryMethod = 0xffff;

}  // namespace

// Whose listener it is: evhttp keeps a listener's only argument for itself. Of the whole process, since a
// loop may run on another thread than the one that made the front.
HttpFront* HttpFront::FrontOf(evconnlistener* listener, HttpFront* change) {
  static std::mutex mutex;
  static std::unordered_map<evconnlistener*, HttpFront*> fronts;
  const std::lock_guard lock(mutex);
  if (change) fronts[listener] = change;
  const auto at = fronts.find(listener);
  return at == fronts.end() ? nullptr : at->second;
}

HttpFront::HttpFront(event_base* base, const Config& config, Serials* serials, core::Post post)
    : base_(base),
      config_(config),
      serials_(serials),
      post_(std::move(post)),
      most_descriptors_(static_cast<int>(config.sockets * kClientPart)),
      http_(evhttp_new(base)) {
  evhttp_set_allowed_methods(http_.get(), kEveryMethod);  // the rest of the methods get their 405 here
  evhttp_set_max_body_size(http_.get(), kMostBody);
  evhttp_set_max_headers_size(http_.get(), kMostHeaders);
  evhttp_set_timeout(http_.get(), kIdleSeconds);
  evhttp_set_default_content_type(http_.get(), "application/octet-stream");
  evhttp_set_gencb(
      http_.get(),
      [](evhttp_request* request, void* arg) { static_cast<HttpFront*>(arg)->OnRequest(request); }, this);
  evhttp_set_bevcb(
      http_.get(),
      [](event_base* own, void* arg) {
        auto* self = static_cast<HttpFront*>(arg);
        if (self->Full()) self->OnAcceptError();
        bufferevent* stream = bufferevent_socket_new(own, -1, BEV_OPT_CLOSE_ON_FREE);
        if (stream && self->on_accept) self->on_accept(stream);
        return stream;
      },
      this);
  auto* bound = evhttp_bind_socket_with_handle(http_.get(), config.listen.host.c_str(), config.listen.port);
  if (!bound)
    throw std::runtime_error("cannot listen at " + config.listen.host + ":" +
                             std::to_string(config.listen.port) + ": " + std::strerror(errno));
  listener_ = evhttp_bound_socket_get_listener(bound);
  evconnlistener_set_error_cb(listener_,
                              [](evconnlistener* listener, void*) { FrontOf(listener)->OnAcceptError(); });
  FrontOf(listener_, this);
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
  resume_ = MakeTimer(base, [this] {
    if (Full()) return OnAcceptError();  // else a client more would come with every pause
    paused_ = false;
    evconnlistener_enable(listener_);
  });
}

HttpFront::~HttpFront() {
  held_.clear();
  for (auto& [connection, client] : clients_) evhttp_connection_set_closecb(connection, nullptr, nullptr);
}

// Guards the descriptors: with too many of them in use, further clients wait in the listener's backlog. A new
// descriptor is the lowest that is free, so one past the bound tells that all below it are taken.
bool HttpFront::Full() const {
  const int lowest = dup(evconnlistener_get_fd(listener_));
  if (lowest >= 0) close(lowest);
  return lowest < 0 || lowest >= most_descriptors_;
}

HttpFront::Client& HttpFront::ClientOf(evhttp_connection* connection) {
  const auto [at, fresh] = clients_.try_emplace(connection);
  if (!fresh) return at->second;
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* arg) { static_cast<HttpFront*>(arg)->OnClosed(closed); }, this);
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return at->second;
}

// EMFILE and the like must not make the loop spin on a listener that stays readable, nor end the program.
void HttpFront::OnAcceptError() {
  if (!paused_) evconnlistener_disable(listener_);
  paused_ = true;
  resume_.Start(kAcceptAgain);
  // Links that were cut leave connections that say nothing: the ones idle the longest make room.
  std::vector<evhttp_connection*> idle = Idle();
  std::sort(idle.begin(), idle.end(),
            [this](auto* a, auto* b) { return clients_[a].since < clients_[b].since; });
  if (idle.size() > kMakeRoom) idle.resize(kMakeRoom);
  for (evhttp_connection* connection : idle) evhttp_connection_free(connection);
}

void HttpFront::OnClosed(evhttp_connection* connection) {
  const auto at = clients_.find(connection);
  if (at == clients_.end()) return;
  const core::Serial serial = at->second.serial;
  clients_.erase(at);
  if (serial != 0 && held_.erase(serial) > 0) post_(core::Departed{serial});
}

void HttpFront::Reply(evhttp_request* request, int code, const std::string& body) {
  auto* headers = evhttp_request_get_output_headers(request);
  if (draining_) evhttp_add_header(headers, "Connection", "close");
  const std::unique_ptr<evbuffer, Freed<evbuffer_free>> buffer(evbuffer_new());
  evbuffer_add(buffer.get(), body.data(), body.size());
  evhttp_send_reply(request, code, nullptr, buffer.get());
}

void HttpFront::OnRequest(evhttp_request* request) {
  const std::string uri = evhttp_request_get_uri(request);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  Client& client = ClientOf(connection);
  const auto command = evhttp_request_get_command(request);
  if (uri == "/-/ready") {
    const bool get = command == EVHTTP_REQ_GET;
    return Reply(request, !get ? 405 : ready_ ? 200 : 503, ready_ ? "ready\n" : "not yet\n");
  }
  if (command != EVHTTP_REQ_GET && command != EVHTTP_REQ_PUT) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Allow", "GET, PUT");
    return Reply(request, 405, "a read is a GET, a write is a PUT\n");
  }
  auto* headers = evhttp_request_get_input_headers(request);
  const Header header = [headers](const char* name) { return evhttp_find_header(headers, name); };
  auto payload = std::make_shared<HttpRequest>();
  payload->put = command == EVHTTP_REQ_PUT;
  payload->uri = uri;
  if (const char* id = header("X-Request-Id")) payload->id = id;
  evbuffer* body = evhttp_request_get_input_buffer(request);
  payload->body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, payload->body.data(), payload->body.size());

  core::Arrived arrived;
  Time patience = 0;
  if (const auto wrong = ReadRequest(config_, *payload, header, &arrived, &patience))
    return Reply(request, 400, *wrong + "\n");

  arrived.serial = client.serial = serials_->next++;
  arrived.wire = core::Wire::kHttp;
  // The client's wait began when it sent this; of what the loop spent before it got here, only the clock at
  // its wake-up tells.
  timeval woke{}, now{};
  event_base_gettimeofday_cached(base_, &woke);
  evutil_gettimeofday(&now, nullptr);
  const Time late = (now.tv_sec - woke.tv_sec) * 1'000'000 + (now.tv_usec - woke.tv_usec);
  const Time left = patience - std::clamp<Time>(late, 0, patience);
  arrived.deadline = core::Now() + left;
  arrived.payload = std::move(payload);

  Held& held = held_[arrived.serial];
  held.request = request;
  held.connection = connection;
  const core::Serial serial = arrived.serial;
  held.deadline = MakeTimer(base_, [this, serial] { post_(core::Expired{serial}); });
  held.deadline.Start(left + kDeadlineGuard);
  // evhttp stops reading while a request waits, so it would not see that the client leaves, and reading on by
  // its bufferevent would end the program where a client sends its next request early. An event of its own
  // sees the close and reads nothing.
  client.left = Watcher(base_, bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), EV_CLOSED,
                        [this, connection, serial] {
                          const auto at = clients_.find(connection);
                          if (at == clients_.end() || at->second.serial != serial) return;
                          evhttp_connection_free(connection);  // calls OnClosed
                        });
  client.left.Start();
  post_(std::move(arrived));
}

void HttpFront::Finish(const core::Answer& answer) {
  const auto at = held_.find(answer.serial);
  if (at == held_.end()) return;  // the client has left
  evhttp_request* request = at->second.request;
  Client& client = clients_[at->second.connection];
  client.left = {};
  client.serial = 0;
  client.since = core::Now();
  held_.erase(at);
  switch (answer.verdict) {
    case core::Verdict::kServed:
      return Reply(request, 200, static_cast<const HttpAnswer&>(*answer.payload).body);
    case core::Verdict::kRefused:
      evhttp_add_header(evhttp_request_get_output_headers(request), "Retry-After",
                        Seconds(answer.hold_off).c_str());
      return Reply(request, 503, "refused\n");
    case core::Verdict::kTimedOut:
      return Reply(request, 504, "timed out\n");
    case core::Verdict::kFailed:
      return Reply(request, 500, "failed\n");
  }
}

std::vector<evhttp_connection*> HttpFront::Idle() const {
  std::vector<evhttp_connection*> idle;
  for (const auto& [connection, client] : clients_) {
    bufferevent* stream = evhttp_connection_get_bufferevent(connection);
    // Neither a request that is being read nor an answer that is being written is cut off.
    if (client.serial == 0 && evbuffer_get_length(bufferevent_get_input(stream)) == 0 &&
        evbuffer_get_length(bufferevent_get_output(stream)) == 0)
      idle.push_back(connection);
  }
  return idle;
}

void HttpFront::Drain() {
  draining_ = true;
  for (evhttp_connection* connection : Idle()) evhttp_connection_free(connection);
}

}  // namespace walnutspur::net

// Tests a client's HTTP connection on its own, with short timeouts, on an event loop that the test runs.
#include "http/client_connection.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>

#include "core/clock.h"
#include "http/body_stream.h"
#include "loopback_socket.h"

namespace walnutspur::test {
namespace {

using http::BodyStream;
using http::ClientConnection;

constexpr Time kShortTimeout = 30'000;            // us
constexpr Time kLongTimeout = 10'000'000;         // us
constexpr Time kMaxRunTime = 4'000'000;           // us
constexpr Time kWriteTimeout = 400'000;           // us
constexpr Time kReadInterval = 25'000;            // us
constexpr int kSocketBufferBytes = 16 << 10;      // the kernel may double it
constexpr std::size_t kLargeBodyBytes = 300'000;  // more than the kernel's buffers of both sides
constexpr std::size_t kBytesPerInterval = 4'000;  // read by a slow client
constexpr std::size_t kMinReadBytes = 20'000;     // in kWriteTimeout; a third of what that client reads
constexpr std::size_t kUnreadBytes = 70'000;      // more than these buffers, and less than with the program's

// Class ConnectionFixture connects a client to a ClientConnection. The sockets' buffers are small, so that
// most of a large response stays in the program until the client reads it.
class ConnectionFixture : public http::ClientConnectionHandler {
 public:
  explicit ConnectionFixture(const http::ClientTimeouts& timeouts) : base_(event_base_new()) {
    int port = 0;
    const Socket listener = Socket::Listen(&port);
    const int client_fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(client_fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes, sizeof kSocketBufferBytes);
    client_ = Socket::Connect(port, client_fd);
    const int server_fd = accept(listener.fd(), nullptr, nullptr);
    setsockopt(server_fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes, sizeof kSocketBufferBytes);
    evutil_make_socket_nonblocking(server_fd);
    ClientConnectionHandler* handler = this;
    connection_ = std::make_unique<ClientConnection>(
        base_.get(), 1, loop::AdoptSocket(base_.get(), server_fd), handler, shutdown_, timeouts);
    connection_->Enable();
  }
  ~ConnectionFixture() {
    connection_.reset();
    RunOnce();
  }

  // Lets the client send a request with an additional header line, and waits for it.
  void Request(const std::string& header) {
    REQUIRE(client_.Send("GET / HTTP/1.1\r\nHost: s\r\n" + header + "\r\n"));
    REQUIRE(RunUntil([this] { return requested_; }));
  }
  // Responds with a body; a streamed one is complete at once.
  void Respond(bool is_streamed) {
    const std::string bytes(kLargeBodyBytes, 'x');
    if (!is_streamed) {
      connection_->Respond(http::kStatusOk, bytes);
      return;
    }
    auto body = std::make_shared<BodyStream>(kLargeBodyBytes);
    body->Append(bytes);
    body->Finish();
    connection_->RespondStreaming("", body);
  }
  // Reads what has arrived at the client.
  void ReadAtClient() {
    while (client_.Readable(0) && client_.Fill(0)) {
    }
  }
  // Lets the client read kBytesPerInterval at a time. Returns whether it gets the whole response.
  bool ReadSlowly() {
    std::array<char, kBytesPerInterval> bytes;
    ssize_t size = 1;
    while (size != 0 && !HasBody()) {
      RunFor(kReadInterval);
      size = recv(client_.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT);
      client_.received.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    }
    return HasBody();
  }
  // Returns whether the client has got the whole response.
  bool HasBody() const {
    const std::size_t head_end = client_.received.find("\r\n\r\n");
    return head_end != std::string::npos && client_.received.size() == head_end + 4 + kLargeBodyBytes;
  }
  void RunOnce() { event_base_loop(base_.get(), EVLOOP_NONBLOCK); }
  // Runs the loop for `duration` us while the client reads nothing.
  void RunFor(Time duration) {
    const Time end = core::Now() + duration;
    while (core::Now() < end) {
      RunOnce();
    }
  }
  // Runs the loop until the condition holds, or until a limit. Returns whether it holds.
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const Time end = core::Now() + kMaxRunTime;
    while (!condition() && core::Now() < end) {
      RunOnce();
    }
    return condition();
  }
  // Lets the client read the rest of the response. Returns whether it is whole.
  bool RunUntilBody() {
    RunUntil([this] {
      ReadAtClient();
      return HasBody() || !client_.open();
    });
    return HasBody();
  }

  bool is_open() const { return connection_ != nullptr; }
  ClientConnection& connection() { return *connection_; }
  Socket& client() { return client_; }

  // ClientConnectionHandler
  void OnRequest(ClientConnection&) override { requested_ = true; }
  void Close(ClientConnection&) override { connection_.reset(); }
  bool ReserveMemory(ClientConnection&, std::size_t) override { return true; }
  bool IsOpen(std::uint64_t) const override { return is_open(); }

 private:
  loop::EventBasePtr base_;
  frontend::ShutdownSequence shutdown_{frontend::ShutdownLimits{}};
  Socket client_;
  std::unique_ptr<ClientConnection> connection_;
  bool requested_ = false;
};

http::ClientTimeouts WithShortLingerAndIdle() {
  http::ClientTimeouts timeouts;
  timeouts.linger = kShortTimeout;
  timeouts.idle = kShortTimeout;
  timeouts.idle_after_first_request = kShortTimeout;
  timeouts.write = kLongTimeout;
  return timeouts;
}

// Lets the client read all but the last bytes of a response, so that its end is in the program's buffer.
void ReadUpToTheEnd(ConnectionFixture& fixture) {
  const auto has_most = [&] { return fixture.client().received.size() >= kLargeBodyBytes - kUnreadBytes; };
  REQUIRE(fixture.RunUntil([&] {
    if (!has_most() && fixture.client().Readable(0)) {
      fixture.client().Fill(0);
    }
    return has_most();
  }));
}

// Guards against a response that loses its end: a timeout that should follow the response ran while its last
// bytes were not written yet, because the client read slowly, and closed the connection.
TEST_CASE("client connection: a response is not cut off by the timeout that follows it") {
  std::string header;
  bool is_streamed = true;
  SUBCASE("streamed, on a connection that stays open") {}
  SUBCASE("streamed, on a connection that closes") { header = "Connection: close\r\n"; }
  SUBCASE("complete, on a connection that stays open") { is_streamed = false; }
  SUBCASE("complete, on a connection that closes") {
    header = "Connection: close\r\n";
    is_streamed = false;
  }
  ConnectionFixture fixture(WithShortLingerAndIdle());
  fixture.Request(header);
  fixture.Respond(is_streamed);
  ReadUpToTheEnd(fixture);
  fixture.RunFor(4 * kShortTimeout);
  CHECK(fixture.RunUntilBody());
  CHECK(fixture.RunUntil([&] { return !fixture.is_open(); }));  // the timeout follows all the same
}

// Guards against a large response that is cut off when the write timeout is over, although the client reads:
// the timeout was one for the whole rest of the response, or ran while the kernel reported no room in its
// buffer.
TEST_CASE("client connection: a client that reads on may take longer than the write timeout for a response") {
  http::ClientTimeouts timeouts;
  timeouts.write = kWriteTimeout;
  timeouts.min_read_bytes = kMinReadBytes;
  SUBCASE("a client that reads slowly gets all of it") {
    ConnectionFixture fixture(timeouts);
    fixture.Request("");
    fixture.Respond(false);
    CHECK(fixture.ReadSlowly());
  }
  SUBCASE("a client that does not read is disconnected") {
    ConnectionFixture fixture(timeouts);
    fixture.Request("");
    fixture.Respond(false);
    CHECK(fixture.RunUntil([&] { return !fixture.is_open(); }));
  }
}

// Guards against a response that loses its end to make room for a new connection.
TEST_CASE("client connection: a connection is not evicted before its last response is written") {
  ConnectionFixture fixture(WithShortLingerAndIdle());
  fixture.Request("Connection: close\r\n");
  fixture.Respond(false);
  CHECK(fixture.connection().eviction_candidate().rank == frontend::EvictionRank::kInUse);
  CHECK(fixture.RunUntilBody());
  REQUIRE(fixture.is_open());
  CHECK(fixture.connection().eviction_candidate().rank == frontend::EvictionRank::kClosing);
}

// Guards against a response that loses its end in a graceful shutdown, although the client could read it.
TEST_CASE("client connection: a shutdown leaves a response that is not written yet its end") {
  ConnectionFixture fixture(http::ClientTimeouts{});
  fixture.Request("");
  fixture.Respond(true);
  ReadUpToTheEnd(fixture);
  REQUIRE(fixture.is_open());
  fixture.connection().ShutDown();
  CHECK(fixture.RunUntilBody());
  CHECK(fixture.RunUntil([&] {  // the end of the stream follows
    fixture.ReadAtClient();
    return !fixture.client().open();
  }));
}

}  // namespace
}  // namespace walnutspur::test

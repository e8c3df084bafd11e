// Tests the NBD target pool on its own: what a target gets that stops reading and later goes on.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "loopback_socket.h"
#include "nbd/messages.h"
#include "nbd/server_session.h"
#include "nbd/target_pool.h"

namespace walnutspur::test {
namespace {

constexpr Time kMaxRunTime = 4'000'000;              // us
constexpr Time kSettleTime = 50'000;                 // us; the kernel takes what it can in this time
constexpr int kReceiveBufferBytes = 16 << 10;        // of the target
constexpr std::uint32_t kLargeWriteBytes = 8 << 20;  // more than the kernel's buffers of both sides
constexpr std::uint32_t kSmallWriteBytes = 512;
constexpr std::uint64_t kBlockBytes = 16 << 20;  // distance of the requests' offsets

// Class NbdPoolFixture is a target pool and a target whose reading the test controls. The test runs the loop.
class NbdPoolFixture {
 public:
  NbdPoolFixture() : base_(event_base_new()) {
    nbd::Export target_export;
    target_export.name = "e";
    target_export.size = std::uint64_t{1} << 30;
    target_export.max_command_bytes = kLargeWriteBytes;
    exports_.push_back(target_export);
    int port = 0;
    listener_ = Socket::Listen(&port);
    setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    nbd::Target target;
    target.id = "a";
    target.addresses = {"127.0.0.1:" + std::to_string(port)};
    config_.targets.push_back(target);
    pool_ = std::make_unique<nbd::TargetPool>(base_.get(), config_, 8, [this](core::Input input) {
      results_.push_back(std::get<core::AttemptResult>(std::move(input)));
    });
  }
  ~NbdPoolFixture() {
    pool_.reset();
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);
  }

  // Starts a command at target a; its offset tells which request it belongs to.
  void Start(core::RequestNumber request, nbd::Command type, std::uint32_t length,
             Time timeout = 2 * kMaxRunTime, Time not_after = 0) {
    auto command = std::make_shared<nbd::CommandPayload>();
    command->request.type = type;
    command->request.offset = request * kBlockBytes;
    command->request.length = length;
    command->request.data = type == nbd::kWrite ? std::string(length, 'w') : "";
    command->remote = "e";
    core::StartAttempt start;
    start.request = request;
    start.protocol = core::Protocol::kNbd;
    start.target = "a";
    start.timeout = timeout;
    start.payload = command;
    start.not_after = not_after;
    pool_->Start(start);
  }
  // Accepts the pool's connection and completes the handshake on it.
  void Accept() {
    RunUntil([this] { return listener_.Readable(0); });
    connection_ = listener_.Accept();
    session_ = std::make_unique<nbd::ServerSession>(exports_);
    connection_.Send(nbd::Greeting());
    RunUntil([this] {
      ReadAtTarget();
      return session_->chosen() != nullptr;
    });
  }
  // Reads what has arrived at the target.
  void ReadAtTarget() {
    std::string out;
    while (connection_.open() && connection_.Readable(0) && connection_.Fill(0)) {
      session_->Feed(std::exchange(connection_.received, ""), &out, &commands_);
    }
    if (!out.empty()) {
      connection_.Send(out);
    }
  }
  // Reads at the target and runs the loop until the connection has ended.
  void ReadToEnd() {
    RunUntil([this] {
      ReadAtTarget();
      return !connection_.open();
    });
  }
  // Lets the target read until it has got a command, and executes it.
  void Execute(core::RequestNumber request) {
    RunUntil([this, request] {
      ReadAtTarget();
      return HasGot(request);
    });
    std::string out;
    session_->Reply(Find(request)->cookie, nbd::kOk, "", &out);
    connection_.Send(out);
    RunUntil([this, request] { return Result(request) != nullptr; });
  }
  // Lets the kernel take what it can while the target stands still.
  void Settle() {
    const Time end = core::Now() + kSettleTime;
    RunUntil([end] { return core::Now() >= end; });
  }
  template <typename Condition>
  void RunUntil(Condition condition) {
    const Time end = core::Now() + kMaxRunTime;
    while (!condition()) {
      REQUIRE(core::Now() < end);
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    }
  }

  bool HasGot(core::RequestNumber request) const { return Find(request) != commands_.end(); }
  // Returns the outcome of a request that must have a result.
  Outcome OutcomeOf(core::RequestNumber request) const {
    const core::AttemptResult* result = Result(request);
    REQUIRE(result != nullptr);
    return result->outcome;
  }
  nbd::TargetPool& pool() { return *pool_; }

 private:
  std::vector<nbd::Request>::const_iterator Find(core::RequestNumber request) const {
    return std::find_if(commands_.begin(), commands_.end(), [request](const nbd::Request& command) {
      return command.offset == request * kBlockBytes;
    });
  }
  const core::AttemptResult* Result(core::RequestNumber request) const {
    const auto found =
        std::find_if(results_.begin(), results_.end(),
                     [request](const core::AttemptResult& result) { return result.request == request; });
    return found == results_.end() ? nullptr : &*found;
  }

  std::vector<nbd::Export> exports_;
  nbd::Config config_;
  loop::EventBasePtr base_;
  std::unique_ptr<nbd::TargetPool> pool_;
  std::vector<core::AttemptResult> results_;
  Socket listener_;
  Socket connection_;
  std::unique_ptr<nbd::ServerSession> session_;
  std::vector<nbd::Request> commands_;  // that the target has got completely
};

// Guards against a write that runs twice: it was reported as never executed while it waited in the buffer of
// a connection, and was sent when the target read again.
TEST_CASE("NBD target pool: a command that ended before it was written never reaches the target") {
  NbdPoolFixture fixture;
  fixture.Start(1, nbd::kWrite, kLargeWriteBytes);
  fixture.Accept();
  fixture.Start(2, nbd::kWrite, kLargeWriteBytes);
  fixture.Start(3, nbd::kWrite, kSmallWriteBytes, kSettleTime / 2);
  fixture.Start(4, nbd::kWrite, kSmallWriteBytes);
  fixture.Settle();
  fixture.pool().Cancel(2, 0);
  CHECK(fixture.OutcomeOf(2) == Outcome::kCancelled);
  CHECK(fixture.OutcomeOf(3) == Outcome::kConnectFailed);  // timed out
  fixture.Execute(1);
  fixture.Execute(4);
  CHECK(fixture.OutcomeOf(1) == Outcome::kCompleted);
  CHECK(fixture.OutcomeOf(4) == Outcome::kCompleted);
  fixture.ReadToEnd();
  CHECK_FALSE(fixture.HasGot(2));
  CHECK_FALSE(fixture.HasGot(3));
}

// Guards against the same, where the kernel has taken a part of the command: no rest may follow.
TEST_CASE("NBD target pool: a command that ended while it was written ends its connection") {
  NbdPoolFixture fixture;
  fixture.Start(1, nbd::kRead, kSmallWriteBytes);
  fixture.Accept();
  fixture.Start(2, nbd::kWrite, kLargeWriteBytes);
  fixture.Start(3, nbd::kWrite, kSmallWriteBytes);
  fixture.Settle();
  fixture.pool().Cancel(2, 0);
  CHECK(fixture.OutcomeOf(2) == Outcome::kCancelled);
  CHECK(fixture.OutcomeOf(1) == Outcome::kConnectionReset);  // it was written, and may have been executed
  CHECK(fixture.OutcomeOf(3) == Outcome::kConnectFailed);
  fixture.ReadToEnd();
  CHECK(fixture.HasGot(1));
  CHECK_FALSE(fixture.HasGot(2));
  CHECK_FALSE(fixture.HasGot(3));
}

// Guards against a repeat that reaches the target when the target no longer recognizes it as one, after it
// has waited in the buffer of a connection.
TEST_CASE("NBD target pool: a command that is not written by its latest time never reaches the target") {
  NbdPoolFixture fixture;
  fixture.Start(1, nbd::kWrite, kSmallWriteBytes, 2 * kMaxRunTime, core::Now() + 2 * kSettleTime);
  fixture.Accept();
  fixture.Settle();
  fixture.Start(2, nbd::kWrite, kLargeWriteBytes);
  fixture.Start(3, nbd::kWrite, kSmallWriteBytes, 2 * kMaxRunTime, core::Now() + kSettleTime / 2);
  fixture.Settle();
  CHECK(fixture.OutcomeOf(3) == Outcome::kConnectFailed);
  fixture.Settle();
  fixture.Execute(1);  // it was written in time, and goes on after its latest time
  CHECK(fixture.OutcomeOf(1) == Outcome::kCompleted);
  fixture.Execute(2);
  CHECK(fixture.OutcomeOf(2) == Outcome::kCompleted);
  fixture.ReadToEnd();
  CHECK_FALSE(fixture.HasGot(3));
}

}  // namespace
}  // namespace walnutspur::test

// Simulates clients that make an initiator hold memory or work: many that stop within a request, or one that
// sends at full speed. They connect again whenever their connection ends.
//
// Owned by a pressure run or a test; runs on an event-loop thread of its own, so that it does not delay the
// other clients of the run.
#ifndef WALNUTSPUR_LAB_PRESSURE_PRESSURE_CLIENT_H_
#define WALNUTSPUR_LAB_PRESSURE_PRESSURE_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/fakes/event_loop_thread.h"
#include "loop/address.h"
#include "loop/loop.h"
#include "loop/stream.h"

namespace walnutspur::lab::pressure {

// What the clients send.
enum class PressureKind {
  kPartialBodies,       // writes of 64 KiB that lack their last byte
  kPartialLargeBodies,  // writes of 4 MiB that stop half way
  kSlowBodies,          // writes of 64 KiB in pieces, 64 kB a second
  kManyFields,          // heads of very many short fields that do not end
  kUnreadResponses,     // reads whose responses are not read
  kReadinessChecks,     // readiness checks at full speed, whose responses are not read
  kNewVolumes,          // small requests one after another, each of another volume
  kUnsoundRequests,     // requests at full speed that are not valid
  kAbandonedRequests,   // many small requests at once, whose client closes the connection at once
  kRepeatedIds,         // writes whose client leaves before the response and comes again with the same id
};
inline constexpr PressureKind kAllPressureKinds[] = {
    PressureKind::kPartialBodies, PressureKind::kPartialLargeBodies, PressureKind::kSlowBodies,
    PressureKind::kManyFields,    PressureKind::kUnreadResponses,    PressureKind::kReadinessChecks,
    PressureKind::kNewVolumes,    PressureKind::kUnsoundRequests,    PressureKind::kAbandonedRequests,
    PressureKind::kRepeatedIds};

// The first digit of the ids of requests of clients that press; no usual client's id begins with it.
inline constexpr const char* kPressingIdPrefix = "e";

// Returns the name of a kind, as on the command line, and the kind with a name.
std::string_view NameOf(PressureKind kind);
std::optional<PressureKind> ParsePressureKind(std::string_view name);

struct PressureOptions {
  loop::Address server;
  PressureKind kind = PressureKind::kPartialBodies;
  int connections = 1;
  int shards = 4;
};

class PressureClient {
 public:
  // Connects and sends until it is destroyed.
  explicit PressureClient(const PressureOptions& options);
  ~PressureClient();
  PressureClient(const PressureClient&) = delete;
  PressureClient& operator=(const PressureClient&) = delete;

  // Counts since the start; callable from any thread.
  std::uint64_t connects() const { return connects_; }
  std::uint64_t bytes_written() const { return bytes_written_; }
  std::uint64_t bytes_read() const { return bytes_read_; }

 private:
  struct Connection {
    void OnReadable() { owner->OnReadable(*this); }
    void OnWritten() { owner->OnWritten(*this); }
    void OnEvent(loop::EventMask events) { owner->OnEvent(*this, events); }

    PressureClient* owner = nullptr;
    loop::StreamPtr stream;
    loop::EventHandle next_step;  // connects, or writes the next piece
    std::uint64_t repeated_id = 0;
    std::uint64_t uses_of_id = 0;  // of repeated_id so far
  };

  void Step(Connection& connection);
  void Connect(Connection& connection);
  void OnReadable(Connection& connection);
  void OnWritten(Connection& connection);
  void OnEvent(Connection& connection, loop::EventMask events);
  void Write(Connection& connection, std::string_view bytes);
  void Disconnect(Connection& connection);
  void LeaveBeforeResponse(Connection& connection);
  // Returns what is sent first on each connection, and what is sent whenever the bytes before it are written.
  std::string FirstBytes(Connection& connection);
  std::string NextBytes() const;
  std::string NextRead(Time deadline);
  std::string NextReads();
  bool ReadsResponses() const;

  PressureOptions options_;
  std::atomic<std::uint64_t> connects_{0};
  std::atomic<std::uint64_t> bytes_written_{0};
  std::atomic<std::uint64_t> bytes_read_{0};
  std::uint64_t next_request_;
  EventLoopThread loop_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace walnutspur::lab::pressure

#endif  // WALNUTSPUR_LAB_PRESSURE_PRESSURE_CLIENT_H_

// Simulates the clients of one process: a number of connections, each of which sends a request, waits for its
// response, pauses for a think time, and sends the next. Records how each request ended.
//
// A client whose loop was stalled, according to the stalls in the record, waits so much longer. Owned by a
// test environment; runs on the thread of its event loop.
#ifndef WALNUTSPUR_LAB_SOAK_LOAD_CLIENT_H_
#define WALNUTSPUR_LAB_SOAK_LOAD_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "http/message_reader.h"
#include "lab/fakes/platform_request.h"
#include "lab/random.h"
#include "lab/soak/record.h"
#include "loop/address.h"
#include "loop/loop.h"
#include "loop/stream.h"

namespace walnutspur::lab::soak {

// How the clients of a process behave.
struct LoadOptions {
  int connections = 4;
  Time think_time = 50'000;     // mean, us
  Time deadline = 1'200'000;    // us, as stated to the process
  double write_fraction = 0.2;  // of class "write", which must not be repeated
  double disconnect_fraction =
      0;                          // of requests whose client disconnects at a random time before the deadline
  double reconnect_fraction = 0;  // of responses after which the client closes its connection
  int shards = 4;
  std::size_t body_bytes = 4;   // of a write
  bool starts_at_once = false;  // all connections are opened together instead of after a think time
};

class LoadClient {
 public:
  // Sends requests to `server`. `record` must outlive the client. `process` is part of all request ids.
  LoadClient(event_base* base, int process, const loop::Address& server, const LoadOptions& options,
             std::uint64_t seed, Record* record);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  // Sends no new requests. Open requests may still get a response.
  void Stop() { is_stopped_ = true; }

 private:
  struct Connection {
    void OnReadable() { owner->OnReadable(*this); }
    void OnEvent(loop::EventMask events) { owner->OnEvent(*this, events); }

    LoadClient* owner = nullptr;
    int number = 0;
    loop::StreamPtr stream;
    Time opened_at = 0;  // us
    bool is_connected = false;
    bool was_used = false;   // carried a request before
    bool is_retry = false;   // the open request was sent while the idle connection was being closed
    std::string request_id;  // of the open request; empty: no open request
    std::string request_text;
    http::MessageReader response{http::MessageReader::Kind::kResponse};
    loop::EventHandle next_request;
    loop::EventHandle deadline;
    loop::EventHandle disconnect_timer;
  };

  void Connect(Connection& connection);
  void SendNext(Connection& connection);
  void WriteRequest(Connection& connection);
  void OnReadable(Connection& connection);
  void OnEvent(Connection& connection, loop::EventMask events);
  void OnConnectionClosed(Connection& connection);
  void OnDeadline(Connection& connection);
  void Finish(Connection& connection, ClientResult result);
  void ThinkThenSend(Connection& connection);
  PlatformRequest NextRequest(bool is_write);

  event_base* base_;
  int process_;
  loop::Address server_;
  LoadOptions options_;
  Random random_;
  Record* record_;
  std::uint64_t next_request_ = 1;
  bool is_stopped_ = false;
  std::map<int, Connection> connections_;  // by number
};

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_LOAD_CLIENT_H_

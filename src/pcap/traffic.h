// Transfers traffic between capture files and the front ends: Player replays the streams of a file to the
// front ends, and Recorder writes the traffic of the front ends to a file. Both run on the thread of the
// event loop.
#ifndef WALNUTSPUR_PCAP_TRAFFIC_H_
#define WALNUTSPUR_PCAP_TRAFFIC_H_

#include <event2/bufferevent.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "loop/address.h"
#include "loop/loop.h"
#include "loop/stream.h"
#include "pcap/capture.h"

struct evbuffer;

namespace walnutspur::pcap {

// Class Recorder records the bytes that are received and sent on the streams it is attached to. It must
// outlive these streams.
class Recorder {
 public:
  // Opens the file; throws CaptureError on failure. Writes at most `max_bytes` of data.
  Recorder(const std::string& path, std::size_t max_bytes) : writer_(path, max_bytes) {}

  // Starts to record a stream of a front end.
  void Attach(bufferevent* stream);

 private:
  struct Tap {
    Recorder* owner = nullptr;
    bufferevent* stream = nullptr;
    Writer::Id id = 0;  // 0 until bytes are received or sent
  };
  void Record(Tap& tap, bool to_server, evbuffer* buffer, std::size_t added);

  Writer writer_;
  // Key: stream. libevent does not report when a stream is freed, so an entry is replaced when another stream
  // is attached at the same address.
  std::unordered_map<bufferevent*, std::unique_ptr<Tap>> taps_;
};

// Class Player replays the client side of the streams of a file to the front ends and stores the responses.
// It uses TCP connections, so that the front ends parse the bytes in the same way as those of clients.
class Player {
 public:
  // The result of one stream.
  struct Result {
    std::string sent;
    std::string received;
    bool has_gap = false;  // the stream in the file ends at a gap
  };
  // Returns the address to which a stream is replayed; with port 0 the stream is skipped.
  using AddressOf = std::function<loop::Address(const Stream&)>;

  // The replay of a stream ends when no bytes have been received for `idle_timeout` us. `on_done` is called
  // on the event loop's thread when all replays have ended.
  Player(event_base* base, const std::vector<Stream>& streams, const AddressOf& address_of, Time idle_timeout,
         std::function<void()> on_done);

  // Returns one result per stream, in the order of the streams.
  const std::vector<Result>& results() const { return results_; }

 private:
  // The connection that replays one stream.
  struct Replay {
    Player* owner = nullptr;
    std::size_t number = 0;  // index into the results
    loop::Address address;
    bool ended = false;
    loop::EventHandle idle_timer;
    loop::StreamPtr stream;

    // Callbacks of the stream; see loop::SetCallbacks.
    void OnReadable();
    void OnEvent(loop::EventMask what);
  };
  void Start(Replay& replay);
  void End(Replay& replay);
  void StartNext();

  event_base* base_;
  Time idle_timeout_;
  std::vector<Result> results_;
  std::vector<std::unique_ptr<Replay>> replays_;  // replays that have not ended, in the order of the file
  std::size_t open_ = 0;  // number of open connections, which are the first of `replays_`
  std::size_t next_ = 0;  // index of the first replay that has not started
  loop::EventHandle start_timer_;
  std::function<void()> on_done_;
};

// Returns whether `bytes`, the first bytes of a client, are those of the NBD protocol.
bool LooksLikeNbd(const std::string& bytes);

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_TRAFFIC_H_

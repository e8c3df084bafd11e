// Traffic between the front ends and capture files: a Player replays a file's streams to the front ends, a
// Recorder writes the front ends' traffic to a file. Both belong to the thread of the event loop.
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

// Records the bytes received and sent on the streams that it is attached to. It must outlive them.
class Recorder {
 public:
  // Throws CaptureError. At most `max_bytes` of data are written.
  Recorder(const std::string& path, std::size_t max_bytes) : writer_(path, max_bytes) {}

  // Records a stream of a front end from here on.
  void Attach(bufferevent* stream);

 private:
  struct Tap {
    Recorder* owner = nullptr;
    bufferevent* stream = nullptr;
    Writer::Id id = 0;  // 0: nothing has been received or sent yet
  };
  void Record(Tap& tap, bool to_server, evbuffer* buffer, std::size_t added);

  Writer writer_;
  // By stream. libevent does not report that a stream is freed: another one at its address replaces it.
  std::unordered_map<bufferevent*, std::unique_ptr<Tap>> taps_;
};

// Replays the clients' side of a file's streams to the front ends, over connections of its own, so that the
// front ends' parsers read the bytes as from clients. Stores the responses.
class Player {
 public:
  // One stream's result.
  struct Result {
    std::string sent;
    std::string received;
    bool has_gap = false;  // the stream ends at a gap in the file
  };
  // Where to replay a stream to; port 0: it is left out.
  using AddressOf = std::function<loop::Address(const Stream&)>;

  // A stream counts as answered once it receives nothing for `idle_timeout` us. `on_done` is called on the
  // loop once all streams are.
  Player(event_base* base, const std::vector<Stream>& streams, const AddressOf& address_of, Time idle_timeout,
         std::function<void()> on_done);

  // One for each stream, in their order.
  const std::vector<Result>& results() const { return results_; }

 private:
  // One stream's connection.
  struct Replay {
    Player* owner = nullptr;
    std::size_t number = 0;  // index into the results
    loop::Address address;
    bool ended = false;
    loop::EventHandle idle_timer;
    loop::StreamPtr stream;

    // The stream's callbacks, see loop::SetCallbacks.
    void OnReadable();
    void OnEvent(loop::EventMask what);
  };
  void Start(Replay& replay);
  void End(Replay& replay);
  void StartNext();

  event_base* base_;
  Time idle_timeout_;
  std::vector<Result> results_;
  std::vector<std::unique_ptr<Replay>> replays_;  // those that have not ended, in the order of the file
  std::size_t open_ = 0;                          // open connections: the first `open_` replays
  std::size_t next_ = 0;                          // the first replay that has not started
  loop::EventHandle start_timer_;
  std::function<void()> on_done_;
};

// Whether a client's first bytes are those of NBD.
bool LooksLikeNbd(const std::string& bytes);

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_TRAFFIC_H_

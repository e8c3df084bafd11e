// Traffic between fronts and pcap files: streams of a file are played to the fronts, and what the fronts
// serve is written to a file.
#ifndef WALNUTSPUR_PCAP_TRAFFIC_H_
#define WALNUTSPUR_PCAP_TRAFFIC_H_

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "loop/address.h"
#include "loop/loop.h"
#include "pcap/capture.h"

struct evbuffer;

namespace walnutspur::pcap {

// Records what passes on the streams that it is attached to.
class Recorder {
 public:
  Recorder(const std::string& path, std::size_t most) : writer_(path, most) {}

  void Attach(bufferevent* stream);

 private:
  struct Tap {
    Recorder* owner = nullptr;
    bufferevent* stream = nullptr;
    Writer::Id id = 0;  // 0: nothing has passed yet
  };
  void Pass(Tap& tap, bool to_server, evbuffer* buffer, std::size_t added);

  Writer writer_;
  // By stream. libevent tells nothing when it frees one: a new one in its place ends the old.
  std::unordered_map<bufferevent*, std::unique_ptr<Tap>> taps_;
};

// Plays the clients' side of a file's streams to the fronts, over connections of its own: the fronts' parsers
// see the bytes as they would from clients. What comes back is kept.
class Player {
 public:
  struct Result {
    std::string sent, received;
    bool gap = false;  // the stream ends at a gap in the file
  };
  // Where a stream is played to; port 0: nowhere.
  using AddressOf = std::function<loop::Address(const Stream&)>;
  // `quiet` is how long a stream may bring nothing before it is taken to be answered. `done` is called on the
  // loop once all are played.
  Player(event_base* base, const std::vector<Stream>& streams, const AddressOf& address_of, Time quiet,
         std::function<void()> done);

  const std::vector<Result>& results() const { return results_; }

 private:
  struct Play {
    Player* owner = nullptr;
    std::size_t number = 0;
    loop::Address address;
    bool ended = false;
    std::function<void()> end;
    loop::EventHandle quiet;
    std::unique_ptr<bufferevent, loop::Deleter<bufferevent_free>> stream;
  };
  void Start(Play& play);
  void Next();

  event_base* base_;
  Time quiet_;
  std::vector<Result> results_;
  std::vector<std::unique_ptr<Play>> plays_;
  std::size_t open_ = 0, next_ = 0;
  loop::EventHandle step_;
  std::function<void()> done_;
};

// Whether a client's first bytes are NBD's.
bool LooksLikeNbd(const std::string& bytes);

}  // namespace walnutspur::pcap

#endif  // WALNUTSPUR_PCAP_TRAFFIC_H_

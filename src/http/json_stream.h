// Finds where each JSON object of a stream ends, in whatever pieces and with whatever white space it comes.
//
// A list may come indented, several may share a line, and one may come in any number of chunks, so neither a
// line feed nor a chunk ends it: the parser (yajl, which takes its input in pieces) tells where the braces
// close. It owns the bytes of the object that is not whole yet, and no socket. Lists come from the platform's
// discovery (PROTOCOL, "Discovery").
#ifndef WALNUTSPUR_HTTP_JSON_STREAM_H_
#define WALNUTSPUR_HTTP_JSON_STREAM_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct yajl_handle_t;

namespace walnutspur::http {

class JsonStream {
 public:
  // Takes one whole object; whether to read on.
  using OnObject = std::function<bool(const std::string& object)>;

  // Objects longer than `most` bytes are none.
  JsonStream(std::size_t most, OnObject on_object) : most_(most), on_object_(std::move(on_object)) {}

  // Takes the next piece. Returns what is wrong, in a few words, or an empty text; after an error, or once
  // `on_object` has asked to stop, the stream is of no further use until it is reset.
  std::string Feed(std::string_view bytes);
  void Reset();
  std::size_t held() const { return object_.size(); }  // bytes of the object that is not whole yet

 private:
  struct Free {
    void operator()(yajl_handle_t* handle) const;
  };

  std::size_t most_;
  OnObject on_object_;
  int depth_ = 0;
  std::string object_;
  std::unique_ptr<yajl_handle_t, Free> parser_;  // null between objects
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_JSON_STREAM_H_

// Splits a stream of bytes into JSON objects, whatever pieces and white space it comes in.
//
// An object may be indented, several may share a line, and one may come in any number of chunks, so neither a
// line feed nor a chunk ends it: the incremental parser (yajl) finds where its braces close. The stream owns
// the bytes of the incomplete object, and no socket. Owned by the discovery client; runs on its thread.
#ifndef WALNUTSPUR_HTTP_JSON_STREAM_H_
#define WALNUTSPUR_HTTP_JSON_STREAM_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

struct yajl_handle_t;

namespace walnutspur::http {

class JsonStream {
 public:
  // Takes one complete object; returns whether to read on.
  using OnObject = std::function<bool(const std::string& object)>;

  // Objects longer than `max_object_bytes` are errors.
  JsonStream(std::size_t max_object_bytes, OnObject on_object)
      : max_object_bytes_(max_object_bytes), on_object_(std::move(on_object)) {}

  // Takes the next piece. Returns what is wrong, in a few words, or an empty text. After an error, or once
  // `on_object` has returned false, the stream must be reset before it is used again.
  std::string Feed(std::string_view bytes);
  void Reset();
  // Bytes of the incomplete object.
  std::size_t held() const { return object_.size(); }

 private:
  struct ParserDeleter {
    void operator()(yajl_handle_t* handle) const;
  };

  std::size_t max_object_bytes_;
  OnObject on_object_;
  int depth_ = 0;  // of open braces and brackets; the parser's callbacks count it
  std::string object_;
  std::unique_ptr<yajl_handle_t, ParserDeleter> parser_;  // null between objects
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_JSON_STREAM_H_

// Splits a byte stream into JSON objects, regardless of chunk boundaries and white space.
//
// An object may be indented, several objects may share a line, and one object may span any number of chunks,
// so neither a line feed nor the end of a chunk ends an object: the incremental parser (yajl) finds the
// closing brace. The stream holds the bytes of the incomplete object; it uses no socket. Owned by the
// discovery client; runs on its thread.
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

// Bytes of an object's maximum size for each value that it may have.
constexpr std::size_t kBytesPerValue = 32;

class JsonStream {
 public:
  // Receives one complete object; returns whether to continue reading.
  using OnObject = std::function<bool(const std::string& object)>;

  // Objects larger than `max_object_bytes`, and those with more values than one for each kBytesPerValue of
  // it, are errors: a parsed value takes more memory than its text.
  JsonStream(std::size_t max_object_bytes, OnObject on_object)
      : max_object_bytes_(max_object_bytes), on_object_(std::move(on_object)) {}

  // Parses the next bytes. Returns an error message, or an empty string on success. After an error, or after
  // `on_object` has returned false, the stream must be reset before it is used again.
  std::string Feed(std::string_view bytes);
  void Reset();
  // Returns the number of bytes received of the incomplete object.
  std::size_t incomplete_bytes() const { return object_.size(); }

  // What the parser's callbacks count.
  struct Counts {
    int depth = 0;           // open braces and brackets
    std::size_t values = 0;  // of the incomplete object
  };

 private:
  struct ParserDeleter {
    void operator()(yajl_handle_t* handle) const;
  };

  std::size_t max_object_bytes_;
  OnObject on_object_;
  Counts counts_;
  std::string object_;
  std::unique_ptr<yajl_handle_t, ParserDeleter> parser_;  // null between objects
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_JSON_STREAM_H_

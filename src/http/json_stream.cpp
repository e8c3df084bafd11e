#include "http/json_stream.h"

#include <yajl/yajl_parse.h>

#include <algorithm>
#include <utility>

namespace walnutspur::http {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

// Callbacks of the parser. Each returns 0 to stop the parser: at the brace that closes the object, or at a
// top-level value that is not an object.
JsonStream::Counts& CountsOf(void* counts) { return *static_cast<JsonStream::Counts*>(counts); }
int OpenObject(void* counts) {
  ++CountsOf(counts).depth;
  ++CountsOf(counts).values;
  return 1;
}
int Close(void* counts) { return --CountsOf(counts).depth > 0 ? 1 : 0; }
int CheckInsideObject(void* counts) {
  ++CountsOf(counts).values;
  return CountsOf(counts).depth > 0 ? 1 : 0;
}
int OpenArray(void* counts) { return CountsOf(counts).depth > 0 ? OpenObject(counts) : 0; }
int OnBoolean(void* counts, int) { return CheckInsideObject(counts); }
int OnNumber(void* counts, const char*, std::size_t) { return CheckInsideObject(counts); }
int OnString(void* counts, const unsigned char*, std::size_t) { return CheckInsideObject(counts); }

constexpr yajl_callbacks kCallbacks = {
    .yajl_null = CheckInsideObject,
    .yajl_boolean = OnBoolean,
    .yajl_integer = nullptr,  // numbers are passed as text to yajl_number
    .yajl_double = nullptr,
    .yajl_number = OnNumber,
    .yajl_string = OnString,
    .yajl_start_map = OpenObject,
    .yajl_map_key = nullptr,
    .yajl_end_map = Close,
    .yajl_start_array = OpenArray,
    .yajl_end_array = Close,
};

}  // namespace

void JsonStream::ParserDeleter::operator()(yajl_handle_t* handle) const { yajl_free(handle); }

void JsonStream::Reset() {
  parser_.reset();
  object_.clear();
}

std::string JsonStream::Feed(std::string_view bytes) {
  while (true) {
    if (!parser_) {
      bytes.remove_prefix(std::min(bytes.find_first_not_of(kWhitespace), bytes.size()));
      if (bytes.empty()) {
        return "";
      }
      counts_ = {};
      parser_.reset(yajl_alloc(&kCallbacks, nullptr, &counts_));
    }
    if (bytes.empty()) {
      return "";
    }
    const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
    const yajl_status status = yajl_parse(parser_.get(), data, bytes.size());
    if (status == yajl_status_error) {
      return "invalid JSON";
    }
    const std::size_t used = status == yajl_status_ok ? bytes.size() : yajl_get_bytes_consumed(parser_.get());
    object_.append(bytes.substr(0, used));
    bytes.remove_prefix(used);
    if (object_.size() > max_object_bytes_) {
      return "JSON object exceeds the maximum of " + std::to_string(max_object_bytes_) + " bytes";
    }
    if (counts_.values > max_object_bytes_ / kBytesPerValue) {
      return "JSON object has more than " + std::to_string(max_object_bytes_ / kBytesPerValue) + " values";
    }
    if (status == yajl_status_ok) {
      return "";
    }
    if (counts_.depth > 0 || object_.front() != '{') {
      return "JSON value is not an object";
    }
    const std::string object = std::exchange(object_, {});
    Reset();
    if (!on_object_(object)) {
      return "";
    }
  }
}

}  // namespace walnutspur::http

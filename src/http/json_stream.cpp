#include "http/json_stream.h"

#include <yajl/yajl_parse.h>

#include <utility>

namespace walnutspur::http {
namespace {

constexpr std::string_view kSpace = " \t\r\n";

// Each returns 0 to stop the parser, at the brace that closes the object or at a value that is no object.
int Open(void* depth) {
  ++*static_cast<int*>(depth);
  return 1;
}
int Shut(void* depth) { return --*static_cast<int*>(depth) > 0; }
int OpenList(void* depth) { return *static_cast<int*>(depth) > 0 ? Open(depth) : 0; }
int Inside(void* depth) { return *static_cast<int*>(depth) > 0; }

constexpr yajl_callbacks kCallbacks = {
    Inside,
    [](void* depth, int) { return Inside(depth); },
    nullptr,
    nullptr,
    [](void* depth, const char*, std::size_t) { return Inside(depth); },
    [](void* depth, const unsigned char*, std::size_t) { return Inside(depth); },
    Open,
    nullptr,
    Shut,
    OpenList,
    Shut,
};

}  // namespace

void JsonStream::Free::operator()(yajl_handle_t* handle) const { yajl_free(handle); }

void JsonStream::Reset() {
  parser_.reset();
  object_.clear();
}

std::string JsonStream::Feed(std::string_view bytes) {
  while (true) {
    if (!parser_) {
      bytes.remove_prefix(std::min(bytes.find_first_not_of(kSpace), bytes.size()));
      if (bytes.empty()) return "";
      depth_ = 0;
      parser_.reset(yajl_alloc(&kCallbacks, nullptr, &depth_));
    }
    if (bytes.empty()) return "";
    const yajl_status status =
        yajl_parse(parser_.get(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
    const std::size_t used = status == yajl_status_ok ? bytes.size() : yajl_get_bytes_consumed(parser_.get());
    if (status == yajl_status_error) return "what came is no JSON";
    object_.append(bytes.substr(0, used));
    bytes.remove_prefix(used);
    if (object_.size() > most_)
      return "an object of over " + std::to_string(most_) + " bytes; that many are allowed";
    if (status == yajl_status_ok) return "";
    if (depth_ > 0 || object_.front() != '{') return "what came is JSON, but no object";
    const std::string whole = std::exchange(object_, {});
    Reset();
    if (!on_object_(whole)) return "";
  }
}

}  // namespace walnutspur::http

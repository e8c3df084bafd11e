#include "http/request_headers.h"

#include <algorithm>
#include <cstring>
#include <string_view>

#include "http/number.h"

namespace walnutspur::http {
namespace {

// Maximum timeout in X-Deadline. A request with a longer timeout is rejected.
constexpr double kMaxTimeoutSeconds = 3600;

// Number of hexadecimal digits of a request id.
constexpr std::size_t kIdDigits = 16;

// Values of the X-IO header.
struct IoHeader {
  std::optional<double> units;
  std::optional<int> shard;
  std::optional<int> hosts;
};

bool IsHexId(std::string_view text) {
  return text.size() == kIdDigits && std::all_of(text.begin(), text.end(), [](char digit) {
           return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f') ||
                  (digit >= 'A' && digit <= 'F');
         });
}

// Parses "name=value". Unknown names are ignored, so that later versions can add some.
bool ReadIoItem(std::string_view item, IoHeader* header) {
  const std::size_t equals = item.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  const std::string_view name = item.substr(0, equals);
  const std::string_view value = item.substr(equals + 1);
  if (name == "units") {
    header->units = ParseNumber<double>(value);
    return header->units.has_value();
  }
  if (name == "shard") {
    header->shard = ParseNumber<int>(value);
    return header->shard.has_value();
  }
  if (name == "hosts") {
    header->hosts = ParseNumber<int>(value);
    return header->hosts.has_value();
  }
  return true;
}

// Parses "units=2,shard=5,hosts=3", in any order. Returns nullopt if it is malformed or incomplete.
std::optional<IoHeader> ReadIoHeader(std::string_view text) {
  IoHeader header;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    std::string_view item = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
    if (!ReadIoItem(item, &header)) {
      return std::nullopt;
    }
  }
  if (!header.units || !header.shard || !header.hosts) {
    return std::nullopt;
  }
  return header;
}

// Reads the volume and the key of the object from the last two segments of the path.
RequestError ReadPath(const std::string& uri, walnutspur::RequestArrived* attributes) {
  const std::string_view path_and_query = uri;
  const std::string_view path = path_and_query.substr(0, path_and_query.find('?'));
  const std::size_t last = path.rfind('/');
  const bool has_two_parts = last != 0 && last != std::string_view::npos;
  const std::size_t before = has_two_parts ? path.rfind('/', last - 1) : std::string_view::npos;
  if (before == std::string_view::npos) {
    return "the path names no volume and piece of data";
  }
  attributes->volume = path.substr(before + 1, last - before - 1);
  attributes->key = path.substr(last + 1);
  if (!IsHexId(attributes->volume) || !IsHexId(attributes->key)) {
    return "the path's last parts are not 16 hex digits";
  }
  return std::nullopt;
}

RequestError ReadClassAndPlan(const Names& names, const HeaderLookup& header,
                              walnutspur::RequestArrived* attributes) {
  const char* request_class = header("X-Class");
  attributes->request_class = request_class ? IndexOf(names.classes, request_class) : -1;
  if (attributes->request_class < 0) {
    return "X-Class is not a class of the settings";
  }
  const char* plan = header("X-Plan");
  attributes->plan = plan ? IndexOf(names.plans, plan) : -1;
  if (attributes->plan < 0) {
    return "X-Plan is not a plan of the settings";
  }
  return std::nullopt;
}

RequestError ReadTimeout(const HeaderLookup& header, Time* client_timeout) {
  const auto seconds = ParsePositive(header("X-Deadline"));
  if (!seconds || *seconds > kMaxTimeoutSeconds) {
    return "X-Deadline is not a time in seconds";
  }
  *client_timeout = static_cast<Time>(*seconds * kMicrosecondsPerSecond);
  return std::nullopt;
}

RequestError ReadIo(const Config& config, const HeaderLookup& header,
                    walnutspur::RequestArrived* attributes) {
  const char* text = header("X-IO");
  const auto io_header = text ? ReadIoHeader(text) : std::nullopt;
  if (!io_header) {
    return "X-IO does not tell units, shard and hosts";
  }
  if (!(*io_header->units > 0) || *io_header->units > config.settings.max_request_units) {
    return "X-IO: units out of range";
  }
  if (*io_header->shard < -1 || (config.shards > 0 && *io_header->shard >= config.shards)) {
    return "X-IO: no such shard";
  }
  if (*io_header->hosts < 1) {
    return "X-IO: hosts out of range";
  }
  attributes->units = *io_header->units;
  attributes->shard = *io_header->shard;
  attributes->initiator_count = *io_header->hosts;
  return std::nullopt;
}

// Checks that the method matches the body and the class.
RequestError CheckMethod(const Config& config, const Request& request, int request_class) {
  if (!request.is_put && !request.body.empty()) {
    return "a GET has no body";
  }
  const std::optional<bool> is_write =
      config.writes.empty() ? std::nullopt : config.writes[static_cast<std::size_t>(request_class)];
  if (is_write && *is_write != request.is_put) {
    return request.is_put ? "this class reads: it is a GET" : "this class writes: it is a PUT";
  }
  return std::nullopt;
}

}  // namespace

RequestError ReadRequest(const Config& config, const Request& request, const HeaderLookup& header,
                         walnutspur::RequestArrived* attributes, Time* client_timeout) {
  if (!IsHexId(request.id)) {
    return "X-Request-Id is not 16 hex digits";
  }
  if (auto error = ReadPath(request.uri, attributes)) {
    return error;
  }
  if (auto error = ReadClassAndPlan(config.names, header, attributes)) {
    return error;
  }
  if (auto error = ReadTimeout(header, client_timeout)) {
    return error;
  }
  if (auto error = ReadIo(config, header, attributes)) {
    return error;
  }
  if (auto error = CheckMethod(config, request, attributes->request_class)) {
    return error;
  }
  const char* retry = header("X-Retry");
  attributes->is_client_retry = retry != nullptr && std::strcmp(retry, "1") == 0;
  return std::nullopt;
}

}  // namespace walnutspur::http

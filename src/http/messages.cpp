#include "http/messages.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <string_view>

namespace walnutspur::http {
namespace {

using nlohmann::json;

constexpr double kMostElsewhere = 1e6;  // units; no box serves more between two answers
constexpr double kLongest = 3600;       // s; a client that says it waits longer is not believed

bool IsHex16(std::string_view text) {
  return text.size() == 16 && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

template <typename T>
std::optional<T> Number(std::string_view text) {
  T value{};
  const auto [at, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || at != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<double> Positive(const char* text) {
  const auto value = text ? Number<double>(text) : std::nullopt;
  return value && std::isfinite(*value) && *value > 0 ? value : std::nullopt;
}

// "units=2,shard=5,hosts=3", in any order; other names are left for later versions.
bool ReadIo(std::string_view text, std::optional<double>* units, std::optional<int>* shard,
            std::optional<int>* hosts) {
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    std::string_view item = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) return false;
    const std::string_view name = item.substr(0, equals), value = item.substr(equals + 1);
    if (name == "units" && !(*units = Number<double>(value))) return false;
    if (name == "shard" && !(*shard = Number<int>(value))) return false;
    if (name == "hosts" && !(*hosts = Number<int>(value))) return false;
  }
  return *units && *shard && *hosts;
}

}  // namespace

std::optional<std::string> ReadRequest(const Config& config, const Request& request, const Header& header,
                                       core::RequestReceived* arrived, Time* patience) {
  walnutspur::RequestArrived& what = arrived->attributes;
  if (!IsHex16(request.id)) return "X-Request-Id is not 16 hex digits";
  const std::string_view path = std::string_view(request.uri).substr(0, request.uri.find('?'));
  const std::size_t last = path.rfind('/');
  const std::size_t before = last == 0 || last == path.npos ? path.npos : path.rfind('/', last - 1);
  if (before == path.npos) return "the path names no volume and piece of data";
  what.volume = path.substr(before + 1, last - before - 1);
  what.key = path.substr(last + 1);
  if (!IsHex16(what.volume) || !IsHex16(what.key)) return "the path's last parts are not 16 hex digits";
  const char* cls = header("X-Class");
  what.request_class = cls ? IndexOf(config.names.classes, cls) : -1;
  if (what.request_class < 0) return "X-Class is not a class of the settings";
  const char* plan = header("X-Plan");
  what.plan = plan ? IndexOf(config.names.plans, plan) : -1;
  if (what.plan < 0) return "X-Plan is not a plan of the settings";
  const auto deadline = Positive(header("X-Deadline"));
  if (!deadline || *deadline > kLongest) return "X-Deadline is not a time in seconds";
  *patience = static_cast<Time>(*deadline * 1e6);
  const char* io = header("X-IO");
  std::optional<double> units;
  std::optional<int> shard, hosts;
  if (!io || !ReadIo(io, &units, &shard, &hosts)) return "X-IO does not tell units, shard and hosts";
  if (!(*units > 0) || *units > config.settings.max_request_units) return "X-IO: units out of range";
  if (*shard < -1 || (config.shards > 0 && *shard >= config.shards)) return "X-IO: no such shard";
  if (*hosts < 1) return "X-IO: hosts out of range";
  if (!request.is_put && !request.body.empty()) return "a GET has no body";
  if (!config.writes.empty() && config.writes[static_cast<std::size_t>(what.request_class)] != request.is_put)
    return request.is_put ? "this class reads: it is a GET" : "this class writes: it is a PUT";
  what.units = *units;
  what.shard = *shard;
  what.initiator_count = *hosts;
  const char* retry = header("X-Retry");
  what.is_client_retry = retry && std::strcmp(retry, "1") == 0;
  return std::nullopt;
}

DigestCheck CheckDigests(const MessageReader& reader, std::string_view content, bool describes) {
  DigestCheck check;
  for (const char* name : {"Content-Digest", "Repr-Digest"}) {
    const std::string field = reader.Joined(name);
    if (field.empty()) continue;
    check.headers += std::string(name) + ": " + field + "\r\n";
    if (std::strcmp(name, "Repr-Digest") == 0 && (!describes || reader.Count("Content-Range") > 0)) continue;
    const integrity::Match match = integrity::Verify(field, content);
    if (match == integrity::Match::kDifferent || check.match == integrity::Match::kNone) check.match = match;
    if (match == integrity::Match::kDifferent) break;
  }
  return check;
}

// A 503 or 504 proves that the request never ran only where it says so; any other answer may come after the
// work was done.
Outcome OutcomeOf(int code, const Header& header) {
  if (code == 200) return Outcome::kCompleted;
  const char* not_run = header("X-Not-Run");
  if ((code == 503 || code == 504) && not_run && std::strcmp(not_run, "1") == 0) return Outcome::kOverloaded;
  return Outcome::kErrored;
}

void ReadLoadHeaders(const std::vector<std::string>& fields, const Header& header,
                     core::AttemptResult* ended) {
  if (const char* use = header("X-Volume-Use")) {
    const auto percent = Number<double>(use);
    if (percent && *percent >= 0 && *percent < 1e9) ended->reported_usage = static_cast<int>(*percent) + 1;
  }
  if (const char* others = header("X-Served-Elsewhere")) {
    const double units = Positive(others).value_or(0);
    ended->units_served_elsewhere = units < kMostElsewhere ? units : 0;
  }
  const char* load = header("X-Load");
  if (!load) return;
  const json report = json::parse(load, nullptr, /*allow_exceptions=*/false);
  if (!report.is_object()) return;
  for (const std::string& field : fields) {
    const auto value = report.find(field);
    if (value != report.end() && !value->is_number()) {  // a report that cannot be read tells nothing
      ended->load_report.clear();
      return;
    }
    ended->load_report.push_back(value != report.end() ? value->get<double>() : 0.0);
  }
}

EndpointList ReadEndpointList(const Config& config, const json& j) {
  EndpointList list;
  list.revision = j.at("revision").get<long>();
  list.complete = j.at("complete").get<bool>();
  for (const json& member : j.at("members")) {
    walnutspur::Endpoint e;
    e.target = member.at("id").get<std::string>();
    const auto phase = member.at("phase").get<std::string>();
    // An unknown phase is none in which new work is wanted.
    e.state = phase == "SERVING"   ? walnutspur::EndpointState::kActive
              : phase == "DELETED" ? walnutspur::EndpointState::kTerminated
                                   : walnutspur::EndpointState::kDraining;
    e.shard = member.value("cell", 0);
    e.zone = std::max(0, IndexOf(config.names.zones, member.value("locality", "")));
    e.kind = std::max(0, IndexOf(config.names.kinds, member.value("flavor", "")));
    e.scale = member.value("size", 1.0);
    e.started_at = member.value("up_since_ms", Time{0}) * 1000;
    list.addresses.push_back(member.value("host_port", ""));
    list.endpoints.push_back(std::move(e));
  }
  return list;
}

std::string Seconds(Time time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f", static_cast<double>(time) / 1e6);
  return text;
}

}  // namespace walnutspur::http

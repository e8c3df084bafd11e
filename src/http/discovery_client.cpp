#include "http/discovery_client.h"

#include <event2/buffer.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "core/scheduler_thread.h"
#include "http/response_text.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::http {
namespace {

// Time without input after which a watch ends. A healthy watch receives at least an empty line every 2 s, and
// discovery responds to a call or fails it within 2 s. The sum of this timeout, the initial backoff before
// the next watch (limits/poll_backoff.h, at most 1 s) and the longest call (2 s) is below the 6 s after which
// a drain that a silent watch has missed counts as notified. If further calls fail, the endpoint lease
// (decision/endpoint_lease.h) ends the use of the list.
constexpr Time kSilenceTimeout = 2'500'000;  // us

// Maximum size of a list, and the memory of the process for each byte of it: a list of the largest fleet
// (3,200 targets) fits into a process with the least memory.
constexpr std::size_t kMaxListBytes = 4 << 20;
constexpr std::size_t kMemoryPerListByte = 16;

// Maximum number of targets, listed and left out together, that lists of changes may add up to.
constexpr std::size_t kMaxTargets = 8'192;

constexpr Time kMicrosecondsPerMillisecond = 1000;

// Returns whether errno after the end of a connection is a connection error, in which case bytes may be
// missing. After a FIN, errno is 0 or left from another call, such as EAGAIN from a read without input.
bool IsConnectionError(int error) {
  return error != 0 && error != EAGAIN && error != EINPROGRESS && error != EINTR;
}

std::string Milliseconds(Time duration) { return std::to_string(duration / kMicrosecondsPerMillisecond); }

}  // namespace

DiscoveryClient::DiscoveryClient(event_base* base, const Config& config, OnList on_list)
    : base_(base),
      config_(config),
      on_list_(std::move(on_list)),
      lists_(std::min(kMaxListBytes, config.memory_bytes() / kMemoryPerListByte),
             [this](const std::string& object) { return OnObject(object); }),
      silence_timeout_(loop::MakeTimer(base, [this] { OnWatchEnded(WatchEndReason::kSilent); })),
      free_closed_(loop::MakeTimer(base, [this] { closed_.reset(); })) {}

void DiscoveryClient::OpenWatch() {
  Close();
  connection_.reset(evhttp_connection_base_bufferevent_new(
      base_, nullptr, nullptr, config_.discovery.host.c_str(), config_.discovery.port));
  if (!connection_) {
    return;
  }
  evhttp_connection_set_retries(connection_.get(), 0);
  is_open_ = true;
  opened_at_ = core::Now();
  last_received_at_ = opened_at_;
  silence_timeout_.Start(kSilenceTimeout);
  SendWatchRequest();
}

void DiscoveryClient::SendWatchRequest() {
  evhttp_request* request =
      evhttp_request_new([](evhttp_request* response,
                            void* arg) { static_cast<DiscoveryClient*>(arg)->OnRequestDone(response); },
                         this);
  evhttp_request_set_chunked_cb(request, [](evhttp_request* response, void* arg) {
    static_cast<DiscoveryClient*>(arg)->OnChunk(response);
  });
  const std::string host = loop::ToString(config_.discovery);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", host.c_str());
  std::string uri = "/api/targets?follow=1";
  if (revision_ > 0) {
    uri += "&since=" + std::to_string(revision_);
  }
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, uri.c_str()) != 0) {
    OnWatchEnded(WatchEndReason::kNotConnected);
  }
}

void DiscoveryClient::SwitchServer() {
  revision_ = 0;
  on_list_({walnutspur::EndpointUpdateKind::kServiceChanged, {}}, {});
  OpenWatch();
}

void DiscoveryClient::SetCachedList(const EndpointList& list) {
  UpdateListed(list);
  revision_ = list.revision;
  has_list_ = true;
}

void DiscoveryClient::Close() {
  is_open_ = false;
  silence_timeout_.Stop();
  lists_.Reset();
  has_response_ = false;
  has_partial_list_ = false;
  if (!connection_) {
    return;
  }
  closed_ = std::move(connection_);
  free_closed_.Start(0);
}

// libevent passes a null request if the connection broke, and a request with status 0 if the connection was
// never established.
void DiscoveryClient::OnRequestDone(evhttp_request* response) {
  if (response == nullptr) {
    OnWatchEnded(IsConnectionError(errno) ? WatchEndReason::kReset : WatchEndReason::kClosed);
    return;
  }
  const int status = evhttp_request_get_response_code(response);
  if (status == 0) {
    OnWatchEnded(WatchEndReason::kNotConnected);
    return;
  }
  OnWatchEnded(status == kStatusOk ? WatchEndReason::kFinished : WatchEndReason::kRejected);
}

// Reports a failure event for every end of a watch; the scheduler opens the next watch after its backoff.
void DiscoveryClient::OnWatchEnded(WatchEndReason reason) {
  if (!is_open_) {
    return;
  }
  LogWatchEnd(reason);
  Close();
  walnutspur::EndpointUpdate failure{walnutspur::EndpointUpdateKind::kFailed, {}};
  // If the service ended the watch, the list was current until then: TCP delivers all bytes sent before a
  // FIN, and accepts a reset only at that position of the stream.
  const bool ended_by_service = reason == WatchEndReason::kClosed || reason == WatchEndReason::kReset ||
                                reason == WatchEndReason::kFinished;
  failure.received_at = ended_by_service ? core::Now() : last_received_at_;
  if (reason == WatchEndReason::kNotConnected) {
    failure.failure = walnutspur::DiscoveryFailure::kUnreachable;
  } else if (reason == WatchEndReason::kReset) {
    failure.failure = walnutspur::DiscoveryFailure::kConnectionLost;
  }
  on_list_(std::move(failure), {});
}

void DiscoveryClient::LogWatchEnd(WatchEndReason reason) const {
  const auto name = [reason] {
    switch (reason) {
      case WatchEndReason::kNotConnected:
        return "not_connected";
      case WatchEndReason::kClosed:
        return "closed";
      case WatchEndReason::kReset:
        return "reset";
      case WatchEndReason::kRejected:
        return "rejected";
      case WatchEndReason::kFinished:
        return "finished";
      case WatchEndReason::kSilent:
        return "silent";
      case WatchEndReason::kUnreadable:
        return "unreadable";
      case WatchEndReason::kOlderRevision:
        return "older_revision";
    }
    return "unknown";
  };
  const Time now = core::Now();
  log::Event(log::Level::kWarn, log::kDiscoveryWatchEnded,
             {{"reason", name()},
              {"open_ms", Milliseconds(now - opened_at_)},
              {"silent_ms", Milliseconds(now - last_received_at_)},
              {"response_received", has_response_ ? "yes" : "no"},
              {"incomplete_bytes", std::to_string(lists_.incomplete_bytes())},
              {"revision", std::to_string(revision_)}});
}

void DiscoveryClient::OnChunk(evhttp_request* response) {
  if (!is_open_ || evhttp_request_get_response_code(response) != kStatusOk) {
    return;
  }
  evbuffer* buffer = evhttp_request_get_input_buffer(response);
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  last_received_at_ = core::Now();
  silence_timeout_.Start(kSilenceTimeout);
  const std::string error = lists_.Feed(bytes);
  if (!is_open_) {
    return;
  }
  if (!error.empty()) {
    log::Event(log::Level::kWarn, log::kEndpointListRejected, {{"error", error}});
    OnWatchEnded(WatchEndReason::kUnreadable);
    return;
  }
  ReportProgress();
}

// Reports input that has not completed a list. Part of a list counts as notified from its first byte; an
// empty line confirms that the current list is unchanged, and is reported only if there is a current list.
void DiscoveryClient::ReportProgress() {
  if (lists_.incomplete_bytes() > 0) {
    if (!std::exchange(has_partial_list_, true)) {
      on_list_({walnutspur::EndpointUpdateKind::kUpdateStarted, {}, last_received_at_}, {});
    }
    return;
  }
  has_partial_list_ = false;
  has_response_ = true;
  if (has_list_) {
    on_list_({walnutspur::EndpointUpdateKind::kDelta, {}}, {});
  }
}

bool DiscoveryClient::UpdateListed(const EndpointList& list) {
  if (list.complete) {
    listed_.clear();
  }
  for (const walnutspur::Endpoint& endpoint : list.endpoints) {
    if (endpoint.state == EndpointState::kTerminated) {
      listed_.erase(endpoint.target);
    } else {
      listed_.insert(endpoint.target);
    }
  }
  if (listed_.size() <= kMaxTargets) {
    return true;
  }
  log::Event(
      log::Level::kWarn, log::kTableLimitReached,
      {{"table", "endpoints"}, {"entries", std::to_string(listed_.size())}, {"outcome", "list_rejected"}});
  return false;
}

// Handles one complete JSON object; returns whether to continue reading.
bool DiscoveryClient::OnObject(const std::string& object) {
  try {
    const EndpointList list = ReadEndpointList(config_, nlohmann::json::parse(object));
    if (!list.complete && list.revision < revision_) {  // discovery has restarted: request the full list
      revision_ = 0;
      OnWatchEnded(WatchEndReason::kOlderRevision);
      return false;
    }
    if (!UpdateListed(list)) {
      revision_ = 0;  // request the full list, which may have fewer targets
      listed_.clear();
      OnWatchEnded(WatchEndReason::kUnreadable);
      return false;
    }
    has_list_ = true;
    has_response_ = true;
    has_partial_list_ = false;
    revision_ = list.revision;
    log::Event(log::Level::kInfo, log::kEndpointListReceived,
               {{"revision", std::to_string(revision_)},
                {"complete", list.complete ? "yes" : "no"},
                {"endpoints", std::to_string(list.endpoints.size())},
                {"open_ms", Milliseconds(core::Now() - opened_at_)}});
    const auto kind =
        list.complete ? walnutspur::EndpointUpdateKind::kFull : walnutspur::EndpointUpdateKind::kDelta;
    on_list_({kind, list.endpoints}, list);
  } catch (const std::exception& error) {
    log::Event(log::Level::kWarn, log::kEndpointListRejected, {{"error", error.what()}});
    OnWatchEnded(WatchEndReason::kUnreadable);
  }
  return is_open_;
}

}  // namespace walnutspur::http

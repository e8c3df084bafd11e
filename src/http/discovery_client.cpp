#include "http/discovery_client.h"

#include <event2/buffer.h>

#include <cerrno>
#include <utility>

#include "core/scheduler_thread.h"
#include "http/response_text.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::http {
namespace {

// A healthy watch brings at least an empty line every 2 s, and discovery answers or gives up a call within
// 2 s. With the first backoff of the next watch (limits/poll_backoff.h, 1 s at most) and the longest call (2
// s) this stays under the 6 s after which a drain that a silent watch misses counts as notified. Where
// further calls fail, the endpoint lease (decision/endpoint_lease.h) ends the use of the list.
constexpr Time kSilenceTimeout = 2'500'000;  // us

// A longer list is rejected, so that the service cannot exhaust the process's memory.
constexpr std::size_t kMaxListBytes = 4 << 20;

constexpr Time kMicrosecondsPerMillisecond = 1000;

// Whether the last error of a socket says that its connection is broken, so that bytes may be missing. After
// an end in order it is left from another call: none at all, or that there was nothing to read.
bool IsBroken(int error) { return error != 0 && error != EAGAIN && error != EINPROGRESS && error != EINTR; }

std::string Milliseconds(Time duration) { return std::to_string(duration / kMicrosecondsPerMillisecond); }

}  // namespace

DiscoveryClient::DiscoveryClient(event_base* base, const Config& config, OnList on_list)
    : base_(base),
      config_(config),
      on_list_(std::move(on_list)),
      lists_(kMaxListBytes, [this](const std::string& object) { return OnObject(object); }),
      silence_timeout_(loop::MakeTimer(base, [this] { OnWatchEnded(WatchEnd::kSilent); })),
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
    OnWatchEnded(WatchEnd::kNotConnected);
  }
}

void DiscoveryClient::SwitchServer() {
  revision_ = 0;
  on_list_({walnutspur::EndpointUpdateKind::kServiceChanged, {}}, {});
  OpenWatch();
}

void DiscoveryClient::SetCachedList(const EndpointList& list) {
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

// libevent passes no request once a connection broke, and one without a status if it never came up.
void DiscoveryClient::OnRequestDone(evhttp_request* response) {
  if (response == nullptr) {
    OnWatchEnded(IsBroken(errno) ? WatchEnd::kReset : WatchEnd::kClosedInOrder);
    return;
  }
  const int status = evhttp_request_get_response_code(response);
  if (status == 0) {
    OnWatchEnded(WatchEnd::kNotConnected);
    return;
  }
  OnWatchEnded(status == kStatusOk ? WatchEnd::kFinished : WatchEnd::kRejected);
}

// However a watch ends, the scheduler gets a failure event and opens the next one after its own backoff.
void DiscoveryClient::OnWatchEnded(WatchEnd end) {
  if (!is_open_) {
    return;
  }
  LogWatchEnd(end);
  Close();
  walnutspur::EndpointUpdate failure{walnutspur::EndpointUpdateKind::kFailed, {}};
  // A watch that the service ended was current until then: TCP delivers all that was sent before the end, and
  // accepts a reset only at that position of the stream.
  const bool ended_by_service =
      end == WatchEnd::kClosedInOrder || end == WatchEnd::kReset || end == WatchEnd::kFinished;
  failure.received_at = ended_by_service ? core::Now() : last_received_at_;
  if (end == WatchEnd::kNotConnected) {
    failure.failure = walnutspur::DiscoveryFailure::kUnreachable;
  } else if (end == WatchEnd::kReset) {
    failure.failure = walnutspur::DiscoveryFailure::kConnectionLost;
  }
  on_list_(std::move(failure), {});
}

void DiscoveryClient::LogWatchEnd(WatchEnd end) const {
  const auto name = [end] {
    switch (end) {
      case WatchEnd::kNotConnected:
        return "not_connected";
      case WatchEnd::kClosedInOrder:
        return "closed";
      case WatchEnd::kReset:
        return "reset";
      case WatchEnd::kRejected:
        return "rejected";
      case WatchEnd::kFinished:
        return "finished";
      case WatchEnd::kSilent:
        return "silent";
      case WatchEnd::kUnreadable:
        return "unreadable";
      case WatchEnd::kOlderRevision:
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
              {"incomplete_bytes", std::to_string(lists_.held())},
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
    OnWatchEnded(WatchEnd::kUnreadable);
    return;
  }
  ReportProgress();
}

// What arrived without completing a list: a part of one, which counts as announced from its first byte, or an
// empty line, which says that nothing has changed. Before the first list there is nothing to be current.
void DiscoveryClient::ReportProgress() {
  if (lists_.held() > 0) {
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

// Returns whether to read on.
bool DiscoveryClient::OnObject(const std::string& object) {
  try {
    const EndpointList list = ReadEndpointList(config_, nlohmann::json::parse(object));
    if (!list.complete && list.revision < revision_) {  // discovery has restarted: the full list is needed
      revision_ = 0;
      OnWatchEnded(WatchEnd::kOlderRevision);
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
    OnWatchEnded(WatchEnd::kUnreadable);
  }
  return is_open_;
}

}  // namespace walnutspur::http

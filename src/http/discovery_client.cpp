#include "http/discovery_client.h"

#include <event2/buffer.h>

#include <utility>

#include "core/scheduler_thread.h"
#include "log/log.h"

namespace walnutspur::http {
namespace {

// A live watch brings at least an empty line every 2 s. With the longest pause before a broken watch is asked
// for again (limits/backoff.h, 1 s) and the longest call (2 s) this stays under the 6 s after which what a
// silent watch misses counts as told.
constexpr Time kSilence = 2'500'000;  // us

constexpr std::size_t kMostObject = 4 << 20;  // bytes: a list that grows beyond this is none

}  // namespace

DiscoveryClient::DiscoveryClient(event_base* base, const Config& config, OnList on_list)
    : base_(base),
      config_(config),
      on_list_(std::move(on_list)),
      lists_(kMostObject, [this](const std::string& object) { return OnObject(object); }),
      silence_(loop::MakeTimer(base, [this] { OnSilence(); })),
      sweep_(loop::MakeTimer(base, [this] { old_.reset(); })) {}

void DiscoveryClient::OpenWatch() {
  Close();
  link_.reset(evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, config_.discovery.host.c_str(),
                                                     config_.discovery.port));
  if (!link_) return;
  evhttp_connection_set_retries(link_.get(), 0);
  open_ = true;
  heard_ = core::Now();
  silence_.Start(kSilence);  // discovery answers or gives up a call within 2 s
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request*, void* arg) { static_cast<DiscoveryClient*>(arg)->OnEnd(); }, this);
  evhttp_request_set_chunked_cb(request, [](evhttp_request* answer, void* arg) {
    static_cast<DiscoveryClient*>(arg)->OnChunk(answer);
  });
  const std::string host = config_.discovery.host + ":" + std::to_string(config_.discovery.port);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", host.c_str());
  std::string uri = "/api/targets?follow=1";
  if (revision_ > 0) uri += "&since=" + std::to_string(revision_);
  if (evhttp_make_request(link_.get(), request, EVHTTP_REQ_GET, uri.c_str()) != 0) OnEnd();
}

void DiscoveryClient::SwitchServer() {
  revision_ = 0;
  OpenWatch();
}

// The link is freed outside of its own callbacks.
void DiscoveryClient::Close() {
  open_ = false;
  silence_.Stop();
  lists_.Reset();
  answered_ = false;
  if (!link_) return;
  old_ = std::move(link_);
  sweep_.Start(0);
}

// However a watch ends, the module hears of a failure and asks again, after a wait of its own choice.
void DiscoveryClient::OnEnd() {
  if (!open_) return;
  Close();
  on_list_({walnutspur::EndpointUpdateKind::kFailed, {}}, {});
}

void DiscoveryClient::OnChunk(evhttp_request* answer) {
  if (!open_ || evhttp_request_get_response_code(answer) != 200) return;
  evbuffer* buffer = evhttp_request_get_input_buffer(answer);
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  heard_ = core::Now();
  silence_.Start(kSilence);
  // The call got through even where nothing has changed: the module must not take it for one that waited in
  // vain. Without any list there is nothing yet that it could be told.
  if (!std::exchange(answered_, true) && held_) on_list_({walnutspur::EndpointUpdateKind::kDelta, {}}, {});
  const std::string wrong = lists_.Feed(bytes);
  if (wrong.empty() || !open_) return;
  log::Event(log::Level::kWarn, "discovery_list_unreadable", {{"what", wrong}});
  OnEnd();
}

// Whether to read on.
bool DiscoveryClient::OnObject(const std::string& object) {
  try {
    const EndpointList list = ReadEndpointList(config_, nlohmann::json::parse(object));
    if (!list.complete && list.revision < revision_) {  // discovery has forgotten: the whole list again
      revision_ = 0;
      OnEnd();
      return false;
    }
    held_ = true;
    revision_ = list.revision;
    on_list_({list.complete ? walnutspur::EndpointUpdateKind::kFull : walnutspur::EndpointUpdateKind::kDelta,
              list.endpoints},
             list);
  } catch (const std::exception& error) {
    log::Event(log::Level::kWarn, "discovery_list_unreadable", {{"what", error.what()}});
    OnEnd();
  }
  return open_;
}

// The watch is broken, though its connection stands: what it misses counts as told soon (limits/backoff.h).
void DiscoveryClient::OnSilence() {
  if (open_)
    log::Event(
        log::Level::kWarn, "discovery_silent",
        {{"for_ms", std::to_string((core::Now() - heard_) / 1000)}, {"answered", answered_ ? "yes" : "no"}});
  OnEnd();
}

}  // namespace walnutspur::http

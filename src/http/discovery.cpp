#include "http/discovery.h"

#include <event2/buffer.h>

#include <cstdio>

#include "log/log.h"

namespace walnutspur::http {
namespace {

// A live watch brings at least an empty line every 2 s; discovery answers or gives up a call within 2 s.
constexpr Time kSilence = 3'500'000;        // us
constexpr std::size_t kMostLine = 4 << 20;  // a line that grows beyond this is none

}  // namespace

Discovery::Discovery(event_base* base, const Config& config, OnList on_list)
    : base_(base),
      config_(config),
      on_list_(std::move(on_list)),
      silence_(loop::MakeTimer(base, [this] { OnEnd(); })),
      sweep_(loop::MakeTimer(base, [this] { old_.reset(); })) {}

void Discovery::Watch() {
  Close();
  link_.reset(evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, config_.discovery.host.c_str(),
                                                     config_.discovery.port));
  if (!link_) return;
  evhttp_connection_set_retries(link_.get(), 0);
  open_ = true;
  silence_.Start(kSilence);
  evhttp_request* request =
      evhttp_request_new([](evhttp_request*, void* arg) { static_cast<Discovery*>(arg)->OnEnd(); }, this);
  evhttp_request_set_chunked_cb(
      request, [](evhttp_request* answer, void* arg) { static_cast<Discovery*>(arg)->OnChunk(answer); });
  const std::string host = config_.discovery.host + ":" + std::to_string(config_.discovery.port);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", host.c_str());
  std::string uri = "/api/targets?follow=1";
  if (revision_ > 0) uri += "&since=" + std::to_string(revision_);
  if (evhttp_make_request(link_.get(), request, EVHTTP_REQ_GET, uri.c_str()) != 0) OnEnd();
}

void Discovery::Move() {
  revision_ = 0;
  Watch();
}

// The link is freed outside of its own callbacks.
void Discovery::Close() {
  open_ = false;
  silence_.Stop();
  partial_.clear();
  if (!link_) return;
  old_ = std::move(link_);
  sweep_.Start(0);
}

// However a watch ends, the module hears of a failure and asks again, after a wait of its own choice.
void Discovery::OnEnd() {
  if (!open_) return;
  Close();
  on_list_({walnutspur::Mode::kFailed, {}}, {});
}

void Discovery::OnChunk(evhttp_request* answer) {
  if (!open_ || evhttp_request_get_response_code(answer) != 200) return;
  evbuffer* buffer = evhttp_request_get_input_buffer(answer);
  const std::size_t size = evbuffer_get_length(buffer);
  const std::size_t before = partial_.size();
  partial_.resize(before + size);
  evbuffer_remove(buffer, partial_.data() + before, size);
  silence_.Start(kSilence);
  std::size_t start = 0;
  for (std::size_t end; open_ && (end = partial_.find('\n', start)) != std::string::npos; start = end + 1)
    OnLine(partial_.substr(start, end - start));
  if (!open_) return;
  partial_.erase(0, start);
  if (partial_.size() > kMostLine) OnEnd();
}

void Discovery::OnLine(const std::string& line) {
  if (line.find_first_not_of(" \t\r") == std::string::npos) return;  // all is as it was
  try {
    const TargetList list = ReadList(config_, nlohmann::json::parse(line));
    if (!list.complete && list.revision < revision_) {  // discovery has forgotten: the whole list again
      revision_ = 0;
      return OnEnd();
    }
    revision_ = list.revision;
    on_list_({list.complete ? walnutspur::Mode::kFull : walnutspur::Mode::kDelta, list.entries}, list);
  } catch (const std::exception& error) {
    log::Event(log::Level::kWarn, "discovery_line_unreadable", {{"what", error.what()}});
    OnEnd();
  }
}

}  // namespace walnutspur::http

#include "scenario_client.h"

#include <doctest/doctest.h>

#include "core/scheduler_thread.h"
#include "lab/fakes/platform_request.h"
#include "scenario_limits.h"

namespace walnutspur::test {
namespace {

std::uint16_t NbdCommand(const std::string& request_class) {
  if (request_class == "write") {
    return nbd::kWrite;
  }
  return request_class == "flush" ? nbd::kFlush : nbd::kRead;
}

std::string ContentOf(const nbd::Reply& reply) {
  std::string content;
  for (const nbd::Piece& piece : reply.pieces) {
    content += piece.hole_bytes > 0 ? std::string(piece.hole_bytes, '0') : piece.data;
  }
  return content;
}

}  // namespace

std::string NameOf(ClientEvent event) {
  switch (event) {
    case ClientEvent::kServed:
      return "served";
    case ClientEvent::kRejected:
      return "refused";
    case ClientEvent::kFailed:
      return "failed";
    case ClientEvent::kClosed:
      return "closed";
    case ClientEvent::kNothing:
      return "nothing";
  }
  return "";
}

void ScenarioClient::SendBytes(const std::string& bytes) {
  sent_at_ = core::Now();
  REQUIRE(socket_.Send(bytes));
}

void ScenarioClient::SendRequest(const ClientRequest& request) {
  sent_at_ = core::Now();
  request_class_ = request.request_class;
  WriteRequest(request);
}

ClientEvent ScenarioClient::Receive(int ms, HttpMessage* response) {
  if (!ReadHttpMessage(socket_, response, ms)) {
    return NoResponse();
  }
  const std::string status = response->Status();
  if (status == "200") {
    return ClientEvent::kServed;
  }
  return status == "503" || status == "429" ? ClientEvent::kRejected : ClientEvent::kFailed;
}

void HttpScenarioClient::WriteRequest(const ClientRequest& request) {
  lab::PlatformRequest message;
  message.is_put = request.request_class == "write";
  message.path = kObjectPath;
  message.id = request.id;
  message.request_class = request.request_class;
  message.deadline = request.deadline;
  message.shard = request.target == "b" ? 1 : 0;
  message.body = request.body;
  REQUIRE(socket_.Send(lab::FormatPlatformRequest(message)));
}

void NbdScenarioClient::Negotiate(const std::string& export_name) {
  if (!session_) {
    session_ = std::make_unique<nbd::ClientSession>(export_name);
  }
  std::string out;
  while (!session_->ready() && socket_.Fill(kScenarioTimeoutMs)) {
    session_->Feed(std::exchange(socket_.received, ""), &out, &replies_);
    socket_.Send(std::exchange(out, ""));
  }
  REQUIRE(session_->ready());
}

void NbdScenarioClient::WriteRequest(const ClientRequest& client_request) {
  Negotiate(client_request.target);
  nbd::Request request;
  request.type = NbdCommand(client_request.request_class);
  request.cookie = next_cookie_++;
  request.length = request.type == nbd::kFlush ? 0 : kNbdRequestBytes;
  if (request.type == nbd::kWrite) {
    request.data.assign(kNbdRequestBytes, 'w');
  }
  std::string out;
  session_->Send(request, &out);
  REQUIRE(socket_.Send(out));
}

ClientEvent NbdScenarioClient::Receive(int ms, HttpMessage* response) {
  if (!session_) {
    return ScenarioClient::Receive(ms, response);
  }
  std::string out;
  while (replies_.empty()) {
    if (!socket_.Fill(ms)) {
      return NoResponse();
    }
    session_->Feed(std::exchange(socket_.received, ""), &out, &replies_);
    REQUIRE_FALSE(session_->ended());
  }
  const nbd::Reply reply = replies_.front();
  replies_.erase(replies_.begin());
  response->body = ContentOf(reply);
  if (reply.error == nbd::kNoMemory || reply.error == nbd::kShutdown) {
    return ClientEvent::kRejected;
  }
  return reply.error == nbd::kOk ? ClientEvent::kServed : ClientEvent::kFailed;
}

std::unique_ptr<ScenarioClient> MakeScenarioClient(core::Protocol protocol) {
  if (protocol == core::Protocol::kNbd) {
    return std::make_unique<NbdScenarioClient>();
  }
  return std::make_unique<HttpScenarioClient>();
}

}  // namespace walnutspur::test

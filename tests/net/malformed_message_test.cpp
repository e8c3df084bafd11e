// Tests target responses that are malformed or followed by surplus bytes.
#include <doctest/doctest.h>

#include "http/message_reader.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;
using http::MessageReader;

TEST_CASE("TargetPool: after a malformed response a write fails without a retry, and a read is retried") {
  const char* kMalformed[] = {
      R"(\x00\x01\xff noise\r\n\r\n)",
      R"(HTTP/1.1 two hundred\r\n\r\n)",
      R"(HTTP/1.1 200 OK\r\nContent-Length: 3\r\nno colon\r\n\r\nabc)",
      R"(HTTP/1.1 200 OK\r\nContent-Length: 3\nX: y\r\n\r\nabc)",
      R"(HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc)",
      R"(HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n)",
      R"(HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc)",
      R"(HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc)",
      R"(HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc)",
      R"(HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\nabc)",
      R"(HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nabc)",
      R"(HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff0\r\nabc)",
      R"(HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n)",
  };
  for (const std::string response : kMalformed) {
    CAPTURE(response);
    ScenarioRunner runner(Protocol::kHttp);
    runner.Play("client c send write\n target a expect write\n target a send bytes \"" + response + "\"\n" +
                R"(
      client c expect failed
      target a expect nothing 60
      client c send read
      target a expect read
      target a send bytes ")" +
                response + "\"\n" + R"(
      target a expect read
      target a send ok
      client c expect served
      client c expect text stored)");
  }
}

TEST_CASE("TargetPool: a write with oversized response headers or a truncated body fails without a retry") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play("client c send write\n target a expect write\n target a send bytes \"HTTP/1.1 200 OK\\r\\n" +
              std::string(17'000, 'x') + "\"\n client c expect failed\n target a expect nothing 60");
  runner.Play(R"(
    client c send write
    target a expect write
    target a send bytes "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
    target a close
    client c expect failed
    target a expect nothing 60)");
}

TEST_CASE(
    "TargetPool: a response without a length is complete when the connection ends with a FIN, and incomplete "
    "when it is reset, however many bytes arrived") {
  const std::string response = "HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n\\r\\nwhole";
  const auto play_write = [](const std::string& bytes) {
    return "client c send write\n target a expect write\n target a send bytes \"" + bytes + "\"\n";
  };
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(play_write(response) + R"(
    client c expect nothing 50
    target a close
    client c expect served
    client c expect text whole)");
  for (std::size_t size = 1; size <= response.size(); ++size) {
    if (response[size - 1] == '\\') {
      continue;  // in the middle of an escape sequence
    }
    CAPTURE(size);
    runner.Play(play_write(response.substr(0, size)) + R"(
      target a close reset
      client c expect failed
      target a expect nothing 5)");
  }
  runner.Play("client d send read\n target a expect read\n target a send bytes \"" + response + R"("
    target a close reset
    target a expect read
    target a send ok
    client d expect served
    client d expect text stored
    client d expect nothing 20)");
  runner.Play(play_write("HTTP/1.1 200 OK\\r\\n") + R"(
    target a close
    client c expect failed
    target a expect nothing 5)");  // closed with a FIN, but within the headers
}

// Returns the step that starts a response with a body of `size` bytes. The caller appends the body.
std::string LargeResponse(std::size_t size) {
  return "target a send bytes \"HTTP/1.1 200 OK\\r\\nContent-Length: " + std::to_string(size) +
         "\\r\\n\\r\\n";
}

TEST_CASE(
    "TargetPool: with digests, a response over 64 KiB is served unchanged; one over 1 MiB or the memory "
    "limit "
    "fails") {
  auto config = BasicConfig();
  config["limits"]["memory_mb"] = 8;
  for (auto& request_class :
       config["settings"]["classes"]) {  // long limits, so that a slow machine causes no time-out
    request_class["aim"] = 8'000'000;
    request_class["deadline"] = 16'000'000;
  }
  ScenarioRunner runner(Protocol::kHttp, config, {}, {.on = true, .compute = std::nullopt});
  const std::string body(400'000, 'x');
  runner.Play("client c send read\n target a expect read\n" + LargeResponse(body.size()) + body +
              "\"\nclient c expect served");
  CHECK(runner.last_response().body == body);
  runner.Play("client c send write\n target a expect write\n" + LargeResponse(1'100'000) +
              "x\"\nclient c expect failed");
  runner.Play("client c send write\n target a expect write\n" + LargeResponse(800'000) +
              "x\"\nclient c expect nothing 50");
  runner.Play("client d send write\n target a expect write\n" + LargeResponse(800'000) +
              "x\"\nclient d expect failed");
}

TEST_CASE("TargetPool: surplus bytes are not taken for the next response") {
  const char* surplus = "";
  const char* later_steps = "";
  SUBCASE("a duplicate arrives with the response") {
    surplus = R"(HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse)";
  }
  SUBCASE("invalid bytes arrive with the response") { surplus = "noise"; }
  SUBCASE("a duplicate arrives later, while the connection is idle") {
    later_steps =
        "\n client c expect served\n target a send bytes \"HTTP/1.1 200 OK\\r\\nContent-Length: "
        "5\\r\\n\\r\\nfalse\"";
  }
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(
      std::string(
          "client c send write\n target a expect write\n target a send bytes \"HTTP/1.1 200 OK\\r\\n") +
      "Content-Length: 4\\r\\n\\r\\nmine" + surplus + "\"" + later_steps);
  if (!*later_steps) {
    runner.Play("client c expect served");
  }
  runner.Play(R"(
    client c expect text mine
    client c send read
    target a expect read
    target a send ok
    client c expect served
    client c expect text stored)");
  CHECK(runner.target_connections("a") == 2);
}

TEST_CASE("TargetPool: responses after 1xx responses, in chunks, or with malformed load reports are served") {
  const char* kValid[] = {
      R"(HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood)",
      R"(HTTP/1.1 102 Processing\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood)",
      R"(HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\ngoo\r\n1\r\nd\r\n0\r\nTrailer: x\r\n\r\n)",
      R"(HTTP/1.1 200 OK\r\nX-Load: {{{[[\r\nX-Volume-Use: 1e999\r\nX-Served-Elsewhere: nan\r\nContent-Length: 4\r\n\r\ngood)",
      R"(HTTP/1.1 200 OK\r\nX-Load: [1]\r\nX-Volume-Use: -5\r\nX-Served-Elsewhere: 1e300\r\nContent-Length: 4\r\n\r\ngood)",
  };
  ScenarioRunner runner(Protocol::kHttp);
  for (const std::string response : kValid) {
    CAPTURE(response);
    runner.Play("client c send read\n target a expect read\n target a send bytes \"" + response + "\"\n" +
                "client c expect served\n client c expect text good");
  }
  CHECK(runner.target_connections("a") == 1);
}

// Guards against a head that holds many times its size in memory.
TEST_CASE(
    "MessageReader: a head of many short fields holds little more than its size, up to a maximum number") {
  constexpr std::size_t kMaxFields = 256;
  std::string head = "GET /a/b HTTP/1.1\r\n";
  http::MessageReader reader(http::MessageReader::Kind::kRequest);
  reader.Feed(head);
  for (std::size_t field = 0; field < kMaxFields; ++field) {
    reader.Feed("a:b\r\n");
  }
  CHECK_FALSE(reader.malformed());
  CHECK(reader.Count("A") == kMaxFields);
  CHECK(std::string(reader.Find("a")) == "b");
  CHECK(reader.held_bytes() < 8'192);
  reader.Feed("a:b\r\n");
  CHECK(reader.malformed());
  CHECK(reader.status() == 431);
}

TEST_CASE("MessageReader: a message in pieces of any size is parsed the same, within the limits") {
  const std::string text =
      "PUT /x HTTP/1.1\r\nHost: s\r\nConnection: x, Close\r\nTransfer-Encoding: "
      "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  for (std::size_t step = 1; step < text.size(); ++step) {
    MessageReader reader(MessageReader::Kind::kRequest);
    for (std::size_t at = 0; at < text.size(); at += step) {
      const std::string part = text.substr(at, step);
      REQUIRE(reader.Feed(part) == part.size());
    }
    REQUIRE(reader.complete());
    CHECK(reader.body() == "hello");
    CHECK_FALSE(reader.keeps_alive());
  }
  MessageReader next(MessageReader::Kind::kResponse);
  CHECK(next.Feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc") ==
        39);  // the remaining bytes belong to the next message
  MessageReader open(MessageReader::Kind::kResponse, 4);
  open.Feed("HTTP/1.1 200 OK\r\n\r\nabcd");
  CHECK_FALSE(open.complete());
  CHECK_FALSE(open.keeps_alive());
  MessageReader ended = open;
  ended.End();
  CHECK(ended.complete());
  CHECK(ended.body() == "abcd");
  open.Feed("e");
  CHECK(open.malformed());
  MessageReader huge(MessageReader::Kind::kResponse);
  huge.Feed("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
  CHECK(huge.malformed());
  CHECK(huge.Feed("abc") == 0);
  CHECK(huge.body().empty());
}

}  // namespace
}  // namespace walnutspur::test

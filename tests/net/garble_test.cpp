// Boxes whose answers cannot be read, or bring more than is theirs.
#include <doctest/doctest.h>

#include "http/message_reader.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;
using http::MessageReader;

TEST_CASE("a spoilt answer may have run: a write fails and is never sent again, a read goes again") {
  const char* kSpoilt[] = {
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
  for (const std::string answer : kSpoilt) {
    CAPTURE(answer);
    ScenarioRunner stage(Protocol::kHttp);
    stage.Play("client c send write\n box a expect write\n box a send bytes \"" + answer + "\"\n" + R"(
      client c expect failed
      box a expect nothing 60
      client c send read
      box a expect read
      box a send bytes ")" +
               answer + "\"\n" + R"(
      box a expect read
      box a send ok
      client c expect served
      client c expect text stored)");
  }
}

TEST_CASE("a head that never ends and a body cut short are no answers") {
  ScenarioRunner stage(Protocol::kHttp);
  stage.Play("client c send write\n box a expect write\n box a send bytes \"HTTP/1.1 200 OK\\r\\n" +
             std::string(17'000, 'x') + "\"\n client c expect failed\n box a expect nothing 60");
  stage.Play(R"(
    client c send write
    box a expect write
    box a send bytes "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
    box a close
    client c expect failed
    box a expect nothing 60)");
}

TEST_CASE("an answer without a length ends with its connection; a reset, at whatever byte, is no end") {
  const std::string answer = "HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n\\r\\nwhole";
  const auto write = [](const std::string& bytes) {
    return "client c send write\n box a expect write\n box a send bytes \"" + bytes + "\"\n";
  };
  ScenarioRunner stage(Protocol::kHttp);
  stage.Play(write(answer) + R"(
    client c expect nothing 50
    box a close
    client c expect served
    client c expect text whole)");
  for (std::size_t size = 1; size <= answer.size(); ++size) {
    if (answer[size - 1] == '\\') continue;  // in the middle of an escape
    CAPTURE(size);
    stage.Play(write(answer.substr(0, size)) + R"(
      box a close reset
      client c expect failed
      box a expect nothing 5)");
  }
  stage.Play("client d send read\n box a expect read\n box a send bytes \"" + answer + R"("
    box a close reset
    box a expect read
    box a send ok
    client d expect served
    client d expect text stored
    client d expect nothing 20)");
  stage.Play(write("HTTP/1.1 200 OK\\r\\n") + R"(
    box a close
    client c expect failed
    box a expect nothing 5)");  // ended in order, but inside its head
}

std::string Large(std::size_t size) {
  return "box a send bytes \"HTTP/1.1 200 OK\\r\\nContent-Length: " + std::to_string(size) + "\\r\\n\\r\\n";
}

TEST_CASE("an answer beyond 64 KiB is served unchanged; one beyond 1 MiB, or beyond the memory, is not") {
  auto config = BasicConfig();
  config["limits"]["memory_mb"] = 8;
  for (auto& cls : config["settings"]["classes"]) {  // a machine that is slow to send so much is no slow box
    cls["aim"] = 8'000'000;
    cls["deadline"] = 16'000'000;
  }
  ScenarioRunner stage(Protocol::kHttp, config);
  const std::string body(400'000, 'x');
  stage.Play("client c send read\n box a expect read\n" + Large(body.size()) + body +
             "\"\nclient c expect served");
  CHECK(stage.last().body == body);
  stage.Play("client c send write\n box a expect write\n" + Large(1'100'000) + "x\"\nclient c expect failed");
  stage.Play("client c send write\n box a expect write\n" + Large(800'000) +
             "x\"\nclient c expect nothing 50");
  stage.Play("client d send write\n box a expect write\n" + Large(800'000) + "x\"\nclient d expect failed");
}

TEST_CASE("what comes behind an answer is never the next one") {
  const char* more = "";
  const char* wait = "";
  SUBCASE("a second copy with it") { more = R"(HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse)"; }
  SUBCASE("noise with it") { more = "noise"; }
  SUBCASE("a second copy later, while the connection is idle") {
    wait =
        "\n client c expect served\n box a send bytes \"HTTP/1.1 200 OK\\r\\nContent-Length: "
        "5\\r\\n\\r\\nfalse\"";
  }
  ScenarioRunner stage(Protocol::kHttp);
  stage.Play(
      std::string("client c send write\n box a expect write\n box a send bytes \"HTTP/1.1 200 OK\\r\\n") +
      "Content-Length: 4\\r\\n\\r\\nmine" + more + "\"" + wait);
  if (!*wait) stage.Play("client c expect served");
  stage.Play(R"(
    client c expect text mine
    client c send read
    box a expect read
    box a send ok
    client c expect served
    client c expect text stored)");
  CHECK(stage.box_links("a") == 2);
}

TEST_CASE("good answers: 1xx in front, chunks, figures that cannot be read") {
  const char* kGood[] = {
      R"(HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood)",
      R"(HTTP/1.1 102 Processing\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood)",
      R"(HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\ngoo\r\n1\r\nd\r\n0\r\nTrailer: x\r\n\r\n)",
      R"(HTTP/1.1 200 OK\r\nX-Load: {{{[[\r\nX-Volume-Use: 1e999\r\nX-Served-Elsewhere: nan\r\nContent-Length: 4\r\n\r\ngood)",
      R"(HTTP/1.1 200 OK\r\nX-Load: [1]\r\nX-Volume-Use: -5\r\nX-Served-Elsewhere: 1e300\r\nContent-Length: 4\r\n\r\ngood)",
  };
  ScenarioRunner stage(Protocol::kHttp);
  for (const std::string answer : kGood) {
    CAPTURE(answer);
    stage.Play("client c send read\n box a expect read\n box a send bytes \"" + answer + "\"\n" +
               "client c expect served\n client c expect text good");
  }
  CHECK(stage.box_links("a") == 1);
}

TEST_CASE("a message is read the same in whatever pieces it comes, and keeps no more than the limits") {
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
  CHECK(next.Feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc") == 39);  // the rest is not its own
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

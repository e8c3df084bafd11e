// Digests end to end over HTTP: damage on the way in reaches no box, damage on the way out reaches no client.
#include <doctest/doctest.h>

#include "integrity/digest.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

std::string Ask(const std::string& method, const std::string& id, const std::string& headers,
                const std::string& body = "") {
  return method + " /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Request-Id: " + id +
         "\r\nX-Class: " + (method == "PUT" ? "write" : "read") +
         "\r\nX-Plan: basic\r\nX-Deadline: 1.0\r\nX-IO: units=1,shard=0,hosts=1\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Step(const std::string& who, const std::string& bytes) {
  std::string line = who + " send bytes \"";
  for (const char c : bytes) line += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
  return line + "\"";
}

std::string Answer(const std::string& headers, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

const std::string kGood =
    "Content-Digest: " + integrity::DigestField(integrity::Algorithm::kSha256, "letter") + "\r\n";
const std::string kId = "00000000000000a1";

struct Digesting : ScenarioRunner {
  Digesting()
      : ScenarioRunner(core::Protocol::kHttp, BasicConfig(), {}, {true, integrity::Algorithm::kCrc32c}) {}
};

TEST_CASE("a damaged write is turned away and reaches no box; a whole one passes its digest on") {
  Digesting stage;
  stage.Play(Step("client c", Ask("PUT", kId, kGood, "lettes")) +
             "\nclient c expect status 400\nbox a expect nothing 100");
  stage.Play(Step("client c", Ask("PUT", kId, kGood, "letter")) + "\nbox a expect write");
  CHECK(stage.box_message("a").Header("Content-Digest") == kGood.substr(16, kGood.size() - 18));
  stage.Play("box a send ok\nclient c expect served");
}

TEST_CASE("a write without a digest gets one, and a read asks the box for one") {
  Digesting stage;
  stage.Play(Step("client c", Ask("PUT", kId, "", "letter")) + "\nbox a expect write");
  CHECK(stage.box_message("a").Header("Content-Digest") ==
        integrity::DigestField(integrity::Algorithm::kCrc32c, "letter"));
  stage.Play("box a send ok\nclient c expect served\n" + Step("client c", Ask("GET", kId, "")) +
             "\nbox a expect read");
  CHECK(stage.box_message("a").Header("Want-Content-Digest") == "crc32c=1");
}

TEST_CASE("a damaged answer to a read is asked for again, and only the whole one reaches the client") {
  Digesting stage;
  stage.Play(Step("client c", Ask("GET", kId, "")) + "\nbox a expect read\n" +
             Step("box a", Answer(kGood, "lettes")) + "\nbox a expect read\n" +
             Step("box a", Answer(kGood, "letter")) +
             "\nclient c expect served\nclient c expect text letter");
  CHECK(stage.last().Header("Content-Digest") == kGood.substr(16, kGood.size() - 18));
}

TEST_CASE("a damaged answer to a write is never asked for again: the write has run") {
  Digesting stage;
  stage.Play(Step("client c", Ask("PUT", kId, "", "letter")) + "\nbox a expect write\n" +
             Step("box a", Answer(kGood, "lettes")) + "\nclient c expect failed\nbox a expect nothing 150");
}

TEST_CASE("Repr-Digest speaks of a read's answer, not of the answer to a write") {
  Digesting stage;
  const std::string repr = "Repr-Digest" + kGood.substr(14);
  stage.Play(Step("client c", Ask("PUT", kId, "", "x")) + "\nbox a expect write\n" +
             Step("box a", Answer(repr, "stored")) + "\nclient c expect served");
  stage.Play(Step("client c", Ask("GET", kId, "")) + "\nbox a expect read\n" +
             Step("box a", Answer(repr, "stored")) + "\nbox a expect read\n" +
             Step("box a", Answer(repr, "letter")) + "\nclient c expect served");
}

TEST_CASE("a digest that cannot be read is as none, and a wanted one is computed where the box sends none") {
  Digesting stage;
  stage.Play(Step("client c", Ask("PUT", kId, "Content-Digest: sha-256=broken\r\n", "x")) +
             "\nbox a expect write\nbox a send ok\nclient c expect served");
  stage.Play(Step("client c", Ask("GET", kId, "Want-Content-Digest: sha-256=5\r\n")) +
             "\nbox a expect read\n" + Step("box a", Answer("", "letter")) + "\nclient c expect served");
  CHECK(stage.last().Header("Content-Digest") == kGood.substr(16, kGood.size() - 18));
}

TEST_CASE("switched off, digests change nothing") {
  ScenarioRunner stage(core::Protocol::kHttp);
  stage.Play(Step("client c", Ask("PUT", kId, kGood, "lettes")) + "\nbox a expect write");
  CHECK(stage.box_message("a").Header("Content-Digest").empty());
  stage.Play("box a send ok\nclient c expect served");
}

}  // namespace
}  // namespace walnutspur::test

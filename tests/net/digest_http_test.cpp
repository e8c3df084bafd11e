// Digests end to end over HTTP: damaged requests reach no target, damaged responses reach no client.
#include <doctest/doctest.h>

#include "integrity/digest.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

// A request whose other fields are valid.
std::string RequestText(const std::string& method, const std::string& id, const std::string& headers,
                        const std::string& body = "") {
  return method + " " + kObjectPath + " HTTP/1.1\r\nX-Request-Id: " + id +
         "\r\nX-Class: " + (method == "PUT" ? "write" : "read") +
         "\r\nX-Plan: basic\r\nX-Deadline: 1.0\r\nX-IO: units=1,shard=0,hosts=1\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A step that sends the bytes, escaped.
std::string SendStep(const std::string& who, const std::string& bytes) {
  std::string line = who + " send bytes \"";
  for (const char c : bytes) {
    line += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
  }
  return line + "\"";
}

// A response with status 200.
std::string ResponseText(const std::string& headers, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

const std::string kGood =
    "Content-Digest: " + integrity::DigestField(integrity::Algorithm::kSha256, "letter") + "\r\n";
const std::string kId = "00000000000000a1";

// A runner with digests on.
struct DigestRunner : ScenarioRunner {
  DigestRunner()
      : ScenarioRunner(core::Protocol::kHttp, BasicConfig(), {}, {true, integrity::Algorithm::kCrc32c}) {}
};

TEST_CASE("a damaged write is rejected and reaches no target; the digest of an intact one is forwarded") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("PUT", kId, kGood, "lettes")) +
              "\nclient c expect status 400\ntarget a expect nothing 100");
  runner.Play(SendStep("client c", RequestText("PUT", kId, kGood, "letter")) + "\ntarget a expect write");
  CHECK(runner.target_http_request("a").Header("Content-Digest") == kGood.substr(16, kGood.size() - 18));
  runner.Play("target a send ok\nclient c expect served");
}

TEST_CASE("a write without a digest gets one, and a read requests one of the target") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("PUT", kId, "", "letter")) + "\ntarget a expect write");
  CHECK(runner.target_http_request("a").Header("Content-Digest") ==
        integrity::DigestField(integrity::Algorithm::kCrc32c, "letter"));
  runner.Play("target a send ok\nclient c expect served\n" +
              SendStep("client c", RequestText("GET", kId, "")) + "\ntarget a expect read");
  CHECK(runner.target_http_request("a").Header("Want-Content-Digest") == "crc32c=1");
}

TEST_CASE("a read with a damaged response is retried, and only an intact response reaches the client") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("GET", kId, "")) + "\ntarget a expect read\n" +
              SendStep("target a", ResponseText(kGood, "lettes")) + "\ntarget a expect read\n" +
              SendStep("target a", ResponseText(kGood, "letter")) +
              "\nclient c expect served\nclient c expect text letter");
  CHECK(runner.last_response().Header("Content-Digest") == kGood.substr(16, kGood.size() - 18));
}

TEST_CASE("a write with a damaged response is never retried: it has run") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("PUT", kId, "", "letter")) + "\ntarget a expect write\n" +
              SendStep("target a", ResponseText(kGood, "lettes")) +
              "\nclient c expect failed\ntarget a expect nothing 150");
}

TEST_CASE("Repr-Digest applies to the response of a read, not of a write") {
  DigestRunner runner;
  const std::string repr = "Repr-Digest" + kGood.substr(14);
  runner.Play(SendStep("client c", RequestText("PUT", kId, "", "x")) + "\ntarget a expect write\n" +
              SendStep("target a", ResponseText(repr, "stored")) + "\nclient c expect served");
  runner.Play(SendStep("client c", RequestText("GET", kId, "")) + "\ntarget a expect read\n" +
              SendStep("target a", ResponseText(repr, "stored")) + "\ntarget a expect read\n" +
              SendStep("target a", ResponseText(repr, "letter")) + "\nclient c expect served");
}

TEST_CASE("a malformed digest is ignored, and a wanted one is computed where the target sends none") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("PUT", kId, "Content-Digest: sha-256=broken\r\n", "x")) +
              "\ntarget a expect write\ntarget a send ok\nclient c expect served");
  runner.Play(SendStep("client c", RequestText("GET", kId, "Want-Content-Digest: sha-256=5\r\n")) +
              "\ntarget a expect read\n" + SendStep("target a", ResponseText("", "letter")) +
              "\nclient c expect served");
  CHECK(runner.last_response().Header("Content-Digest") == kGood.substr(16, kGood.size() - 18));
}

TEST_CASE("switched off, digests have no effect") {
  ScenarioRunner runner(core::Protocol::kHttp);
  runner.Play(SendStep("client c", RequestText("PUT", kId, kGood, "lettes")) + "\ntarget a expect write");
  CHECK(runner.target_http_request("a").Header("Content-Digest").empty());
  runner.Play("target a send ok\nclient c expect served");
}

}  // namespace
}  // namespace walnutspur::test

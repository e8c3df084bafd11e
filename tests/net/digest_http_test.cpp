// Tests end-to-end digests over HTTP: corrupt requests reach no target, and corrupt responses reach no
// client.
#include <doctest/doctest.h>

#include "integrity/digest.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

// Returns a request with the given header fields; its other fields are valid.
std::string RequestText(const std::string& method, const std::string& id, const std::string& headers,
                        const std::string& body = "") {
  return method + " " + kObjectPath + " HTTP/1.1\r\nX-Request-Id: " + id +
         "\r\nX-Class: " + (method == "PUT" ? "write" : "read") +
         "\r\nX-Plan: basic\r\nX-Deadline: 1.0\r\nX-IO: units=1,shard=0,hosts=1\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns a scenario step in which `actor` sends the bytes, with line breaks escaped.
std::string SendStep(const std::string& actor, const std::string& bytes) {
  std::string line = actor + " send bytes \"";
  for (const char c : bytes) {
    line += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
  }
  return line + "\"";
}

// Returns a response with status 200.
std::string ResponseText(const std::string& headers, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

const std::string kValidDigestField =
    "Content-Digest: " + integrity::DigestField(integrity::Algorithm::kSha256, "letter") + "\r\n";
const std::string kId = "00000000000000a1";

// A scenario runner whose initiator has digests enabled.
struct DigestRunner : ScenarioRunner {
  DigestRunner()
      : ScenarioRunner(core::Protocol::kHttp, BasicConfig(), {}, {true, integrity::Algorithm::kCrc32c}) {}
};

TEST_CASE("HTTP digests: a corrupt write is rejected without an attempt; an intact write keeps its digest") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("PUT", kId, kValidDigestField, "lettes")) +
              "\nclient c expect status 400\ntarget a expect nothing 100");
  runner.Play(SendStep("client c", RequestText("PUT", kId, kValidDigestField, "letter")) +
              "\ntarget a expect write");
  CHECK(runner.target_http_request("a").Header("Content-Digest") ==
        kValidDigestField.substr(16, kValidDigestField.size() - 18));
  runner.Play("target a send ok\nclient c expect served");
}

TEST_CASE("HTTP digests: a write without a digest gets one, and a read requests one from the target") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("PUT", kId, "", "letter")) + "\ntarget a expect write");
  CHECK(runner.target_http_request("a").Header("Content-Digest") ==
        integrity::DigestField(integrity::Algorithm::kCrc32c, "letter"));
  runner.Play("target a send ok\nclient c expect served\n" +
              SendStep("client c", RequestText("GET", kId, "")) + "\ntarget a expect read");
  CHECK(runner.target_http_request("a").Header("Want-Content-Digest") == "crc32c=1");
}

TEST_CASE(
    "HTTP digests: a read with a corrupt response is retried, and the client receives the intact response") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("GET", kId, "")) + "\ntarget a expect read\n" +
              SendStep("target a", ResponseText(kValidDigestField, "lettes")) + "\ntarget a expect read\n" +
              SendStep("target a", ResponseText(kValidDigestField, "letter")) +
              "\nclient c expect served\nclient c expect text letter");
  CHECK(runner.last_response().Header("Content-Digest") ==
        kValidDigestField.substr(16, kValidDigestField.size() - 18));
}

TEST_CASE("HTTP digests: a write with a corrupt response is not retried, since it has been executed") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("PUT", kId, "", "letter")) + "\ntarget a expect write\n" +
              SendStep("target a", ResponseText(kValidDigestField, "lettes")) +
              "\nclient c expect failed\ntarget a expect nothing 150");
}

TEST_CASE("HTTP digests: Repr-Digest is verified in the response to a read, not to a write") {
  DigestRunner runner;
  const std::string repr = "Repr-Digest" + kValidDigestField.substr(14);
  runner.Play(SendStep("client c", RequestText("PUT", kId, "", "x")) + "\ntarget a expect write\n" +
              SendStep("target a", ResponseText(repr, "stored")) + "\nclient c expect served");
  runner.Play(SendStep("client c", RequestText("GET", kId, "")) + "\ntarget a expect read\n" +
              SendStep("target a", ResponseText(repr, "stored")) + "\ntarget a expect read\n" +
              SendStep("target a", ResponseText(repr, "letter")) + "\nclient c expect served");
}

TEST_CASE(
    "HTTP digests: a malformed digest is ignored, and a wanted digest that the target omits is computed") {
  DigestRunner runner;
  runner.Play(SendStep("client c", RequestText("PUT", kId, "Content-Digest: sha-256=broken\r\n", "x")) +
              "\ntarget a expect write\ntarget a send ok\nclient c expect served");
  runner.Play(SendStep("client c", RequestText("GET", kId, "Want-Content-Digest: sha-256=5\r\n")) +
              "\ntarget a expect read\n" + SendStep("target a", ResponseText("", "letter")) +
              "\nclient c expect served");
  CHECK(runner.last_response().Header("Content-Digest") ==
        kValidDigestField.substr(16, kValidDigestField.size() - 18));
}

TEST_CASE("HTTP digests: when disabled, digest fields have no effect") {
  ScenarioRunner runner(core::Protocol::kHttp);
  runner.Play(SendStep("client c", RequestText("PUT", kId, kValidDigestField, "lettes")) +
              "\ntarget a expect write");
  CHECK(runner.target_http_request("a").Header("Content-Digest").empty());
  runner.Play("target a send ok\nclient c expect served");
}

}  // namespace
}  // namespace walnutspur::test

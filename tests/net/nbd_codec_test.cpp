// Tests the NBD codec against byte sequences from the public specification.
#include <doctest/doctest.h>

#include "core/engine.h"
#include "nbd/codec.h"
#include "nbd/front_end.h"
#include "nbd/target_pool.h"
#include "nbd_handshake.h"

namespace walnutspur::test {
namespace {

using namespace std::string_literals;

constexpr std::uint16_t kFlags = nbd::kHasFlags | nbd::kSendFlush;
const std::vector<nbd::Export> kExports = {{"a", 1 << 20, 65536, kFlags}, {"other", 4096, 4096, kFlags}};

// Feeds the bytes one at a time, since parsing must not depend on how messages are split.
std::string FeedAll(nbd::ServerSession& session, const std::string& bytes,
                    std::vector<nbd::Request>* requests) {
  std::string out;
  for (const char byte : bytes) {
    session.Feed({&byte, 1}, &out, requests);
  }
  return out;
}

TEST_CASE("NBD greeting: it announces fixed newstyle and no zeroes") {
  CHECK(nbd::Greeting() == "NBDMAGICIHAVEOPT\x00\x03"s);
  CHECK(nbd::ClientFlags() == "\0\0\0\x03"s);
}

TEST_CASE("ServerSession: the reply to GO has the export's size, its block sizes and an acknowledgement") {
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  const std::string out = FeedAll(session, "\0\0\0\x03"s + GoOption("a"), &requests);
  CHECK(out == kReplyMagic + "\0\0\0\x07\0\0\0\x03\0\0\0\x0c\0\0"s + "\0\0\0\0\0\x10\0\0\0\x05"s +
                   kReplyMagic + "\0\0\0\x07\0\0\0\x03\0\0\0\x0e\0\x03\0\0\0\x01\0\0\x02\0\0\x01\0\0"s +
                   kReplyMagic + "\0\0\0\x07\0\0\0\x01\0\0\0\0"s);
  REQUIRE(session.chosen());
  CHECK(session.chosen()->name == "a");
}

TEST_CASE(
    "ServerSession: INFO stays in the handshake, unknown options are unsupported, ABORT ends the session") {
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  std::string out = FeedAll(session, "\0\0\0\x03"s + GoOption("a", 6), &requests);
  CHECK_FALSE(session.chosen());
  CHECK(out.ends_with(kReplyMagic + "\0\0\0\x06\0\0\0\x01\0\0\0\0"s));
  CHECK(FeedAll(session, GoOption("nowhere"), &requests) == kReplyMagic + "\0\0\0\x07\x80\0\0\x06\0\0\0\0"s);
  CHECK(FeedAll(session, kOptionMagic + "\0\0\0\x05\0\0\0\0"s, &requests) ==
        kReplyMagic + "\0\0\0\x05\x80\0\0\x01\0\0\0\0"s);
  CHECK(FeedAll(session, kOptionMagic + "\0\0\0\x07\0\0\0\x02xx"s, &requests) ==
        kReplyMagic + "\0\0\0\x07\x80\0\0\x03\0\0\0\0"s);
  CHECK(FeedAll(session, kOptionMagic + "\0\0\0\x03\0\0\0\0"s, &requests) ==
        kReplyMagic + "\0\0\0\x03\0\0\0\x02\0\0\0\x05\0\0\0\x01"s + "a" + kReplyMagic +
            "\0\0\0\x03\0\0\0\x02\0\0\0\x09\0\0\0\x05other"s + kReplyMagic + "\0\0\0\x03\0\0\0\x01\0\0\0\0"s);
  CHECK(FeedAll(session, kOptionMagic + "\0\0\0\x02\0\0\0\0"s, &requests) ==
        kReplyMagic + "\0\0\0\x02\0\0\0\x01\0\0\0\0"s);
  CHECK(session.ended());
}

TEST_CASE(
    "ServerSession: EXPORT_NAME returns size, flags and optional zeroes; an unknown name ends the session") {
  for (const bool no_zeroes : {true, false}) {
    nbd::ServerSession session(kExports);
    std::vector<nbd::Request> requests;
    const std::string out = FeedAll(
        session, (no_zeroes ? "\0\0\0\x03"s : "\0\0\0\x01"s) + kOptionMagic + "\0\0\0\x01\0\0\0\x01"s + "a",
        &requests);
    CHECK(out == "\0\0\0\0\0\x10\0\0\0\x05"s + std::string(no_zeroes ? 0 : 124, '\0'));
    CHECK(session.chosen());
  }
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  CHECK(FeedAll(session, "\0\0\0\x03"s + kOptionMagic + "\0\0\0\x01\0\0\0\x01"s + "z", &requests).empty());
  CHECK(session.ended());
}

TEST_CASE(
    "ServerSession: commands are parsed, data of an oversized write is discarded, DISC ends the session") {
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  FeedAll(session, "\0\0\0\x03"s + GoOption("other"), &requests);
  const std::string magic = "\x25\x60\x95\x13"s;
  FeedAll(session, magic + "\0\0\0\x01\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x10\0\0\0\x03"s + "abc", &requests);
  FeedAll(session,
          magic + "\0\0\0\x01\0\0\0\0\0\0\0\x0a\0\0\0\0\0\0\0\0\0\0\x10\x01"s + std::string(4097, 'x'),
          &requests);
  FeedAll(session, magic + "\0\0\0\0\0\0\0\0\0\0\0\x0b\0\0\0\0\0\0\0\0\0\0\0\x08"s, &requests);
  REQUIRE(requests.size() == 3);
  CHECK(requests[0].data == "abc");
  CHECK(requests[0].offset == 16);
  CHECK(requests[1].oversized);
  CHECK(requests[1].data.empty());
  CHECK(requests[2].cookie == 11);
  FeedAll(session, magic + "\0\0\0\x02\0\0\0\0\0\0\0\x0c\0\0\0\0\0\0\0\0\0\0\0\0"s, &requests);
  CHECK(session.ended());
  CHECK(session.error().empty());
}

TEST_CASE("ServerSession: an invalid magic number, flag or option length ends the session") {
  const std::string starts[] = {"\0\0\0\x07"s, "\0\0\0\x02"s, "\0\0\0\x03IHAVEOPS\0\0\0\x03\0\0\0\0"s,
                                "\0\0\0\x03IHAVEOPT\0\0\0\x03\x7f\0\0\0"s,
                                "\0\0\0\x03"s + GoOption("a") + std::string(28, 'x')};
  for (const std::string& start : starts) {
    nbd::ServerSession session(kExports);
    std::vector<nbd::Request> requests;
    FeedAll(session, start, &requests);
    CHECK(session.ended());
    CHECK_FALSE(session.error().empty());
    CHECK(requests.empty());
  }
}

TEST_CASE("ServerSession: replies are structured only if structured replies are negotiated") {
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  std::string out;
  const std::vector<nbd::Piece> pieces = {{0, "ab", 0}, {2, "", 3}};
  session.Reply(9, pieces, &out);
  CHECK(out == "\x67\x44\x66\x98\0\0\0\0\0\0\0\0\0\0\0\x09"s + "ab\0\0\0"s);
  FeedAll(session, "\0\0\0\x03"s + kOptionMagic + "\0\0\0\x08\0\0\0\0"s, &requests);
  out.clear();
  session.Reply(9, pieces, &out);
  const std::string magic = "\x66\x8e\x33\xef"s;
  const std::string cookie = "\0\0\0\0\0\0\0\x09"s;
  CHECK(out == magic + "\0\0\0\x01"s + cookie + "\0\0\0\x0a\0\0\0\0\0\0\0\0"s + "ab" + magic +
                   "\0\x01\0\x02"s + cookie + "\0\0\0\x0c\0\0\0\0\0\0\0\x02\0\0\0\x03"s);
  out.clear();
  session.Reply(9, nbd::kIo, "no", &out);
  CHECK(out == magic + "\0\x01\x80\x01"s + cookie + "\0\0\0\x08\0\0\0\x05\0\x02no"s);
}

// A client session in the transmission phase, with a read of 8 bytes at offset 16 in flight.
struct PendingRead {
  PendingRead() : session("a") {
    nbd::ServerSession server(kExports);
    std::vector<nbd::Request> requests;
    std::string to_client = nbd::Greeting();
    while (!session.ready()) {
      std::string to_server;
      session.Feed(std::exchange(to_client, ""), &to_server, &replies);
      server.Feed(to_server, &to_client, &requests);
      REQUIRE((session.ready() || !to_client.empty()));
    }
    nbd::Request request;
    request.cookie = 5;
    request.offset = 16;
    request.length = 8;
    std::string out;
    session.Send(request, &out);
  }
  void Chunk(bool done, std::uint16_t type, const std::string& data, std::uint64_t cookie = 5) {
    std::string out;
    std::string ignored;
    nbd::PutChunk(done, type, cookie, data, &out);
    for (const char byte : out) {
      session.Feed({&byte, 1}, &ignored, &replies);
    }
  }
  std::string At(std::uint64_t offset, const std::string& data) {
    std::string out;
    nbd::Put(offset, &out);
    return out + data;
  }
  nbd::ClientSession session;
  std::vector<nbd::Reply> replies;
};

TEST_CASE("ClientSession: a reply of several chunks is assembled in any order of the chunks") {
  PendingRead r;
  CHECK(r.session.size() == 1 << 20);
  r.Chunk(false, nbd::kOffsetData, r.At(20, "wxyz"));
  CHECK(r.replies.empty());
  r.Chunk(true, nbd::kOffsetHole, r.At(16, "\0\0\0\x04"s));
  REQUIRE(r.replies.size() == 1);
  CHECK(r.replies[0].error == nbd::kOk);
  CHECK(r.replies[0].pieces[0].hole_bytes == 4);
  CHECK(r.replies[0].pieces[1].data == "wxyz");
}

TEST_CASE("ClientSession: a reply with an error chunk or a missing chunk is an error") {
  PendingRead with_error;
  with_error.Chunk(false, nbd::kOffsetData, with_error.At(16, "abcd"));
  with_error.Chunk(false, nbd::kErrorOffset, "\0\0\0\x05\0\0"s + with_error.At(20, ""));
  with_error.Chunk(true, nbd::kOffsetData, with_error.At(20, "wxyz"));
  REQUIRE(with_error.replies.size() == 1);
  CHECK(with_error.replies[0].error == nbd::kIo);
  CHECK(with_error.replies[0].pieces.empty());
  PendingRead missing;
  missing.Chunk(true, nbd::kOffsetData, missing.At(16, "abcd"));
  REQUIRE(missing.replies.size() == 1);
  CHECK(missing.replies[0].error == nbd::kIo);
  PendingRead without_data;
  without_data.Chunk(true, nbd::kNone, "");
  CHECK(without_data.replies[0].error == nbd::kIo);
  PendingRead unknown_error;  // an error type of a later version of the specification
  unknown_error.Chunk(true, 0x8007, "\0\0\0\x1c\0\0"s);
  CHECK(unknown_error.replies[0].error == nbd::kNoSpace);
}

TEST_CASE("ClientSession: an invalid chunk ends the session") {
  const auto ends = [](auto feed) {
    PendingRead r;
    feed(r);
    CHECK(r.session.ended());
    CHECK(r.replies.empty());
  };
  ends([](PendingRead& r) { r.Chunk(true, nbd::kNone, "", 6); });                  // unknown cookie
  ends([](PendingRead& r) { r.Chunk(false, nbd::kOffsetData, r.At(15, "a")); });   // starts before the range
  ends([](PendingRead& r) { r.Chunk(false, nbd::kOffsetData, r.At(23, "ab")); });  // ends after the range
  ends([](PendingRead& r) { r.Chunk(false, nbd::kOffsetHole, r.At(16, "\xff\xff\xff\xff")); });
  ends([](PendingRead& r) { r.Chunk(false, nbd::kOffsetData, r.At(16, std::string(9, 'a'))); });  // oversized
  ends([](PendingRead& r) { r.Chunk(false, nbd::kError, std::string(70'000, 'a')); });
  ends([](PendingRead& r) { r.Chunk(true, nbd::kError, "\0\0\0\0\0\0"s); });      // error code 0
  ends([](PendingRead& r) { r.Chunk(true, nbd::kError, "\0\0\0\x05\0\x09"s); });  // message too long
  ends([](PendingRead& r) { r.Chunk(true, 7, ""); });                             // unknown type
  ends([](PendingRead& r) {                                                       // overlapping data
    r.Chunk(false, nbd::kOffsetData, r.At(16, "ab"));
    r.Chunk(false, nbd::kOffsetData, r.At(17, "b"));
  });
  ends([](PendingRead& r) {  // a simple reply to a read
    std::string out;
    std::string ignored;
    nbd::PutSimple(nbd::kOk, 5, &out);
    r.session.Feed(out + "abcdefgh", &ignored, &r.replies);
  });
  ends([](PendingRead& r) {
    std::string ignored;
    r.session.Feed("nonsense", &ignored, &r.replies);
  });
}

TEST_CASE("ClientSession: a server without structured replies and GO is supported") {
  nbd::ClientSession session("a");
  std::string out;
  std::vector<nbd::Reply> replies;
  session.Feed(nbd::Greeting(), &out, &replies);
  session.Feed(kReplyMagic + "\0\0\0\x08\x80\0\0\x01\0\0\0\0"s, &out, &replies);
  out.clear();
  session.Feed(kReplyMagic + "\0\0\0\x07\x80\0\0\x01\0\0\0\0"s, &out, &replies);
  CHECK(out == kOptionMagic + "\0\0\0\x01\0\0\0\x01"s + "a");
  CHECK_FALSE(session.ready());
  session.Feed("\0\0\0\0\0\x10\0\0\0\x05"s, &out, &replies);
  CHECK(session.ready());
  nbd::Request read;
  read.cookie = 1;
  read.length = 2;
  session.Send(read, &out);
  session.Feed("\x67\x44\x66\x98\0\0\0\0\0\0\0\0\0\0\0\x01hi"s, &out, &replies);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].pieces[0].data == "hi");
}

TEST_CASE("OutcomeOf: no error reply to a write or flush counts as not executed") {
  CHECK(nbd::OutcomeOf(nbd::kOk, nbd::kWrite) == Outcome::kCompleted);
  for (const nbd::Error error : {nbd::kShutdown, nbd::kNoMemory, nbd::kIo, nbd::kNoSpace}) {
    CHECK(nbd::OutcomeOf(error, nbd::kWrite) == Outcome::kErrored);
    CHECK(nbd::OutcomeOf(error, nbd::kFlush) == Outcome::kErrored);
  }
  CHECK(nbd::OutcomeOf(nbd::kShutdown, nbd::kRead) == Outcome::kOverloaded);
  CHECK(nbd::OutcomeOf(nbd::kIo, nbd::kRead) == Outcome::kErrored);
}

TEST_CASE("ErrorOf: each response status maps to its NBD error") {
  CHECK(nbd::ErrorOf(core::ResponseStatus::kServed) == nbd::kOk);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kRejected) == nbd::kNoMemory);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kFailed) == nbd::kIo);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kTimedOut) == nbd::kIo);
}

}  // namespace
}  // namespace walnutspur::test

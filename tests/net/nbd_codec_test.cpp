// The NBD codec against bytes of the public specification.
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

// Feeds byte by byte: parsing must not depend on how messages are split.
std::string FeedAll(nbd::ServerSession& session, const std::string& bytes,
                    std::vector<nbd::Request>* requests) {
  std::string out;
  for (const char byte : bytes) {
    session.Feed({&byte, 1}, &out, requests);
  }
  return out;
}

TEST_CASE("the greeting is fixed newstyle without zeroes") {
  CHECK(nbd::Greeting() == "NBDMAGICIHAVEOPT\x00\x03"s);
  CHECK(nbd::ClientFlags() == "\0\0\0\x03"s);
}

TEST_CASE("GO answers with the export's size, its block sizes and an acknowledgement") {
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  const std::string out = FeedAll(session, "\0\0\0\x03"s + GoOption("a"), &requests);
  CHECK(out == kReplyMagic + "\0\0\0\x07\0\0\0\x03\0\0\0\x0c\0\0"s + "\0\0\0\0\0\x10\0\0\0\x05"s +
                   kReplyMagic + "\0\0\0\x07\0\0\0\x03\0\0\0\x0e\0\x03\0\0\0\x01\0\0\x02\0\0\x01\0\0"s +
                   kReplyMagic + "\0\0\0\x07\0\0\0\x01\0\0\0\0"s);
  REQUIRE(session.chosen());
  CHECK(session.chosen()->name == "a");
}

TEST_CASE("options: INFO stays in the handshake, unknown ones are unsupported, ABORT ends it") {
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

TEST_CASE("EXPORT_NAME gives size, flags and, unless waived, 124 zeroes; an unknown name ends it") {
  for (const bool waived : {true, false}) {
    nbd::ServerSession session(kExports);
    std::vector<nbd::Request> requests;
    const std::string out = FeedAll(
        session, (waived ? "\0\0\0\x03"s : "\0\0\0\x01"s) + kOptionMagic + "\0\0\0\x01\0\0\0\x01"s + "a",
        &requests);
    CHECK(out == "\0\0\0\0\0\x10\0\0\0\x05"s + std::string(waived ? 0 : 124, '\0'));
    CHECK(session.chosen());
  }
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  CHECK(FeedAll(session, "\0\0\0\x03"s + kOptionMagic + "\0\0\0\x01\0\0\0\x01"s + "z", &requests).empty());
  CHECK(session.ended());
}

TEST_CASE("commands are parsed; an oversized write is skipped, not buffered; DISC ends the session") {
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

TEST_CASE("bad magic, flags and option lengths end the session") {
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

TEST_CASE("replies are structured only where that was negotiated") {
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

// A client session in transmission, with one read of 8 bytes at 16 in flight.
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

TEST_CASE("a reply in several chunks is assembled in any order") {
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

TEST_CASE("an error among the chunks, or a missing chunk, never yields a complete reply") {
  PendingRead torn;
  torn.Chunk(false, nbd::kOffsetData, torn.At(16, "abcd"));
  torn.Chunk(false, nbd::kErrorOffset, "\0\0\0\x05\0\0"s + torn.At(20, ""));
  torn.Chunk(true, nbd::kOffsetData, torn.At(20, "wxyz"));
  REQUIRE(torn.replies.size() == 1);
  CHECK(torn.replies[0].error == nbd::kIo);
  CHECK(torn.replies[0].pieces.empty());
  PendingRead missing;
  missing.Chunk(true, nbd::kOffsetData, missing.At(16, "abcd"));
  REQUIRE(missing.replies.size() == 1);
  CHECK(missing.replies[0].error == nbd::kIo);
  PendingRead none;
  none.Chunk(true, nbd::kNone, "");
  CHECK(none.replies[0].error == nbd::kIo);
  PendingRead unknown;  // an error of a later version of the specification
  unknown.Chunk(true, 0x8007, "\0\0\0\x1c\0\0"s);
  CHECK(unknown.replies[0].error == nbd::kNoSpace);
}

TEST_CASE("invalid chunks end the connection") {
  const auto ends = [](auto play) {
    PendingRead r;
    play(r);
    CHECK(r.session.ended());
    CHECK(r.replies.empty());
  };
  ends([](PendingRead& r) { r.Chunk(true, nbd::kNone, "", 6); });                  // unknown cookie
  ends([](PendingRead& r) { r.Chunk(false, nbd::kOffsetData, r.At(15, "a")); });   // before the range
  ends([](PendingRead& r) { r.Chunk(false, nbd::kOffsetData, r.At(23, "ab")); });  // past it
  ends([](PendingRead& r) { r.Chunk(false, nbd::kOffsetHole, r.At(16, "\xff\xff\xff\xff")); });
  ends([](PendingRead& r) { r.Chunk(false, nbd::kOffsetData, r.At(16, std::string(9, 'a'))); });  // oversized
  ends([](PendingRead& r) { r.Chunk(false, nbd::kError, std::string(70'000, 'a')); });
  ends([](PendingRead& r) { r.Chunk(true, nbd::kError, "\0\0\0\0\0\0"s); });      // error 0
  ends([](PendingRead& r) { r.Chunk(true, nbd::kError, "\0\0\0\x05\0\x09"s); });  // longer than the chunk
  ends([](PendingRead& r) { r.Chunk(true, 7, ""); });                             // unknown type
  ends([](PendingRead& r) {                                                       // twice the same bytes
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

TEST_CASE("a server without structured replies and GO is supported") {
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

TEST_CASE("no reply of a target proves that a write never ran") {
  CHECK(nbd::OutcomeOf(nbd::kOk, nbd::kWrite) == Outcome::kCompleted);
  for (const nbd::Error error : {nbd::kShutdown, nbd::kNoMemory, nbd::kIo, nbd::kNoSpace}) {
    CHECK(nbd::OutcomeOf(error, nbd::kWrite) == Outcome::kErrored);
    CHECK(nbd::OutcomeOf(error, nbd::kFlush) == Outcome::kErrored);
  }
  CHECK(nbd::OutcomeOf(nbd::kShutdown, nbd::kRead) == Outcome::kOverloaded);
  CHECK(nbd::OutcomeOf(nbd::kIo, nbd::kRead) == Outcome::kErrored);
}

TEST_CASE("response statuses map to NBD errors") {
  CHECK(nbd::ErrorOf(core::ResponseStatus::kServed) == nbd::kOk);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kRejected) == nbd::kNoMemory);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kFailed) == nbd::kIo);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kTimedOut) == nbd::kIo);
}

}  // namespace
}  // namespace walnutspur::test

// NBD: the codec against bytes of the public specification, and the hard cases on sockets.
#include <doctest/doctest.h>

#include "nbd/config.h"
#include "nbd/front_end.h"
#include "nbd/target_pool.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using namespace std::string_literals;
using core::Protocol;

constexpr std::uint16_t kFlags = nbd::kHasFlags | nbd::kSendFlush;
const std::vector<nbd::Export> kExports = {{"a", 1 << 20, 65536, kFlags}, {"other", 4096, 4096, kFlags}};
const std::string kOption = "IHAVEOPT";
const std::string kReplyMagic = "\x00\x03\xe8\x89\x04\x55\x65\xa9"s;

// Feeds byte by byte: no message may depend on how it is cut.
std::string FeedAll(nbd::ServerSession& session, const std::string& bytes,
                    std::vector<nbd::Request>* requests) {
  std::string out;
  for (const char byte : bytes) session.Feed({&byte, 1}, &out, requests);
  return out;
}

std::string Go(const std::string& name, char option = 7) {
  std::string data = "\0\0\0"s + char(name.size()) + name + "\0\0"s;
  return kOption + "\0\0\0"s + option + "\0\0\0"s + char(data.size()) + data;
}

TEST_CASE("the greeting is fixed newstyle without zeroes") {
  CHECK(nbd::Greeting() == "NBDMAGICIHAVEOPT\x00\x03"s);
  CHECK(nbd::ClientFlags() == "\0\0\0\x03"s);
}

TEST_CASE("GO answers with the export's size, its block sizes and an acknowledgement") {
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  const std::string out = FeedAll(session, "\0\0\0\x03"s + Go("a"), &requests);
  CHECK(out == kReplyMagic + "\0\0\0\x07\0\0\0\x03\0\0\0\x0c\0\0"s + "\0\0\0\0\0\x10\0\0\0\x05"s +
                   kReplyMagic + "\0\0\0\x07\0\0\0\x03\0\0\0\x0e\0\x03\0\0\0\x01\0\0\x02\0\0\x01\0\0"s +
                   kReplyMagic + "\0\0\0\x07\0\0\0\x01\0\0\0\0"s);
  REQUIRE(session.chosen());
  CHECK(session.chosen()->name == "a");
}

TEST_CASE("options: INFO stays in the handshake, unknown ones are unsupported, ABORT ends it") {
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  std::string out = FeedAll(session, "\0\0\0\x03"s + Go("a", 6), &requests);
  CHECK_FALSE(session.chosen());
  CHECK(out.ends_with(kReplyMagic + "\0\0\0\x06\0\0\0\x01\0\0\0\0"s));
  CHECK(FeedAll(session, Go("nowhere"), &requests) == kReplyMagic + "\0\0\0\x07\x80\0\0\x06\0\0\0\0"s);
  CHECK(FeedAll(session, kOption + "\0\0\0\x05\0\0\0\0"s, &requests) ==
        kReplyMagic + "\0\0\0\x05\x80\0\0\x01\0\0\0\0"s);
  CHECK(FeedAll(session, kOption + "\0\0\0\x07\0\0\0\x02xx"s, &requests) ==
        kReplyMagic + "\0\0\0\x07\x80\0\0\x03\0\0\0\0"s);
  CHECK(FeedAll(session, kOption + "\0\0\0\x03\0\0\0\0"s, &requests) ==
        kReplyMagic + "\0\0\0\x03\0\0\0\x02\0\0\0\x05\0\0\0\x01"s + "a" + kReplyMagic +
            "\0\0\0\x03\0\0\0\x02\0\0\0\x09\0\0\0\x05other"s + kReplyMagic + "\0\0\0\x03\0\0\0\x01\0\0\0\0"s);
  CHECK(FeedAll(session, kOption + "\0\0\0\x02\0\0\0\0"s, &requests) ==
        kReplyMagic + "\0\0\0\x02\0\0\0\x01\0\0\0\0"s);
  CHECK(session.ended());
}

TEST_CASE("EXPORT_NAME gives size, flags and, unless waived, 124 zeroes; an unknown name ends it") {
  for (const bool waived : {true, false}) {
    nbd::ServerSession session(kExports);
    std::vector<nbd::Request> requests;
    const std::string out =
        FeedAll(session, (waived ? "\0\0\0\x03"s : "\0\0\0\x01"s) + kOption + "\0\0\0\x01\0\0\0\x01"s + "a",
                &requests);
    CHECK(out == "\0\0\0\0\0\x10\0\0\0\x05"s + std::string(waived ? 0 : 124, '\0'));
    CHECK(session.chosen());
  }
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  CHECK(FeedAll(session, "\0\0\0\x03"s + kOption + "\0\0\0\x01\0\0\0\x01"s + "z", &requests).empty());
  CHECK(session.ended());
}

TEST_CASE("commands come out whole; an oversized write is skipped, not held; DISC ends") {
  nbd::ServerSession session(kExports);
  std::vector<nbd::Request> requests;
  FeedAll(session, "\0\0\0\x03"s + Go("other"), &requests);
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
  CHECK(session.why().empty());
}

TEST_CASE("bad magic, flags and option lengths end the session") {
  const std::string starts[] = {"\0\0\0\x07"s, "\0\0\0\x02"s, "\0\0\0\x03IHAVEOPS\0\0\0\x03\0\0\0\0"s,
                                "\0\0\0\x03IHAVEOPT\0\0\0\x03\x7f\0\0\0"s,
                                "\0\0\0\x03"s + Go("a") + std::string(28, 'x')};
  for (const std::string& start : starts) {
    nbd::ServerSession session(kExports);
    std::vector<nbd::Request> requests;
    FeedAll(session, start, &requests);
    CHECK(session.ended());
    CHECK_FALSE(session.why().empty());
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
  FeedAll(session, "\0\0\0\x03"s + kOption + "\0\0\0\x08\0\0\0\0"s, &requests);
  out.clear();
  session.Reply(9, pieces, &out);
  const std::string magic = "\x66\x8e\x33\xef"s, cookie = "\0\0\0\0\0\0\0\x09"s;
  CHECK(out == magic + "\0\0\0\x01"s + cookie + "\0\0\0\x0a\0\0\0\0\0\0\0\0"s + "ab" + magic +
                   "\0\x01\0\x02"s + cookie + "\0\0\0\x0c\0\0\0\0\0\0\0\x02\0\0\0\x03"s);
  out.clear();
  session.Reply(9, nbd::kIo, "no", &out);
  CHECK(out == magic + "\0\x01\x80\x01"s + cookie + "\0\0\0\x08\0\0\0\x05\0\x02no"s);
}

// A client session brought to transmission, with one read of 8 bytes at 16 out.
struct Reading {
  Reading() : session("a") {
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
    std::string out, ignored;
    nbd::PutChunk(done, type, cookie, data, &out);
    for (const char byte : out) session.Feed({&byte, 1}, &ignored, &replies);
  }
  std::string At(std::uint64_t offset, const std::string& data) {
    std::string out;
    nbd::Put(offset, &out);
    return out + data;
  }
  nbd::ClientSession session;
  std::vector<nbd::Reply> replies;
};

TEST_CASE("a reply in several chunks is put together in any order") {
  Reading r;
  CHECK(r.session.size() == 1 << 20);
  r.Chunk(false, nbd::kOffsetData, r.At(20, "wxyz"));
  CHECK(r.replies.empty());
  r.Chunk(true, nbd::kOffsetHole, r.At(16, "\0\0\0\x04"s));
  REQUIRE(r.replies.size() == 1);
  CHECK(r.replies[0].error == nbd::kOk);
  CHECK(r.replies[0].pieces[0].hole == 4);
  CHECK(r.replies[0].pieces[1].data == "wxyz");
}

TEST_CASE("an error in the middle of the chunks, or a part that never came, is never passed off as whole") {
  Reading torn;
  torn.Chunk(false, nbd::kOffsetData, torn.At(16, "abcd"));
  torn.Chunk(false, nbd::kErrorOffset, "\0\0\0\x05\0\0"s + torn.At(20, ""));
  torn.Chunk(true, nbd::kOffsetData, torn.At(20, "wxyz"));
  REQUIRE(torn.replies.size() == 1);
  CHECK(torn.replies[0].error == nbd::kIo);
  CHECK(torn.replies[0].pieces.empty());
  Reading missing;
  missing.Chunk(true, nbd::kOffsetData, missing.At(16, "abcd"));
  REQUIRE(missing.replies.size() == 1);
  CHECK(missing.replies[0].error == nbd::kIo);
  Reading none;
  none.Chunk(true, nbd::kNone, "");
  CHECK(none.replies[0].error == nbd::kIo);
  Reading unknown;  // an error of a later version of the specification
  unknown.Chunk(true, 0x8007, "\0\0\0\x1c\0\0"s);
  CHECK(unknown.replies[0].error == nbd::kNoSpace);
}

TEST_CASE("chunks that cannot be end the connection") {
  const auto ends = [](auto play) {
    Reading r;
    play(r);
    CHECK(r.session.ended());
    CHECK(r.replies.empty());
  };
  ends([](Reading& r) { r.Chunk(true, nbd::kNone, "", 6); });                  // unknown cookie
  ends([](Reading& r) { r.Chunk(false, nbd::kOffsetData, r.At(15, "a")); });   // before the range
  ends([](Reading& r) { r.Chunk(false, nbd::kOffsetData, r.At(23, "ab")); });  // past it
  ends([](Reading& r) { r.Chunk(false, nbd::kOffsetHole, r.At(16, "\xff\xff\xff\xff")); });
  ends([](Reading& r) { r.Chunk(false, nbd::kOffsetData, r.At(16, std::string(9, 'a'))); });  // oversized
  ends([](Reading& r) { r.Chunk(false, nbd::kError, std::string(70'000, 'a')); });
  ends([](Reading& r) { r.Chunk(true, nbd::kError, "\0\0\0\0\0\0"s); });      // an error of 0
  ends([](Reading& r) { r.Chunk(true, nbd::kError, "\0\0\0\x05\0\x09"s); });  // a text that is not there
  ends([](Reading& r) { r.Chunk(true, 7, ""); });                             // unknown type
  ends([](Reading& r) {                                                       // twice the same bytes
    r.Chunk(false, nbd::kOffsetData, r.At(16, "ab"));
    r.Chunk(false, nbd::kOffsetData, r.At(17, "b"));
  });
  ends([](Reading& r) {  // a simple reply to a read
    std::string out, ignored;
    nbd::PutSimple(nbd::kOk, 5, &out);
    r.session.Feed(out + "abcdefgh", &ignored, &r.replies);
  });
  ends([](Reading& r) {
    std::string ignored;
    r.session.Feed("nonsense", &ignored, &r.replies);
  });
}

TEST_CASE("a server that knows neither structured replies nor GO is used all the same") {
  nbd::ClientSession session("a");
  std::string out;
  std::vector<nbd::Reply> replies;
  session.Feed(nbd::Greeting(), &out, &replies);
  session.Feed(kReplyMagic + "\0\0\0\x08\x80\0\0\x01\0\0\0\0"s, &out, &replies);
  out.clear();
  session.Feed(kReplyMagic + "\0\0\0\x07\x80\0\0\x01\0\0\0\0"s, &out, &replies);
  CHECK(out == kOption + "\0\0\0\x01\0\0\0\x01"s + "a");
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

TEST_CASE("no reply of a box proves that a write never ran") {
  CHECK(nbd::OutcomeOf(nbd::kOk, nbd::kWrite) == Outcome::kCompleted);
  for (const nbd::Error error : {nbd::kShutdown, nbd::kNoMemory, nbd::kIo, nbd::kNoSpace}) {
    CHECK(nbd::OutcomeOf(error, nbd::kWrite) == Outcome::kErrored);
    CHECK(nbd::OutcomeOf(error, nbd::kFlush) == Outcome::kErrored);
  }
  CHECK(nbd::OutcomeOf(nbd::kShutdown, nbd::kRead) == Outcome::kOverloaded);
  CHECK(nbd::OutcomeOf(nbd::kIo, nbd::kRead) == Outcome::kErrored);
}

TEST_CASE("verdicts have NBD errors") {
  CHECK(nbd::ErrorOf(core::ResponseStatus::kServed) == nbd::kOk);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kRejected) == nbd::kNoMemory);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kFailed) == nbd::kIo);
  CHECK(nbd::ErrorOf(core::ResponseStatus::kTimedOut) == nbd::kIo);
}

TEST_CASE("the box's chunks reach the client whole or as an error") {
  ScenarioRunner stage(Protocol::kNbd);
  stage.Play(R"(
    client c send read
    box a expect read
    box a send split
    client c expect served)");
  CHECK(stage.last().body == std::string(2048, 'r') + std::string(2048, '0'));
  for (const char* bad : {"torn", "short"}) {
    CAPTURE(bad);
    // The read is safe, so it goes again until its attempts are used up.
    stage.Play("client c send read\n box a expect read\n box a send "s + bad +
               "\n box a expect read\n box a send " + bad + "\n box a expect read\n box a send " + bad +
               "\n client c expect refused");
  }
}

TEST_CASE("a connection that ends inside a chunk, or names an unknown cookie, breaks") {
  ScenarioRunner stage(Protocol::kNbd);
  stage.Play(R"(
    client c send read
    box a expect read
    box a send half
    box a close
    box a expect read
    box a send strange
    box a expect closed
    box a expect read
    box a send ok
    client c expect served
    client c send write
    box a expect write
    box a send strange
    client c expect failed
    box a expect closed
    box a expect nothing 100)");
}

TEST_CASE("a handshake that stalls at a client ends by its timer and leaves nothing") {
  for (const char* start : {"", "\\x00\\x00", "\\x00\\x00\\x00\\x03IHAV",
                            "\\x00\\x00\\x00\\x03IHAVEOPT\\x00\\x00\\x00\\x07\\x00\\x00\\x00\\x07\\x00"}) {
    CAPTURE(start);
    ScenarioRunner stage(Protocol::kNbd);
    stage.Play("client c send bytes \""s + start + "\"\n client c expect closed");
    stage.Halt();
    CHECK(stage.initiator().nbd_front()->connections() == 0);
  }
}

TEST_CASE(
    "a handshake that stalls at a box never ran anything: the write is refused, no connection is left") {
  ScenarioRunner stage(Protocol::kNbd);
  stage.Play("client c send write");  // the box's listener takes the connection and says nothing
  stage.Play("client c expect refused\n wait 150");  // the module may give up before the handshake's timer
  stage.Halt();
  CHECK(stage.initiator().nbd_target_connections() == 0);
}

TEST_CASE("a write that waits for a handshake when its box begins to drain never reaches it") {
  ScenarioRunner stage(Protocol::kNbd);
  stage.Play(R"(
    client c send write
    wait 30
    discovery send delta a=DRAINING
    client c expect refused
    box a expect closed
    box a expect nothing 600)");
}

TEST_CASE("several commands are in flight at once and answered by cookie") {
  ScenarioRunner stage(Protocol::kNbd);
  stage.Play(R"(
    client c send read
    client c send write
    client c send flush
    box a expect read
    box a expect write
    box a expect flush
    box a send ok
    client c expect served
    client c close
    client d send read)");
  // The others were given up, so their connection takes nothing new.
  stage.Play(R"(
    box a expect closed
    box a expect read
    box a send ok
    client d expect served)");
}

TEST_CASE("a write to a box whose flush covers one connection only is durable by itself") {
  ScenarioRunner stage(Protocol::kNbd);
  stage.Play("client c send write\n box a expect write");
  CHECK(stage.box_request("a").flags == nbd::kFua);
  stage.Play("box a send ok\n client c expect served\n client c send read\n box a expect read");
  CHECK(stage.box_request("a").flags == 0);
}

TEST_CASE("a disconnect in flight takes the commands along") {
  ScenarioRunner stage(Protocol::kNbd);
  stage.Play(R"(
    client c send write
    box a expect write
    client c send bytes "\x25\x60\x95\x13\x00\x00\x00\x02\x00\x00\x00\x00\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
    client c expect closed
    box a expect closed)");
}

TEST_CASE("commands that cannot be get an error and never reach a box") {
  ScenarioRunner stage(Protocol::kNbd);
  stage.Play("client c send read\n box a expect read\n box a send ok\n client c expect served");
  const std::pair<std::uint16_t, std::uint32_t> cases[] = {
      {4, 4096}, {nbd::kRead, 0}, {nbd::kRead, 0x7fffffff}, {nbd::kFlush, 4096}};  // 4: TRIM, not offered
  for (const auto& [type, length] : cases) {
    Socket socket = Socket::Connect(stage.nbd_port());
    socket.Send(nbd::ClientFlags() + Go("a"));
    while (socket.bytes.find(kReplyMagic + "\0\0\0\x07\0\0\0\x01"s) == std::string::npos)
      REQUIRE(socket.Fill(2'000));
    socket.bytes.clear();
    nbd::Request request;
    request.type = type;
    request.length = length;
    request.cookie = 77;
    std::string out;
    nbd::PutRequest(request, &out);
    socket.Send(out);
    while (socket.bytes.size() < 16) REQUIRE(socket.Fill(2'000));
    CHECK(nbd::Get<std::uint32_t>(socket.bytes, 4) != nbd::kOk);
    CHECK(nbd::Get<std::uint64_t>(socket.bytes, 8) == 77);
  }
  stage.Play("box a expect nothing 50");
}

// A client that has chosen its export, by hand.
Socket Mounted(const ScenarioRunner& stage) {
  Socket socket = Socket::Connect(stage.nbd_port());
  socket.Send(nbd::ClientFlags() + Go("a"));
  while (socket.bytes.find(kReplyMagic + "\0\0\0\x07\0\0\0\x01"s) == std::string::npos)
    REQUIRE(socket.Fill(2'000));
  socket.bytes.clear();
  return socket;
}

TEST_CASE("a client that stops inside of a command is ended in time, whatever trickles in") {
  ScenarioRunner stage(Protocol::kNbd);
  std::string command;
  nbd::Request request;
  request.type = nbd::kWrite;
  request.length = 4096;
  nbd::PutRequest(request, &command);
  SUBCASE("inside its head") { command.resize(9); }
  SUBCASE("inside its data") {}
  SUBCASE("inside data that is too long anyway") { command.replace(24, 4, "\x7f\xff\xff\xff"); }
  Socket socket = Mounted(stage);
  const Time before = core::Now();
  socket.Send(command);
  while (!socket.Readable(100) && core::Now() - before < 4'000'000) socket.Send("x");
  CHECK_FALSE(socket.Fill(0));
  CHECK(core::Now() - before < 3'000'000);
  stage.Play("box a expect nothing 1");
}

TEST_CASE("silent NBD connections leave room for a usual client; one that has asked is not ended for them") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;  // six clients
  ScenarioRunner stage(Protocol::kNbd, config);
  stage.Play("client c send read\n box a expect read\n box a send ok\n client c expect served");
  std::vector<Socket> silent;
  for (int i = 0; i < 3; ++i) silent.push_back(Mounted(stage));
  for (int i = 0; i < 40; ++i) silent.push_back(Socket::Connect(stage.nbd_port()));
  const Time before = core::Now();
  stage.Play(R"(
    client d send read
    box a expect read
    box a send ok
    client d expect served)");
  CHECK(core::Now() - before < 2'000'000);
  stage.Play(R"(
    client c send read
    box a expect read
    box a send ok
    client c expect served)");
  stage.Halt();
  CHECK(stage.initiator().nbd_front()->connections() <= 6);
}

TEST_CASE("the file of the front that the repository ships is read; wrong ones give one line") {
  Settings settings;
  settings.max_request_units = 6;
  const std::vector<std::string> classes = {"read", "write", "sweep"}, plans = {"standard"};
  const nbd::Config config =
      nbd::LoadConfig(WALNUTSPUR_ROOT "/deploy/nbd.toml", classes, plans, settings, 10);
  REQUIRE(config.exports.size() == 1);
  CHECK(config.exports[0].largest == 6 * 4096);
  CHECK(config.classes.at(nbd::kWrite) == 1);
  CHECK(nbd::UnitsOf(config, 4097) == 2);
  CHECK(nbd::UnitsOf(config, 0) == 1);
  for (const char* text : {"", "listen = 5", "listen = \"x\"\n[commands]\nread = \"none\"", "= ="}) {
    CAPTURE(text);
    CHECK_THROWS(nbd::ParseConfig(text, classes, plans, settings, 10));
  }
}

}  // namespace
}  // namespace walnutspur::test

// Tests capture files: reassembly of streams, writing and reading, recording and replay.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include "pcap/capture.h"
#include "scenario_runner.h"
#include "support/temporary_file.h"

namespace walnutspur::test {
namespace {

using namespace std::string_literals;
using core::Protocol;

const pcap::Endpoint kClient{"\x7f\0\0\x01"s, 40000};
const pcap::Endpoint kServer{"\x7f\0\0\x02"s, 3000};

TEST_CASE("Reassembly: early, retransmitted and overlapping segments are put in order, also across a wrap") {
  pcap::Reassembly direction(1000);
  direction.Begin(0xfffffffe);
  direction.Add(2, "efgh");         // out of order
  direction.Add(0xfffffffe, "ab");  // in order, up to the wrap of the sequence number
  CHECK(direction.bytes() == "ab");
  CHECK(direction.has_gap());
  direction.Add(0xfffffffe, "ab");   // retransmitted
  direction.Add(0xffffffff, "bcd");  // overlaps and fills the gap
  CHECK(direction.bytes() == "abcdefgh");
  CHECK_FALSE(direction.has_gap());
  direction.Add(4, "ghij");
  CHECK(direction.bytes() == "abcdefghij");
}

TEST_CASE("Reassembly: bytes after a gap, after a truncated segment and over the limit are discarded") {
  pcap::Reassembly with_gap(1000);
  with_gap.Begin(10);
  with_gap.Add(10, "ab");
  with_gap.Add(13, "d");
  CHECK(with_gap.bytes() == "ab");
  CHECK(with_gap.has_gap());
  pcap::Reassembly truncated(1000);
  truncated.Add(10, "ab", 2);
  truncated.Add(14, "ef");
  CHECK(truncated.bytes() == "ab");
  CHECK(truncated.has_gap());
  pcap::Reassembly over_limit(4);
  over_limit.Add(0, "abc");
  over_limit.Add(3, "de");
  CHECK(over_limit.bytes() == "abc");
  CHECK(over_limit.has_gap());
}

TEST_CASE("Writer: written streams are read back, also from a truncated file") {
  TemporaryFile file;
  const std::string large(5000, 'x');
  {
    pcap::Writer writer(file.path(), 1 << 20);
    const auto first = writer.Open(kClient, kServer);
    const auto second = writer.Open({"\x7f\0\0\x01"s, 40001}, kServer);
    writer.Data(first, true, "ping");
    writer.Data(second, true, large);
    writer.Data(first, false, "pong");
    writer.Close(first);
    writer.Data(second, false, "late");
  }
  const auto streams = pcap::ReadStreams(file.path());
  REQUIRE(streams.size() == 2);
  CHECK(streams[0].client == kClient);
  CHECK(streams[0].server == kServer);
  CHECK(streams[0].opened);
  CHECK(streams[0].finished);
  CHECK(streams[0].to_server.bytes() == "ping");
  CHECK(streams[0].to_client.bytes() == "pong");
  CHECK(streams[1].to_server.bytes() == large);
  CHECK(streams[1].to_client.bytes() == "late");
  std::filesystem::resize_file(file.path(), std::filesystem::file_size(file.path()) / 2);
  const auto half = pcap::ReadStreams(file.path());
  REQUIRE(half.size() == 2);
  CHECK(large.starts_with(half[1].to_server.bytes()));
  CHECK_FALSE(half[1].finished);
  std::ofstream(file.path()) << "no capture";
  CHECK_THROWS(pcap::ReadStreams(file.path()));
}

TEST_CASE("Writer: data beyond the size limit is not written") {
  TemporaryFile file;
  {
    pcap::Writer writer(file.path(), 10);
    writer.Data(writer.Open(kClient, kServer), true, std::string(100, 'x'));
  }
  CHECK(pcap::ReadStreams(file.path())[0].to_server.bytes().size() == 10);
}

// Serves a write and a read, and records them in a capture file.
void Record(Protocol protocol, const std::string& path) {
  app::Options options;
  options.record = path;
  ScenarioRunner runner(protocol, BasicConfig(), options);
  runner.Play(R"(
    client c send write
    target a expect write
    target a send ok
    client c expect served
    client c send read
    target a expect read
    target a send ok
    client c expect served
    client c close
    wait 50)");
}

// Records traffic and replays it to a new initiator. The targets must receive the recorded requests.
void RecordAndReplay(Protocol protocol) {
  const TemporaryFile file;
  Record(protocol, file.path());
  const auto streams = pcap::ReadStreams(file.path());
  REQUIRE(streams.size() == 1);
  app::Options options;
  options.replay = file.path();
  ScenarioRunner runner(protocol, BasicConfig(), options);
  runner.Play(R"(
    target a expect write
    target a send ok
    target a expect read
    target a send ok
    wait 300)");
  runner.Stop();
  REQUIRE(runner.initiator().player()->results().size() == 1);
  const auto& result = runner.initiator().player()->results()[0];
  const std::string& recorded = streams[0].to_client.bytes();
  CHECK(result.sent == streams[0].to_server.bytes());
  if (protocol == Protocol::kNbd) {
    CHECK(result.received == recorded);
  }
  if (protocol == Protocol::kHttp) {  // the responses differ only in the date
    CHECK(result.received.size() == recorded.size());
    CHECK(recorded.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(recorded.ends_with("stored"));
    CHECK(result.received.ends_with("stored"));
  }
}

TEST_CASE("Player: recorded HTTP traffic is replayed") { RecordAndReplay(Protocol::kHttp); }
TEST_CASE("Player: recorded NBD traffic is replayed") { RecordAndReplay(Protocol::kNbd); }

}  // namespace
}  // namespace walnutspur::test

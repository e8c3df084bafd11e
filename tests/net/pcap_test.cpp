// pcap files: reassembly of streams, replay to the front ends, writing and reading back.
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

TEST_CASE("segments are reassembled: early, retransmitted, overlapping, past the sequence number wrap") {
  pcap::Reassembly side(1000);
  side.Begin(0xfffffffe);
  side.Add(2, "efgh");         // early
  side.Add(0xfffffffe, "ab");  // in order, up to the wrap
  CHECK(side.bytes() == "ab");
  CHECK(side.gap());
  side.Add(0xfffffffe, "ab");   // retransmitted
  side.Add(0xffffffff, "bcd");  // overlaps and fills the gap
  CHECK(side.bytes() == "abcdefgh");
  CHECK_FALSE(side.gap());
  side.Add(4, "ghij");
  CHECK(side.bytes() == "abcdefghij");
}

TEST_CASE("bytes after a gap, truncated segments and bytes over the limit are left out") {
  pcap::Reassembly gap(1000);
  gap.Begin(10);
  gap.Add(10, "ab");
  gap.Add(13, "d");
  CHECK(gap.bytes() == "ab");
  CHECK(gap.gap());
  pcap::Reassembly cut(1000);
  cut.Add(10, "ab", 2);
  cut.Add(14, "ef");
  CHECK(cut.bytes() == "ab");
  CHECK(cut.gap());
  pcap::Reassembly much(4);
  much.Add(0, "abc");
  much.Add(3, "de");
  CHECK(much.bytes() == "abc");
  CHECK(much.gap());
}

TEST_CASE("what is written reads back, also from a truncated file") {
  TemporaryFile file;
  const std::string large(5000, 'x');
  {
    pcap::Writer writer(file.path(), 1 << 20);
    const auto one = writer.Open(kClient, kServer);
    const auto two = writer.Open({"\x7f\0\0\x01"s, 40001}, kServer);
    writer.Data(one, true, "ping");
    writer.Data(two, true, large);
    writer.Data(one, false, "pong");
    writer.Close(one);
    writer.Data(two, false, "late");
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

TEST_CASE("the writer respects its size limit") {
  TemporaryFile file;
  {
    pcap::Writer writer(file.path(), 10);
    writer.Data(writer.Open(kClient, kServer), true, std::string(100, 'x'));
  }
  CHECK(pcap::ReadStreams(file.path())[0].to_server.bytes().size() == 10);
}

// Serves a write and a read, recording them in a capture.
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

// Replays a capture to a new initiator, whose targets see the recorded requests.
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
  if (protocol == Protocol::kHttp) {  // equal except for the date
    CHECK(result.received.size() == recorded.size());
    CHECK(recorded.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(recorded.ends_with("stored"));
    CHECK(result.received.ends_with("stored"));
  }
}

TEST_CASE("traffic served over HTTP is recorded and replayed") { RecordAndReplay(Protocol::kHttp); }
TEST_CASE("traffic served over NBD is recorded and replayed") { RecordAndReplay(Protocol::kNbd); }

}  // namespace
}  // namespace walnutspur::test

// pcap files: streams put in order, played to the fronts, written and read back.
#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "pcap/capture.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using namespace std::string_literals;
using core::Protocol;

struct File {
  File() { close(mkstemp(path.data())); }
  ~File() { std::filesystem::remove(path); }
  std::string path = "/tmp/walnutspur-pcap-XXXXXX";
};

const pcap::Endpoint kClient{"\x7f\0\0\x01"s, 40000}, kServer{"\x7f\0\0\x02"s, 3000};

TEST_CASE("segments are put in order: early, again, overlapping, past the wrap of their numbers") {
  pcap::Reassembly side(1000);
  side.Begin(0xfffffffe);
  side.Add(2, "efgh");         // early
  side.Add(0xfffffffe, "ab");  // in order, up to the wrap
  CHECK(side.bytes() == "ab");
  CHECK(side.gap());
  side.Add(0xfffffffe, "ab");   // sent again
  side.Add(0xffffffff, "bcd");  // in part known, fills the gap
  CHECK(side.bytes() == "abcdefgh");
  CHECK_FALSE(side.gap());
  side.Add(4, "ghij");
  CHECK(side.bytes() == "abcdefghij");
}

TEST_CASE("what follows a gap, was cut off or is too much is left out") {
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

TEST_CASE("what is written reads back, also from a file that is cut off") {
  File file;
  const std::string large(5000, 'x');
  {
    pcap::Writer writer(file.path, 1 << 20);
    const auto one = writer.Open(kClient, kServer);
    const auto two = writer.Open({"\x7f\0\0\x01"s, 40001}, kServer);
    writer.Data(one, true, "ping");
    writer.Data(two, true, large);
    writer.Data(one, false, "pong");
    writer.Close(one);
    writer.Data(two, false, "late");
  }
  const auto streams = pcap::ReadStreams(file.path);
  REQUIRE(streams.size() == 2);
  CHECK(streams[0].client == kClient);
  CHECK(streams[0].server == kServer);
  CHECK(streams[0].opened);
  CHECK(streams[0].finished);
  CHECK(streams[0].to_server.bytes() == "ping");
  CHECK(streams[0].to_client.bytes() == "pong");
  CHECK(streams[1].to_server.bytes() == large);
  CHECK(streams[1].to_client.bytes() == "late");
  std::filesystem::resize_file(file.path, std::filesystem::file_size(file.path) / 2);
  const auto half = pcap::ReadStreams(file.path);
  REQUIRE(half.size() == 2);
  CHECK(large.starts_with(half[1].to_server.bytes()));
  CHECK_FALSE(half[1].finished);
  std::ofstream(file.path) << "no capture";
  CHECK_THROWS(pcap::ReadStreams(file.path));
}

TEST_CASE("the writer keeps to its bound") {
  File file;
  {
    pcap::Writer writer(file.path, 10);
    writer.Data(writer.Open(kClient, kServer), true, std::string(100, 'x'));
  }
  CHECK(pcap::ReadStreams(file.path)[0].to_server.bytes().size() == 10);
}

// Records a day of one request, then plays the file to a new initiator, whose boxes see the same request.
void RecordAndReplay(Protocol wire) {
  File file;
  {
    app::Options options;
    options.record = file.path;
    ScenarioRunner stage(wire, BasicConfig(), options);
    stage.Play(R"(
      client c send write
      box a expect write
      box a send ok
      client c expect served
      client c send read
      box a expect read
      box a send ok
      client c expect served
      client c close
      wait 50)");
  }
  const auto streams = pcap::ReadStreams(file.path);
  REQUIRE(streams.size() == 1);
  app::Options options;
  options.replay = file.path;
  ScenarioRunner again(wire, BasicConfig(), options);
  again.Play(R"(
    box a expect write
    box a send ok
    box a expect read
    box a send ok
    wait 300)");
  again.Halt();
  REQUIRE(again.initiator().player()->results().size() == 1);
  const auto& result = again.initiator().player()->results()[0];
  CHECK(result.sent == streams[0].to_server.bytes());
  if (wire == Protocol::kNbd) CHECK(result.received == streams[0].to_client.bytes());
  if (wire == Protocol::kHttp) {  // all but the date
    CHECK(result.received.size() == streams[0].to_client.bytes().size());
    CHECK(streams[0].to_client.bytes().starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(streams[0].to_client.bytes().ends_with("stored"));
    CHECK(result.received.ends_with("stored"));
  }
}

TEST_CASE("traffic served over HTTP is recorded and played again") { RecordAndReplay(Protocol::kHttp); }
TEST_CASE("traffic served over NBD is recorded and played again") { RecordAndReplay(Protocol::kNbd); }

}  // namespace
}  // namespace walnutspur::test

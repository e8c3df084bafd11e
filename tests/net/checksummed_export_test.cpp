// Tests checksummed exports over sockets: an initiator between an NBD client and a storage server that
// corrupts data.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "app/control.h"
#include "filestore/atomic_file.h"
#include "integrity/cursor.h"
#include "lab/fakes/discovery_thread.h"
#include "lab/fakes/temporary_folder.h"
#include "lab/storage_server/storage_server.h"
#include "nbd/blocking_client.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using integrity::Fault;
using integrity::kBlockBytes;
using lab::CorruptionKind;

constexpr std::uint64_t kSize = 16 << 20;
constexpr int kDiskTimeoutMs = 30'000;  // for the save of a file
constexpr int kDiskPollMs = 100;

// Returns random bytes from the storage server's generator.
std::string RandomData(lab::StorageServer& server, std::size_t size) {
  std::string data(size, '\0');
  server.WithDevice([&](lab::BlockDevice& disk) {
    for (char& c : data) {
      c = static_cast<char>(disk.Draw(256));
    }
  });
  return data;
}

// Runs an initiator, a storage server with one export, a fake discovery service and an NBD client.
struct ExportFixture {
  explicit ExportFixture(int paths, bool scrub = false, std::uint64_t seed = 1,
                         std::uint16_t flags = lab::StorageServerOptions().flags)
      : server_is_suitable(flags == lab::StorageServerOptions().flags), server(Options(paths, seed, flags)) {
    server.WithDevice([](lab::BlockDevice& disk) {
      for (const auto& io : integrity::FormatPlan(kSize, integrity::kDefaultJournalBytes, 42)) {
        if (io.kind == integrity::IoKind::kWrite) {
          disk.Write(io.offset, io.data, true);
        }
      }
    });
    server.Start();
    ListTarget(EndpointState::kActive);
    options.nbd = folder.Put("nbd.toml", DeployFile(paths));
    options.folder = folder.path();
    options.scrub.enabled = scrub;
    options.scrub.job.max_requests_per_second = 400;
    options.scrub.job.max_bytes_per_second = 1e9;
    options.scrub.job.min_requests_per_second = 50;
    StartInitiator();
  }
  ~ExportFixture() { StopInitiator(); }

  // Returns a deploy file with one target that has `paths` paths, and one checksummed export.
  std::string DeployFile(int paths) const {
    std::string text =
        "listen = \"127.0.0.1:0\"\nunit_bytes = 65536\n[commands]\nread = \"read\"\nwrite = \"write\"\nflush "
        "= \"write\"\n"
        "[[box]]\nid = \"a\"\naddress = \"127.0.0.1:" +
        std::to_string(server.port(0)) + "\"\npaths = [";
    for (int path = 1; path < paths; ++path) {
      text += (path > 1 ? ", " : "") + std::string("\"127.0.0.1:") + std::to_string(server.port(path)) + "\"";
    }
    return text +
           "]\n[[export]]\nname = \"letters\"\nvolume = \"v\"\nplan = \"basic\"\nshard = 0\nbox = \"a\"\n"
           "remote = \"disk\"\nchecksums = true\nsize = " +
           std::to_string(kSize) + "\n";
  }
  static lab::StorageServerOptions Options(int paths, std::uint64_t seed, std::uint16_t flags) {
    lab::StorageServerOptions options;
    options.size = kSize;
    options.paths = paths;
    options.seed = seed;
    options.flags = flags;
    return options;
  }
  // Sets the state of the target in the endpoint list.
  void ListTarget(EndpointState state) {
    lab::ListedEndpoint endpoint;
    endpoint.id = "a";
    endpoint.address = "127.0.0.1:1";
    endpoint.state = state;
    discovery.Set(endpoint);
  }
  // Starts the initiator, connects the client and waits until the export is attached.
  void StartInitiator() {
    auto json = BasicConfig();
    json["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
    initiator = std::make_unique<app::Initiator>(app::ParseConfig(json), options);
    thread = std::thread([this] { initiator->Run(); });
    client = Connect();
    // Until the endpoint list has been received, a read is rejected or waits.
    const int attempts = server_is_suitable ? 200 : 1;
    for (int i = 0; i < attempts && client->Read(0, 512).error != nbd::kOk; ++i) {
      poll(nullptr, 0, 10);
    }
  }
  // Disconnects the client and stops the initiator.
  void StopInitiator() {
    client.reset();
    initiator->StopNow();
    thread.join();
    initiator.reset();
  }
  // Returns a new client of the export.
  std::unique_ptr<nbd::BlockingClient> Connect() {
    return std::make_unique<nbd::BlockingClient>(
        "127.0.0.1:" + std::to_string(initiator->nbd_front_end()->port()), "letters");
  }
  // Repeats a call that is rejected. A rejected command is not executed, and rejections are expected when the
  // machine is short of processor time.
  template <typename Call>
  nbd::Reply RetryRejected(Call call) {
    nbd::Reply reply = call();
    for (int i = 0; i < 100 && reply.error == nbd::kNoMemory && reply.error_offsets.empty(); ++i) {
      poll(nullptr, 0, 20);
      reply = call();
    }
    return reply;
  }
  // Write and read through the client.
  nbd::Reply Put(std::uint64_t offset, const std::string& data) {
    return RetryRejected([&] { return client->Write(offset, data); });
  }
  nbd::Reply Get(std::uint64_t offset, std::uint32_t length) {
    return RetryRejected([&] { return client->Read(offset, length); });
  }
  // Writes random blocks and stores them in `content`.
  void Write(std::uint64_t block, std::size_t blocks = 1) {
    const std::string data = RandomData(server, blocks * kBlockBytes);
    REQUIRE(Put(block * kBlockBytes, data).error == nbd::kOk);
    content.replace(block * kBlockBytes, data.size(), data);
  }
  // Returns whether no record is left in the export's journal.
  bool IsJournalEmpty() const {
    const std::string status = app::SendControlCommand(app::ControlPath(folder.path()), "status");
    return nlohmann::json::parse(status)["exports"][0]["journal_used"] == 0;
  }
  // Waits until checkpoints have written all data in place and the storage server is idle.
  void WaitForCheckpoint() {
    for (int i = 0; i < 400; ++i) {
      const std::uint64_t before = server.commands();
      poll(nullptr, 0, 300);
      if (server.commands() == before && IsJournalEmpty()) {
        return;
      }
    }
    FAIL("the storage server still receives commands after the wait for checkpoints");
  }
  // Returns the block's entry in the corruption log's file; none if it has none or one with the fault
  // `former`.
  std::optional<integrity::CorruptionEntry> SavedCorruption(std::uint64_t block,
                                                            std::optional<Fault> former) {
    integrity::CorruptionLog corruption_log;
    std::string error;
    integrity::CorruptionLogFile(folder.path()).Load(&corruption_log, &error);
    const auto* entry = corruption_log.Find({"a", "disk", block});
    const bool is_new = entry != nullptr && entry->fault != former;
    return is_new ? std::optional(*entry) : std::nullopt;
  }
  // Reads a block until the corruption log has an entry for it, and returns the entry. Data that is served
  // must be equal to the data that was written. An entry with the fault `former` is an earlier one. The file
  // is saved in the background: after the last read it may come as late as a busy disk makes it.
  std::optional<integrity::CorruptionEntry> FindCorruption(std::uint64_t block,
                                                           std::optional<Fault> former = std::nullopt) {
    for (int i = 0; i < 14; ++i) {
      const nbd::Reply reply = client->Read(block * kBlockBytes, kBlockBytes);
      if (reply.error == nbd::kOk) {
        CHECK(nbd::DataOf(reply) == content.substr(block * kBlockBytes, kBlockBytes));
      }
      if (const auto entry = SavedCorruption(block, former)) {
        return entry;
      }
      if (i > 2) {
        poll(nullptr, 0, 300);
      }
    }
    for (int waited_ms = 0; waited_ms < kDiskTimeoutMs; waited_ms += kDiskPollMs) {
      poll(nullptr, 0, kDiskPollMs);
      if (const auto entry = SavedCorruption(block, former)) {
        return entry;
      }
    }
    FAIL("the corruption log has no entry for block ", block);
    return std::nullopt;
  }

  bool server_is_suitable = true;  // whether the server offers the flags that checksummed exports require
  lab::TemporaryFolder folder;
  lab::StorageServer server;
  lab::DiscoveryThread discovery;
  app::Options options;
  std::unique_ptr<app::Initiator> initiator;
  std::thread thread;
  std::unique_ptr<nbd::BlockingClient> client;
  std::string content = std::string(4 << 20, '\0');
};

TEST_CASE(
    "checksummed export: aligned and unaligned writes are read back, also after a checkpoint and a restart") {
  ExportFixture fixture(1);
  for (int i = 0; i < 60; ++i) {
    const auto offset = fixture.server.WithDevice([](lab::BlockDevice& d) { return d.Draw(1 << 20); });
    const std::string data = RandomData(fixture.server, 1 + static_cast<std::size_t>(offset % 9000));
    REQUIRE(fixture.Put(offset, data).error == nbd::kOk);
    fixture.content.replace(offset, data.size(), data);
  }
  const auto check_all = [&] {
    for (std::uint64_t at = 0; at < (1 << 20); at += 65536) {
      CHECK(nbd::DataOf(fixture.Get(at, 65536)) == fixture.content.substr(at, 65536));
    }
  };
  check_all();
  REQUIRE(fixture.RetryRejected([&] { return fixture.client->Flush(); }).error == nbd::kOk);
  fixture.WaitForCheckpoint();
  check_all();
  fixture.Write(3);
  fixture.StopInitiator();  // with one record in the journal
  fixture.StartInitiator();
  check_all();
  CHECK(fixture.client->size() ==
        integrity::FitGeometry(kSize, integrity::kDefaultJournalBytes)->data_size());
}

TEST_CASE(
    "checksummed export: each kind of corruption is detected, attributed, reported by offset and not "
    "served") {
  for (const int paths : {1, 2}) {
    CAPTURE(paths);
    ExportFixture fixture(paths);
    fixture.Write(0, 16);
    fixture.WaitForCheckpoint();
    fixture.Write(0, 16);  // overwrites the blocks, so that stale content exists
    fixture.WaitForCheckpoint();
    lab::Fault lost_write{CorruptionKind::kLostWrite, -1, 2 * kBlockBytes, 3 * kBlockBytes};
    lab::Fault misdirected_write{CorruptionKind::kMisdirectedWrite, -1, 5 * kBlockBytes, 6 * kBlockBytes,
                                 9 * kBlockBytes};
    lab::Fault torn_write{CorruptionKind::kTornWrite, -1, 12 * kBlockBytes, 13 * kBlockBytes};
    for (const auto& fault : {lost_write, misdirected_write, torn_write}) {
      fixture.server.AddFault(fault);
    }
    fixture.Write(2);
    fixture.Write(5);
    fixture.Write(12);
    fixture.WaitForCheckpoint();
    REQUIRE(fixture.server.injections(CorruptionKind::kMisdirectedWrite) == 1);
    fixture.server.AddFault({CorruptionKind::kStoredBitFlip, -1, 14 * kBlockBytes, 15 * kBlockBytes});
    CHECK(fixture.FindCorruption(2)->fault == Fault::kLostWrite);
    CHECK(fixture.FindCorruption(12)->fault == Fault::kAtRest);
    CHECK(fixture.FindCorruption(14)->fault == Fault::kAtRest);
    CHECK(fixture.FindCorruption(5)->fault == Fault::kLostWrite);
    CHECK(fixture.FindCorruption(9)->fault == Fault::kMisdirectedWrite);
    // Attributed again, since the misplaced block is now known.
    CHECK(fixture.FindCorruption(5, Fault::kLostWrite)->fault == Fault::kMisdirectedWrite);
    fixture.server.AddFault({CorruptionKind::kStaleRead, -1, 7 * kBlockBytes, 8 * kBlockBytes});
    CHECK(fixture.FindCorruption(7)->fault == Fault::kStaleRead);
    fixture.server.AddFault(
        {CorruptionKind::kTransitBitFlip, 0, 1 * kBlockBytes, 2 * kBlockBytes, 0, paths == 1 ? 1 : -1});
    CHECK(fixture.FindCorruption(1)->fault == (paths == 1 ? Fault::kMemory : Fault::kPath));
    fixture.server.ClearFaults();
    // A read of all blocks returns the pieces of intact data and the offsets of the corrupted blocks.
    const nbd::Reply reply = fixture.Get(0, 16 * kBlockBytes);
    CHECK(reply.error == nbd::kIo);
    CHECK(reply.error_offsets == std::vector<std::uint64_t>{2 * kBlockBytes, 5 * kBlockBytes, 9 * kBlockBytes,
                                                            12 * kBlockBytes, 14 * kBlockBytes});
    for (const nbd::Piece& piece : reply.partial) {
      CHECK(piece.data == fixture.content.substr(piece.offset, piece.data.size()));
    }
    for (const std::uint64_t block : {2, 5, 9, 12, 14}) {
      fixture.Write(block);
    }
    CHECK(fixture.Get(0, 16 * kBlockBytes).error == nbd::kOk);
  }
}

TEST_CASE("checksummed export: a draining target gets no commands or checkpoints until it is active again") {
  ExportFixture fixture(1);
  fixture.Write(0, 8);
  fixture.ListTarget(EndpointState::kDraining);
  // Waits for ten consecutive rejections, since a single rejection may have other causes.
  for (int i = 0, rejected = 0; i < 400 && rejected < 10; ++i) {
    rejected = fixture.client->Read(0, 512).error == nbd::kOk ? 0 : rejected + 1;
    poll(nullptr, 0, 10);
  }
  const std::uint64_t commands_before = fixture.server.commands();
  poll(nullptr, 0, 1300);  // a checkpoint is due within this time
  CHECK(fixture.client->Write(0, std::string(kBlockBytes, 'x')).error ==
        nbd::kNoMemory);  // rejected: the write was not executed
  CHECK(fixture.server.commands() == commands_before);
  fixture.ListTarget(EndpointState::kActive);
  for (int i = 0; i < 200 && fixture.client->Read(0, 512).error != nbd::kOk; ++i) {
    poll(nullptr, 0, 5);
  }
  CHECK(nbd::DataOf(fixture.Get(0, 8 * kBlockBytes)) == fixture.content.substr(0, 8 * kBlockBytes));
}

TEST_CASE("scrub: corruption that no client has read is detected") {
  ExportFixture fixture(1, true);
  fixture.Write(0, 16);
  fixture.WaitForCheckpoint();
  fixture.server.AddFault({CorruptionKind::kStoredBitFlip, -1, 11 * kBlockBytes, 12 * kBlockBytes});
  integrity::CorruptionLog corruption_log;
  std::string error;
  for (int i = 0; i < 100 && !corruption_log.IsCorrupt({"a", "disk", 11}); ++i) {
    poll(nullptr, 0, 100);
    integrity::CorruptionLogFile(fixture.folder.path()).Load(&corruption_log, &error);
  }
  REQUIRE(corruption_log.IsCorrupt({"a", "disk", 11}));
  CHECK(corruption_log.Find({"a", "disk", 11})->fault == Fault::kAtRest);
  CHECK(corruption_log.entries().size() == 1);
}

TEST_CASE("checksummed export: a target without the required flush support gets no writes") {
  for (const std::uint16_t lacks : {nbd::kSendFlush, std::uint16_t(nbd::kSendFua | nbd::kCanMultiConn)}) {
    ExportFixture fixture(1, false, 1,
                          static_cast<std::uint16_t>(lab::StorageServerOptions().flags & ~lacks));
    const std::string before =
        fixture.server.WithDevice([](lab::BlockDevice& disk) { return disk.Read(0, kSize); });
    for (int i = 0; i < 2; ++i) {
      CHECK(fixture.client->Write(0, std::string(kBlockBytes, 'x')).error != nbd::kOk);
    }
    CHECK(fixture.server.WithDevice([](lab::BlockDevice& disk) { return disk.Read(0, kSize); }) == before);
  }
}

TEST_CASE(
    "control socket: operator commands are executed; the scrub resumes at its position after a restart") {
  ExportFixture fixture(1, true);
  const std::string path = app::ControlPath(fixture.folder.path());
  const auto query = [&](const std::string& line) { return app::SendControlCommand(path, line); };
  nlohmann::json status = nlohmann::json::parse(query("status"));
  CHECK(status["exports"][0]["state"] == "ready");
  CHECK(status["paths"][0]["state"] == "healthy");
  for (int i = 0; i < 500 && status["scrub"]["exports"][0]["position"] < 20; ++i) {
    poll(nullptr, 0, 20);
    status = nlohmann::json::parse(query("status"));
  }
  CHECK(query("pause") == "ok\n");
  CHECK(nlohmann::json::parse(query("status"))["scrub"]["paused"] == true);
  CHECK(query("recheck letters 3") == "ok\n");
  CHECK(query("recheck letters 99999999")
            .starts_with("error: 99999999 is not a block number of the export; allowed: 0 to"));
  CHECK(
      query("recheck letters x").starts_with("error: x is not a block number of the export; allowed: 0 to"));
  CHECK(query("recheck nothing 1").starts_with("error: no checksummed export is named nothing"));
  CHECK(query("format letters").starts_with("error: unknown command \"format\"; allowed:"));
  CHECK(query(std::string(600, 'x')).starts_with("error: the line is too long"));
  // A second process that uses the same folder does not take over the control socket.
  CHECK_THROWS_WITH(app::Control(fixture.initiator->base(), path, nullptr),
                    (path + " is in use by another running process").c_str());
  status = nlohmann::json::parse(query("status"));
  const auto position = status["scrub"]["exports"][0]["position"].get<std::uint64_t>();
  const auto rounds = status["scrub"]["exports"][0]["rounds"].get<std::uint64_t>();
  fixture.StopInitiator();
  CHECK_FALSE(std::filesystem::exists(path));
  std::string error;
  const auto cursors =
      integrity::DecodeCursors(*filestore::ReadFile(fixture.folder.path() + "/scrub.cursor"), &error);
  REQUIRE(cursors);
  CHECK(cursors->at("letters").block / 16 + 1 >= position);
  CHECK(cursors->at("letters").rounds >= rounds);
  fixture.options.scrub.job.max_requests_per_second = 0.1;  // keeps the resumed position
  fixture.options.scrub.job.min_requests_per_second = 0;
  fixture.StartInitiator();
  status = nlohmann::json::parse(query("status"));
  CHECK(status["scrub"]["exports"][0]["position"] >= position);
  CHECK(status["scrub"]["exports"][0]["rounds"] >= rounds);
}

TEST_CASE("control socket: a stale socket is replaced, a file of another kind is not") {
  const lab::TemporaryFolder folder;
  const std::string path = app::ControlPath(folder.path());
  const loop::EventBasePtr base(event_base_new());
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  path.copy(address.sun_path, sizeof address.sun_path - 1);
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  close(fd);  // the file remains
  { const app::Control control(base.get(), path, nullptr); }
  folder.Put("control.sock", "a letter");
  CHECK_THROWS_WITH(app::Control(base.get(), path, nullptr), (path + " exists and is not a socket").c_str());
  CHECK(filestore::ReadFile(path) == "a letter");
  CHECK_THROWS(app::Control(base.get(), path + std::string(120, 'x'), nullptr));
}

TEST_CASE("checksummed export: an unformatted export is rejected and not modified") {
  ExportFixture fixture(1);
  fixture.StopInitiator();
  fixture.server.WithDevice([](lab::BlockDevice& disk) {
    disk.Write(kSize - 2 * kBlockBytes, std::string(2 * kBlockBytes, 'x'), true);
  });
  const std::string before =
      fixture.server.WithDevice([](lab::BlockDevice& disk) { return disk.Read(0, kSize); });
  auto json = BasicConfig();
  json["discovery"] = "127.0.0.1:" + std::to_string(fixture.discovery.port());
  fixture.initiator = std::make_unique<app::Initiator>(app::ParseConfig(json), fixture.options);
  fixture.thread = std::thread([&] { fixture.initiator->Run(); });
  fixture.client = fixture.Connect();
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.client->Write(0, std::string(kBlockBytes, 'x')).error != nbd::kOk);
  }
  CHECK(fixture.server.WithDevice([](lab::BlockDevice& disk) { return disk.Read(0, kSize); }) == before);
}

}  // namespace
}  // namespace walnutspur::test

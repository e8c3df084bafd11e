// A box stands still for a moment while writes are under way to it. Checks that a write that was refused ("a retry is
// harmless") is not executed, and that no write is executed twice.
#include "../common/nbd_lab.h"

namespace {

using namespace lab;

constexpr std::uint32_t kBlock = 1 << 20;  // the largest command
constexpr std::uint64_t kSize = 64ULL << 20;
constexpr int kRounds = 6;
constexpr int kWrites = 4;                   // at a time
constexpr std::int64_t kStillMs = 218;       // the pages: a box stands still for 94 to 220 ms
constexpr std::int64_t kBetweenMs = 3'500;   // every 3.3 to 8.4 s
constexpr int kBoxReceiveBuffer = 64 << 10;  // bytes
constexpr int kSegmentBytes = 1'400;         // of an ordinary link; the loopback's would be 64 KiB

// A box that can stand still: it takes nothing from its connections and executes nothing meanwhile.
class Box {
 public:
  explicit Box(Record* record) : record_(record) {
    listener_ = ListenOn(0, &port_);
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &kBoxReceiveBuffer, sizeof kBoxReceiveBuffer);
    setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          std::thread([this, fd] {
            NbdServerConnection::Serve(
                fd, kSize, kHasFlags | kSendFlush | kSendFua, [this] { WaitWhileStill(); },
                [this](const NbdCommand& command, std::string* data) { return Execute(command, data); });
          }).detach();
        }
      }
    }).detach();
  }
  int port() const { return port_; }
  void StandStill(bool still) {
    const std::lock_guard<std::mutex> lock(mutex_);
    still_ = still;
    moves_.notify_all();
    record_->Line(still ? "box: stands still" : "box: goes on");
  }
  int executions(const std::string& tag) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return executions_[tag];
  }

 private:
  void WaitWhileStill() {
    std::unique_lock<std::mutex> lock(mutex_);
    moves_.wait(lock, [this] { return !still_; });
  }
  std::uint32_t Execute(const NbdCommand& command, std::string* data) {
    if (command.type == kNbdRead) {
      data->assign(command.length, '\0');
    } else if (command.type == kNbdWrite) {
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::string tag = command.data.substr(0, command.data.find(' '));
      record_->Line("box: executes write %s, %d times now", tag.c_str(), ++executions_[tag]);
    }
    return 0;
  }

  Record* record_;
  int port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable moves_;
  bool still_ = false;
  std::map<std::string, int> executions_;  // by the write's tag
};

std::string ContentOf(const std::string& tag) {
  std::string content = tag + " ";
  content.resize(kBlock, '.');
  return content;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const std::string root = argv[1];
  const std::string folder = argv[2];
  const std::string temporary = argv[3];
  const char* text = std::getenv("TROUBLE");
  const bool trouble = text == nullptr || std::string(text) != "0";
  signal(SIGPIPE, SIG_IGN);
  EndAfter(100);
  Record record(folder + "/record.txt");
  Box box(&record);
  Discovery discovery(&record);
  discovery.Set({"s-5be2a07c", "127.0.0.1:" + std::to_string(box.port()), 3, "SERVING", 0});

  NbdSettings nbd;
  nbd.box_port = box.port();
  nbd.listen_port = FreePort();
  nbd.size = kSize;
  nbd.unit_bytes = kBlock;
  nbd.read_class = "schedule-export";
  nbd.write_class = "new-booking";
  const int port = FreePort();
  const std::string config = temporary + "/config.json";
  WriteFile(temporary + "/nbd.toml", FormatNbd(nbd));
  WriteConfig(config, port, discovery.port(),
              Settings({{"schedule-export", 750'000, 2'500'000, "safe", false},
                        {"new-booking", 200'000, 1'200'000, "unsafe", true}}));
  StartProcess(root, DeployCommand(root, "run") + " --nbd " + temporary + "/nbd.toml",
               {{"BALANCER_CONFIG", config}, {"TMPDIR", temporary}}, temporary + "/log");
  if (!WaitReady(port, 30'000)) {
    CannotRun("the program is not ready");
  }
  SleepMs(1'000);
  WaitingClient client;
  if (!client.Open(nbd.listen_port)) {
    CannotRun("the NBD front end does not take the client");
  }
  for (int i = 0; i < 5; ++i) {
    client.Call(kNbdWrite, 0, kBlock, ContentOf("warm-" + std::to_string(i)));
  }

  int refused = 0;
  int refused_and_run = 0;
  int twice = 0;
  std::vector<std::string> tags;
  for (int round = 0; round < kRounds; ++round) {
    if (trouble) {
      box.StandStill(true);
    }
    const std::int64_t began = NowMs();
    struct Write {
      std::string tag;
      std::uint64_t offset = 0;
      std::uint64_t cookie = 0;
    };
    std::vector<Write> writes;
    for (int i = 0; i < kWrites; ++i) {
      Write write;
      write.tag = std::to_string(round) + "-" + std::to_string(i);
      write.offset = static_cast<std::uint64_t>(round * kWrites + i) % (kSize / kBlock) * kBlock;
      write.cookie = client.Send(kNbdWrite, write.offset, kBlock, ContentOf(write.tag));
      writes.push_back(write);
      tags.push_back(write.tag);
    }
    record.Line("client: writes %d-0 to %d-%d and a read are sent", round, round, kWrites - 1);
    const std::uint64_t read = client.Send(kNbdRead, 0, 4096);
    SleepMs(std::max<std::int64_t>(0, began + kStillMs - NowMs()));
    if (trouble) {
      box.StandStill(false);
    }
    client.Wait(read, 4'000);
    std::vector<Write> again;
    for (const Write& write : writes) {
      const auto result = client.Wait(write.cookie, 4'000);
      record.Line("client: write %s: %s, error %u", write.tag.c_str(), result.replied ? "answered" : "not answered",
                  result.error);
      if (result.replied && result.error == kErrorNoMemory) {
        again.push_back(write);
      }
    }
    SleepMs(1'000);
    for (const Write& write : again) {
      ++refused;
      if (box.executions(write.tag) > 0) {
        ++refused_and_run;
        record.Line("broken: write %s was refused, and was executed", write.tag.c_str());
      }
      // The refusal says that the client may send it again.
      const auto result = client.Call(kNbdWrite, write.offset, kBlock, ContentOf(write.tag));
      record.Line("client: write %s again: error %u", write.tag.c_str(), result.error);
    }
    SleepMs(std::max<std::int64_t>(0, began + kBetweenMs - NowMs()));
  }
  for (const std::string& tag : tags) {
    if (box.executions(tag) > 1) {
      ++twice;
      record.Line("broken: write %s was executed %d times", tag.c_str(), box.executions(tag));
    }
  }
  record.Line("%zu writes, %d refused, %d of them executed all the same; %d executed twice", tags.size(), refused,
              refused_and_run, twice);
  std::printf("%zu writes, %d refused, %d of them executed all the same; %d executed twice\n", tags.size(), refused,
              refused_and_run, twice);
  Exit(refused_and_run > 0 || twice > 0 ? 1 : 0);
}

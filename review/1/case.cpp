// A new version takes over under load while clients read large answers slowly.
// Checks: an answer that the initiator has begun, and whose target gives all of it, arrives whole at its client.
#include "../common/lab.h"

using namespace lab;

namespace {

constexpr int kShards = 4;
constexpr int kClients = 96;
constexpr std::size_t kSmallest = 850 << 10;  // bytes of the first client's answer; each next one is larger by kStep
constexpr std::size_t kStep = 2000;
constexpr int kBytesPerSecond = 128000;  // a client reads at this rate, twice the 64 kB a second of the pages
constexpr int kSegmentBytes = 1400;      // as on a link with an MTU of 1,500
constexpr std::int64_t kMsToSigterm = 6000;
constexpr std::int64_t kMsToSigkill = 2500 + 700;

const char* kSettings = R"({"nInstances":1,"discovery":"subscribe","granularity":2000,"index":0,"layer":0,
"layers":["booking-store"],"workload":"stores","weights":"rough","zone":0,"zones":["mill-building","annex"],
"hostTypes":["standard-box"],"clients":{"marksRetry":true},
"classes":[
{"name":"slot-lookup","aim":120000,"deadline":750000,"effect":"safe","group":"all","lateWorth":0.1,"memorySpan":5000000,"stream":false,"worth":3.0},
{"name":"new-booking","aim":200000,"deadline":1200000,"effect":"unsafe","group":"all","lateWorth":0.1,"memorySpan":5000000,"stream":false,"worth":2.0},
{"name":"schedule-export","aim":750000,"deadline":2500000,"effect":"safe","group":"all","lateWorth":0.3,"memorySpan":5000000,"stream":false,"worth":1.0}],
"policies":[{"burst":0.0,"floorRate":60.0,"limit":0.0,"name":"grade-a","parts":1.0,"rate":60.0,"slack":0.0,"valueFactor":1.5}],
"extra":{"beyondShare":0.1,"changesData":[false,true,false],"coldUnits":11.0,"countsOthers":false,"fairWorth":0.35,"largest":6,"meterPeriod":0,"shards":4,"usualUnits":2.05},
"limits":{"cancel":true,"connIdle":30000000,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeout":250000,"maxRetryAfter":500000,"mostHeld":26666,"multiplex":100,"peers":false,"probing":false,"retryAfter":false,"secondCopies":true,"tryLimit":3},
"rules":{"askEvery":10000000,"coldShare":0.18,"drainGrace":500000,"graceToAnswer":8000,"overloadFor":2000000,"tipMultiple":2.0,"warmUp":17000000},
"telemetry":{"fields":["queue"],"how":"silent"}})";

// A target: answers each request with the number of bytes that the path's last part names.
int StartTarget(Record* record) {
  int port = 0;
  const int listener = ListenOn(0, &port);
  std::thread([listener, record] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      std::thread([fd, record] {
        std::string head;
        while (ReadHead(fd, &head)) {
          SleepMs(5);
          const std::size_t space = head.find(" HTTP/");
          const std::size_t bytes = std::strtoul(head.substr(space - 16, 16).c_str(), nullptr, 16);
          const bool given = WriteAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n") &&
                             WriteAll(fd, std::string(bytes, 'd'));
          record->Line("target: answer of %zu bytes %s", bytes, given ? "given whole" : "not given whole");
          if (!given) {
            break;
          }
        }
        close(fd);
      }).detach();
    }
  }).detach();
  return port;
}

// Returns the reply to one call of the staff; empty if there is none.
std::string Manage(int port, const std::string& line) {
  const int fd = ConnectTo(port);
  if (fd < 0) {
    return "";
  }
  const timeval limit{2, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  WriteAll(fd, line + "\n");
  std::string reply;
  char byte = 0;
  while (ReadAll(fd, &byte, 1) && byte != '\n') {
    reply.push_back(byte);
  }
  close(fd);
  return reply;
}

int OpenClient(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const std::string root = argv[1];
  const std::string folder = argv[2];
  const std::string temporary = argv[3];
  EndAfter(110);
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  Record record(folder + "/record.txt");
  Discovery discovery(&record);
  for (int shard = 0; shard < kShards; ++shard) {
    discovery.Set({"s-" + std::to_string(shard), "127.0.0.1:" + std::to_string(StartTarget(&record)), shard, "SERVING", 0});
  }
  const int http_port = FreePort();
  const auto start = [&](const std::string& name, int management_port) {
    WriteFile(temporary + "/" + name + ".json",
              "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(http_port) + "\",\"management\":\"127.0.0.1:" +
                  std::to_string(management_port) + "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery.port()) +
                  "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                  "\"settings\":" +
                  kSettings + "}");
    return StartProcess(root, DeployCommand(root, "run"),
                        {{"BALANCER_CONFIG", temporary + "/" + name + ".json"}, {"TMPDIR", temporary}},
                        temporary + "/" + name + ".log");
  };
  const pid_t first = start("first", FreePort());
  if (!WaitReady(http_port, 15000)) {
    CannotRun("the program is not ready: " + ReadFile(temporary + "/first.log"));
  }

  std::mutex mutex;
  std::condition_variable changed;
  int warm = 0;
  bool go = false;
  std::atomic<int> whole{0}, cut{0}, other{0}, done{0};
  std::atomic<std::int64_t> last_end{0};
  std::atomic<std::int64_t> kill_due{INT64_MAX};  // from here on an unfinished answer is excused: SIGKILL
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      int fd = OpenClient(http_port);
      std::uint64_t id = 0x100000u * static_cast<unsigned>(number + 1);
      const auto send_request = [&](std::size_t bytes) {
        char request[512];
        std::snprintf(request, sizeof request,
                      "GET /api/00000003b4d6%04x/%016zx HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %016llx\r\n"
                      "X-Class: schedule-export\r\nX-Plan: grade-a\r\nX-Deadline: 2.5\r\nX-IO: units=1,shard=%d,hosts=1\r\n\r\n",
                      number, bytes, static_cast<unsigned long long>(id), number % kShards);
        return fd >= 0 && WriteAll(fd, request);
      };
      std::string head;
      std::vector<char> buffer(kBytesPerSecond / 20);
      // Two small requests, so that the connection is one in use.
      for (int i = 0; i < 2; ++i) {
        ++id;
        std::size_t length = 0;
        if (send_request(64) && ReadHead(fd, &head)) {
          length = std::strtoul(head.c_str() + head.find("Content-Length: ") + 16, nullptr, 10);
          std::string body(length, '\0');
          ReadAll(fd, body.data(), length);
        }
      }
      {
        std::unique_lock<std::mutex> lock(mutex);
        ++warm;
        changed.notify_all();
        changed.wait(lock, [&] { return go; });
      }
      SleepMs(number * 2);
      ++id;
      const std::size_t bytes = kSmallest + static_cast<std::size_t>(number) * kStep;
      record.Line("client %d: asks for %zu bytes", number, bytes);
      if (!send_request(bytes) || !ReadHead(fd, &head)) {
        // The connection was closed between requests: the client sends the request once more on a new one.
        close(fd);
        fd = OpenClient(http_port);
        record.Line("client %d: connection closed between requests, asks once more", number);
        if (!send_request(bytes) || !ReadHead(fd, &head)) {
          record.Line("client %d: no answer", number);
          ++other;
          ++done;
          return;
        }
      }
      const bool last = head.find("Connection: close") != std::string::npos;
      record.Line("client %d: %s%s", number, head.substr(0, head.find('\r')).c_str(), last ? ", Connection: close" : "");
      if (head.find(" 200 ") == std::string::npos) {
        ++other;
      } else {
        std::size_t got = 0;
        bool excused = false;
        const std::int64_t begin = NowMs();
        while (got < bytes) {
          const ssize_t size = recv(fd, buffer.data(), std::min(buffer.size(), bytes - got), 0);
          if (size <= 0) {
            excused = NowMs() >= kill_due;
            record.Line("%s: client %d: the connection ended (%s) after %zu of %zu bytes",
                        excused ? "excused by SIGKILL" : "BROKEN", number, size == 0 ? "FIN" : std::strerror(errno), got,
                        bytes);
            break;
          }
          got += static_cast<std::size_t>(size);
          const std::int64_t due = begin + static_cast<std::int64_t>(got) * 1000 / kBytesPerSecond;
          if (due > NowMs()) {
            SleepMs(due - NowMs());
          }
        }
        if (got == bytes) {
          record.Line("client %d: all %zu bytes", number, bytes);
        }
        ++(got == bytes ? whole : excused ? other : cut);
      }
      last_end = NowMs();
      ++done;
      close(fd);
    });
  }
  {
    std::unique_lock<std::mutex> lock(mutex);
    if (!changed.wait_for(lock, std::chrono::seconds(20), [&] { return warm == kClients; })) {
      CannotRun("the clients are not served");
    }
  }
  std::int64_t yes_at = NowMs();
  if (trouble) {
    const int management_port = FreePort();
    record.Line("operator: starts a new version beside the running one");
    start("second", management_port);
    const std::int64_t limit = NowMs() + 15000;
    while (Manage(management_port, "health").rfind("done", 0) != 0) {
      if (NowMs() > limit) {
        CannotRun("the second process is not ready: " + ReadFile(temporary + "/second.log"));
      }
      SleepMs(20);
    }
    yes_at = NowMs();
    record.Line("operator: the new version says yes");
  }
  SleepMs(50);
  {
    const std::lock_guard<std::mutex> lock(mutex);
    go = true;
    changed.notify_all();
  }
  if (trouble) {
    kill_due = yes_at + kMsToSigterm + kMsToSigkill;
    SleepMs(yes_at + kMsToSigterm - NowMs());
    record.Line("operator: SIGTERM to the old version; %d of %d clients are done", done.load(), kClients);
    kill(first, SIGTERM);
    if (!WaitFor(first, kMsToSigkill)) {
      record.Line("operator: SIGKILL to the old version");
      kill(first, SIGKILL);
    } else {
      record.Line("the old version has ended");
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("answers: %d whole, %d cut off, %d other; the last one ended at %lld, SIGTERM was due at %lld", whole.load(),
              cut.load(), other.load(), static_cast<long long>(last_end.load()),
              static_cast<long long>(yes_at + kMsToSigterm));
  std::printf("answers: %d whole, %d cut off, %d other\n", whole.load(), cut.load(), other.load());
  if (whole + cut == 0) {
    CannotRun("no answer was begun");
  }
  Exit(cut > 0 ? 1 : 0);
}

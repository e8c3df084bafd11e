// Stand-ins over HTTP/1.1: a target that serves one request at a time on each connection and counts what it runs,
// and a client with a connection that it keeps.
#ifndef REVIEW_COMMON_2_HTTP_LAB_H_
#define REVIEW_COMMON_2_HTTP_LAB_H_

#include "lab.h"

namespace lab {

// Returns the value of a field of a head, or an empty text.
inline std::string Field(const std::string& head, const std::string& name) {
  const std::string lower = "\r\n" + name + ": ";
  const std::size_t at = head.find(lower);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + lower.size();
  return head.substr(from, head.find("\r\n", from) - from);
}

struct HttpMessage {
  std::string head;  // with the empty line
  std::string body;
};

// Reads one message with a Content-Length, or without a body. False at an end or a timeout (seconds; 0: none).
inline bool ReadMessage(int fd, HttpMessage* message, double timeout = 0) {
  message->head.clear();
  std::string byte;
  while (message->head.find("\r\n\r\n") == std::string::npos) {
    if (!ReadAll(fd, 1, &byte, timeout)) {
      return false;
    }
    message->head += byte;
  }
  const std::string length = Field(message->head, "Content-Length");
  return ReadAll(fd, length.empty() ? 0 : std::stoul(length), &message->body, timeout);
}

class Target {
 public:
  explicit Target(std::string name) : name_(std::move(name)), listener_(Listen()) {
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return PortOf(listener_); }
  // The time that a request takes, seconds.
  std::function<double(const std::string& id)> work;
  // Writes the answer to a request in place of the usual one; returns whether the connection stays open.
  std::function<bool(int fd, const std::string& id)> answer;
  int runs(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[id];
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }
  void Serve(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    HttpMessage request;
    while (ReadMessage(fd, &request)) {
      const std::string id = Field(request.head, "X-Request-Id");
      const std::string line = request.head.substr(0, request.head.find("\r\n"));
      int number = 0;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        number = ++runs_[id];
      }
      Record("target %s: runs %s, id %s, time %d", name_.c_str(), line.c_str(), id.c_str(), number);
      Sleep(work ? work(id) : 0.02);
      if (answer) {
        if (!answer(fd, id)) {
          break;
        }
        continue;
      }
      const std::string body = "done " + id + " time " + std::to_string(number) + "\n";
      if (!WriteAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
        break;
      }
    }
    close(fd);
  }

  std::string name_;
  int listener_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

// A connection of a client. An answer without a status is empty.
class HttpClient {
 public:
  explicit HttpClient(int port) : fd_(Connect(port)) {
    if (fd_ < 0) {
      CannotRun("a client could not connect");
    }
  }
  ~HttpClient() { close(fd_); }
  bool Send(const std::string& request) { return WriteAll(fd_, request); }
  // Returns the status line and the body of the answer.
  std::string Receive(double timeout) {
    HttpMessage answer;
    if (!ReadMessage(fd_, &answer, timeout)) {
      return "no answer";
    }
    return answer.head.substr(0, answer.head.find("\r\n")) + " / " + answer.body.substr(0, answer.body.find('\n'));
  }

  // Returns the bytes of an answer with a Content-Length, as many as come.
  std::string ReceiveAll(double timeout) {
    std::string bytes;
    char buffer[65536];
    std::size_t whole = std::string::npos;
    for (const double until = Now() + timeout; Now() < until && bytes.size() < whole;) {
      pollfd polled{fd_, POLLIN, 0};
      if (poll(&polled, 1, 50) <= 0) {
        continue;
      }
      const ssize_t size = recv(fd_, buffer, sizeof buffer, 0);
      if (size <= 0) {
        Record("client: the connection ends (%s)", size == 0 ? "closed" : std::strerror(errno));
        break;
      }
      bytes.append(buffer, static_cast<std::size_t>(size));
      const std::size_t head = bytes.find("\r\n\r\n");
      if (head != std::string::npos && whole == std::string::npos) {
        const std::string length = Field(bytes.substr(0, head + 4), "Content-Length");
        whole = length.empty() ? whole : head + 4 + std::stoul(length);
      }
    }
    return bytes;
  }

 private:
  int fd_;
};

inline std::string WriteRequest(const std::string& id, const std::string& deadline, int shard) {
  const std::string body = "a booking";
  return "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + id +
         "\r\nX-Class: new-booking\r\nX-Plan: grade-a\r\nX-Deadline: " + deadline +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nX-IO: units=1,shard=" + std::to_string(shard) +
         ",hosts=1\r\n\r\n" + body;
}

inline std::string TargetMember(const std::string& id, int port, int cell) {
  return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"locality\":\"\",\"flavor\":\"\",\"cell\":" + std::to_string(cell) +
         ",\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}";
}

inline std::string ReadRequest(const std::string& id, const std::string& deadline, int shard) {
  return "GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + id +
         "\r\nX-Class: slot-lookup\r\nX-Plan: grade-a\r\nX-Deadline: " + deadline +
         "\r\nX-IO: units=1,shard=" + std::to_string(shard) + ",hosts=1\r\n\r\n";
}

// The settings of a small deployment: lookups that are safe to repeat, bookings that must never run twice.
inline std::string HttpConfigText(int listen, int management, int discovery, const std::string& known) {
  return R"({"name":"n1","listen":"127.0.0.1:)" + std::to_string(listen) + R"(","management":"127.0.0.1:)" +
         std::to_string(management) + R"(","discovery":"127.0.0.1:)" + std::to_string(discovery) +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" + known +
         R"(,"settings":{"nInstances":1,"discovery":"subscribe","classes":[
  {"name":"slot-lookup","aim":120000,"deadline":750000,"effect":"safe","worth":3,"lateWorth":0.2},
  {"name":"new-booking","aim":200000,"deadline":1200000,"effect":"unsafe","worth":2,"lateWorth":0.2},
  {"name":"schedule-export","aim":750000,"deadline":2500000,"effect":"safe","worth":1,"lateWorth":0.2}],
  "policies":[{"name":"grade-a","rate":400,"floorRate":400}],
  "rules":{"askEvery":10000000,"drainGrace":500000,"graceToAnswer":8000,"coldShare":0.18,"warmUp":1000000,
           "tipMultiple":2.0,"overloadFor":2000000},
  "limits":{"tryLimit":3,"cancel":true,"probing":true,"maxRetryAfter":2000000,"connIdle":30000000,
            "dialTimeout":250000},
  "extra":{"largest":6,"usualUnits":1.0,"shards":4,"coldUnits":10,"changesData":[false,true,false]},
  "telemetry":{"fields":["queue"]}}})";
}

}  // namespace lab

#endif  // REVIEW_COMMON_2_HTTP_LAB_H_

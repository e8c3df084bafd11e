// Stand-ins for the HTTP side of the cases: a target, a client, and the platform's configuration file. They follow
// the protocol pages. Everything is on 127.0.0.1.
#ifndef REVIEW_COMMON_HTTP_LAB_H_
#define REVIEW_COMMON_HTTP_LAB_H_

#include <algorithm>
#include <cctype>

#include "lab.h"

namespace lab {

// ---- the platform's configuration ----

struct RequestClass {
  std::string name;
  int aim_us = 0;
  int deadline_us = 0;
  std::string effect = "safe";
  bool writes = false;
};

// Returns the `settings` of a small deployment with these classes; the other figures are those of the wire page's
// example.
inline std::string Settings(const std::vector<RequestClass>& classes) {
  std::string list;
  std::string writes;
  for (const RequestClass& each : classes) {
    const std::string comma = list.empty() ? "" : ",";
    list += comma + "{\"name\":\"" + each.name + "\",\"aim\":" + std::to_string(each.aim_us) +
            ",\"deadline\":" + std::to_string(each.deadline_us) + ",\"effect\":\"" + each.effect +
            "\",\"group\":\"all\",\"lateWorth\":0.1,\"memorySpan\":5000000,\"stream\":false,\"worth\":2.0}";
    writes += comma + (each.writes ? "true" : "false");
  }
  return "{\"classes\":[" + list +
         "],\"clients\":{\"marksRetry\":true},\"discovery\":\"subscribe\","
         "\"extra\":{\"beyondShare\":0.1,\"changesData\":[" +
         writes +
         "],\"coldUnits\":11.0,\"countsOthers\":true,\"fairWorth\":0.35,\"largest\":6,\"meterPeriod\":1000000,"
         "\"shards\":10,\"usualUnits\":2.05},"
         "\"granularity\":2000,\"hostTypes\":[\"standard-box\"],\"index\":0,\"layer\":0,\"layers\":[\"booking-store\"],"
         "\"limits\":{\"cancel\":true,\"connIdle\":30000000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":400000,"
         "\"dialTimeout\":250000,\"maxRetryAfter\":500000,\"mostHeld\":26666,\"multiplex\":100,\"peers\":false,"
         "\"probing\":true,\"retryAfter\":false,\"secondCopies\":true,\"tryLimit\":3},"
         "\"nInstances\":1,"
         "\"policies\":[{\"burst\":0.0,\"floorRate\":400.0,\"limit\":0.0,\"name\":\"grade-a\",\"parts\":1.0,"
         "\"rate\":400.0,\"slack\":0.0,\"valueFactor\":1.5}],"
         "\"rules\":{\"askEvery\":10000000,\"coldShare\":0.18,\"drainGrace\":500000,\"graceToAnswer\":8000,"
         "\"overloadFor\":2000000,\"tipMultiple\":2.0,\"warmUp\":17000000},"
         "\"telemetry\":{\"fields\":[\"queue\"],\"how\":\"piggyback\"},\"weights\":\"rough\",\"workload\":\"stores\","
         "\"zone\":0,\"zones\":[\"mill-building\",\"annex\"]}";
}

// Writes the file that the platform writes, in one step, as a running program may read it at any time.
inline void WriteConfig(const std::string& path, int listen_port, int discovery_port, const std::string& settings) {
  const std::string next = path + ".next";
  WriteFile(next, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + std::to_string(listen_port) +
                      "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery_port) +
                      "\",\"seed\":\"8c1f30d27a5be964\","
                      "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"settings\":" +
                      settings + "}");
  if (std::rename(next.c_str(), path.c_str()) != 0) {
    CannotRun("cannot write the configuration");
  }
}

// ---- HTTP ----

// Returns the value of a header, or an empty string.
inline std::string Header(const std::string& head, const std::string& name) {
  std::istringstream lines(head);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(':');
    if (colon != name.size() || !std::equal(name.begin(), name.end(), line.begin(), [](char a, char b) {
          return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
        })) {
      continue;
    }
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    return begin == std::string::npos ? "" : line.substr(begin, line.find_last_not_of("\r\n ") + 1 - begin);
  }
  return "";
}

inline bool ReadBody(int fd, const std::string& head, std::string* body) {
  const std::string length = Header(head, "Content-Length");
  body->assign(length.empty() ? 0 : std::stoul(length), '\0');
  return body->empty() || ReadAll(fd, body->data(), body->size());
}

struct HttpRequest {
  std::string method, uri, id, body;
};

// A target that answers one request at a time on a connection. `answer` returns the body of the 200.
class HttpTarget {
 public:
  using Answer = std::function<std::string(const HttpRequest&)>;

  explicit HttpTarget(Answer answer) : answer_(std::move(answer)) {
    listener_ = ListenOn(0, &port_);
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          std::thread([this, fd] { Serve(fd); }).detach();
        }
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  void Serve(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string head;
    while (ReadHead(fd, &head)) {
      HttpRequest request;
      std::istringstream line(head);
      line >> request.method >> request.uri;
      request.id = Header(head, "X-Request-Id");
      if (!ReadBody(fd, head, &request.body)) {
        break;
      }
      if (request.uri == "/-/healthy") {
        WriteAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const std::string body = answer_(request);
      if (!WriteAll(fd, "HTTP/1.1 200 OK\r\nX-Load: {\"queue\":0}\r\nContent-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body)) {
        break;
      }
    }
    close(fd);
  }

  Answer answer_;
  int port_ = 0;
  int listener_ = -1;
};

// Returns the id of a client's request.
inline std::string RequestId(std::uint64_t number) {
  char id[32];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(0x9b1f000000000000ULL + number));
  return id;
}

// Returns a request of a client; `number` makes its id and its piece of data.
inline std::string FormatRequest(const std::string& method, const std::string& request_class, std::uint64_t number,
                                 const std::string& deadline_s, const std::string& body) {
  char key[32];
  std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(0x7f3a000000000000ULL + number));
  std::string text = method + " /api/00000003b4d60021/" + key +
                     " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + RequestId(number) +
                     "\r\nX-Class: " + request_class + "\r\nX-Plan: grade-a\r\nX-Deadline: " + deadline_s +
                     "\r\nX-IO: units=1,shard=3,hosts=1\r\n";
  if (method == "PUT") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

}  // namespace lab

#endif  // REVIEW_COMMON_HTTP_LAB_H_

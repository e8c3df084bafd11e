#include "scenario_runner.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "http/messages.h"

namespace walnutspur::test {
namespace {

using nlohmann::json;
constexpr int kPatience = 4'000;  // ms that a stand-in waits for what must come
constexpr std::uint32_t kBytes = 4096;

std::vector<std::string> Words(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

// The text in quotes, with \r, \n, \xNN and \" as in C.
std::string Quoted(const std::string& line) {
  const std::size_t open = line.find('"');
  std::string text;
  for (std::size_t i = open + 1; i < line.size() && line[i] != '"'; ++i) {
    if (line[i] != '\\') {
      text += line[i];
    } else if (line[++i] == 'x') {
      text += static_cast<char>(std::stoi(line.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += line[i] == 'r' ? '\r' : line[i] == 'n' ? '\n' : line[i];
    }
  }
  return text;
}

}  // namespace

// ---- sockets ----

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  fd_ = std::exchange(other.fd_, -1);
  bytes = std::move(other.bytes);
  return *this;
}

Socket Socket::Listen(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  socklen_t length = sizeof address;
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0);
  REQUIRE(listen(fd, 64) == 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  *port = ntohs(address.sin_port);
  return Socket(fd);
}

Socket Socket::Connect(int port, int fd) {
  if (fd < 0) fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  return Socket(fd);
}

Socket Socket::Accept() const { return Socket(accept(fd_, nullptr, nullptr)); }

bool Socket::Readable(int ms) const {
  pollfd poller{fd_, POLLIN, 0};
  return poll(&poller, 1, ms) > 0;
}

bool Socket::Fill(int ms) {
  if (fd_ < 0 || !Readable(ms)) return false;
  char chunk[65536];
  const ssize_t size = recv(fd_, chunk, sizeof chunk, 0);
  if (size <= 0) {
    Close();
    return false;
  }
  bytes.append(chunk, static_cast<std::size_t>(size));
  return true;
}

bool Socket::Send(const std::string& text) {
  return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

void Socket::Close(bool reset) {
  if (fd_ < 0) return;
  const linger now{1, 0};
  if (reset) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(std::exchange(fd_, -1));
}

std::string Message::Header(const std::string& name) const {
  const std::size_t at = headers.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t from = at + name.size() + 4;
  return headers.substr(from, headers.find("\r\n", from) - from);
}

bool ReadMessage(Socket& socket, Message* message, int ms) {
  while (true) {
    const std::size_t end = socket.bytes.find("\r\n\r\n");
    if (end != std::string::npos) {
      Message m;
      m.start = socket.bytes.substr(0, socket.bytes.find("\r\n"));
      m.headers = socket.bytes.substr(m.start.size(), end + 2 - m.start.size());
      const std::string length = m.Header("Content-Length");
      const std::size_t size = length.empty() ? 0 : std::stoul(length);
      if (socket.bytes.size() >= end + 4 + size) {
        m.body = socket.bytes.substr(end + 4, size);
        socket.bytes.erase(0, end + 4 + size);
        *message = m;
        return true;
      }
    }
    if (!socket.Fill(ms)) return false;
  }
}

// ---- the stage ----

json BasicConfig() {
  const json read = {{"name", "read"},   {"aim", 400000}, {"deadline", 1200000},
                     {"effect", "safe"}, {"worth", 3.0},  {"lateWorth", 0.1}};
  json quick = read;  // the tightest aim: it sets how patient the module is with a node
  quick["name"] = "quick";
  quick["aim"] = 120000;
  json write = read;
  write["name"] = "write";
  write["effect"] = "unsafe";
  write["worth"] = 2.0;
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", 1024}}},
          {"settings",
           {{"nInstances", 1},
            {"discovery", "subscribe"},
            {"classes", {read, write, quick}},
            {"policies", {{{"name", "basic"}, {"rate", 50.0}, {"floorRate", 50.0}}}},
            {"rules",
             {{"askEvery", 10000000},
              {"drainGrace", 500000},
              {"graceToAnswer", 8000},
              {"coldShare", 0.2},
              {"warmUp", 1000000},
              {"tipMultiple", 2.0},
              {"overloadFor", 1000000}}},
            {"limits",
             {{"tryLimit", 3},
              {"cancel", true},
              {"probing", true},
              {"maxRetryAfter", 500000},
              {"connIdle", 3000000},
              {"dialTimeout", 250000}}},
            {"extra",
             {{"largest", 16},
              {"usualUnits", 1.0},
              {"shards", 4},
              {"coldUnits", 20.0},
              {"changesData", {false, true, false}}}},
            {"telemetry", {{"fields", {"queue"}}}}}}};
}

ScenarioRunner::ScenarioRunner(core::Protocol wire, const json& basic, app::Options options,
                               http::DigestOptions digests)
    : wire_(wire) {
  json config = basic;
  int port = 0;
  discovery_ = Socket::Listen(&port);
  config["discovery"] = "127.0.0.1:" + std::to_string(port);
  config_ = config;
  discovery_port_ = port;
  int cell = 0;
  for (const char* name : {"a", "b"}) {
    Box& box = boxes_[name];
    box.listener = Socket::Listen(&box.port);
    box.cell = cell++;
  }
  if (wire == core::Protocol::kNbd) {
    char path[] = "/tmp/walnutspur-nbd-XXXXXX";
    close(mkstemp(path));
    options.nbd = nbd_file_ = path;
    std::ofstream file(path);
    file << "listen = \"127.0.0.1:0\"\nhandshake_s = 0.3\nidle_s = 1\n"
         << "[commands]\nread = \"read\"\nwrite = \"write\"\nflush = \"write\"\n";
    for (const auto& [name, box] : boxes_) {
      file << "[[box]]\nid = \"" << name << "\"\naddress = \"127.0.0.1:" << box.port << "\"\n"
           << "[[export]]\nname = \"" << name << "\"\nvolume = \"v\"\nplan = \"basic\"\nshard = " << box.cell
           << "\nbox = \"" << name << "\"\nsize = 1048576\n";
      exports_.push_back({name, 1048576, 65536, nbd::kHasFlags | nbd::kSendFlush | nbd::kSendFua});
    }
  }
  http::Config parsed = app::ParseConfig(config);
  parsed.digests = digests;
  initiator_ = std::make_unique<app::Initiator>(std::move(parsed), options);
  initiator_->ReloadBy([this] {
    if (bad_config_) throw std::runtime_error("a bad file");
    json now = config_;
    now["discovery"] = "127.0.0.1:" + std::to_string(discovery_port_);
    return app::ParseConfig(now);
  });
  http_port_ = initiator_->front().port();
  if (initiator_->nbd_front()) nbd_port_ = initiator_->nbd_front()->port();
  thread_ = std::thread([this] {
    initiator_->Run();
    ended_ = true;
  });
  Play("discovery expect watch\n discovery send a=SERVING b=SERVING");
}

ScenarioRunner::~ScenarioRunner() {
  Halt();
  if (!nbd_file_.empty()) std::remove(nbd_file_.c_str());
}

void ScenarioRunner::Halt() {
  initiator_->Halt();
  if (thread_.joinable()) thread_.join();
}

bool ScenarioRunner::Ended(int ms) {
  const Time until = core::Now() + ms * 1000;
  while (!ended_ && core::Now() < until) poll(nullptr, 0, 5);
  return ended_;
}

void ScenarioRunner::Play(const std::string& scenario) {
  std::istringstream lines(scenario);
  for (std::string line; std::getline(lines, line);) {
    const auto words = Words(line);
    INFO("step: ", line);
    if (!words.empty()) Step(words, line);
  }
}

void ScenarioRunner::Step(const std::vector<std::string>& w, const std::string& line) {
  if (w[0] == "wait") {
    poll(nullptr, 0, std::stoi(w[1]));
  } else if (w[0] == "client") {
    Client& client = clients_[w[1]];
    if (w[2] == "send") ClientSend(client, w[1], w, line);
    if (w[2] == "expect") ClientExpect(client, w);
    if (w[2] == "close") client.socket.Close(w.size() > 3);
  } else if (w[0] == "box") {
    Box& box = boxes_.at(w[1]);
    if (w[2] == "send") BoxSend(box, w[3], line);
    if (w[2] == "expect" && w[3] == "nothing") {  // no work, that is: connections may close
      std::string heard = BoxHears(box, std::stoi(w[4]));
      if (heard == "closed") heard = BoxHears(box, std::stoi(w[4]));
      CHECK(heard == "nothing");
    }
    if (w[2] == "expect" && w[3] != "nothing") {  // work may come after connections have closed
      std::string heard = BoxHears(box, kPatience);
      while (heard == "closed" && w[3] != "closed") heard = BoxHears(box, kPatience);
      REQUIRE(heard == w[3]);
    }
    if (w[2] == "close" && w.size() > 3 && w[3] == "listener") box.listener.Close();
    const bool reset = w.size() > 3 && w[3] == "reset";
    if (w[2] == "close" && (reset || w.size() == 3) && box.last) box.last->socket.Close(reset);
  } else if (w[0] == "discovery") {
    if (w[1] == "send") DiscoverySend(w);
    if (w[1] == "close") watch_.Close();
    if (w[1] == "moves") {  // the old one takes no new connection and keeps the open one
      int port = 0;
      discovery_ = Socket::Listen(&port);
      discovery_port_ = port;
      old_watch_ = std::move(watch_);
    }
    if (w[1] == "expect") {
      const std::string heard = DiscoveryHears(6'000);
      REQUIRE(heard.find("follow=1") != std::string::npos);
      if (w.size() > 3) CHECK(heard.find(w[3]) != std::string::npos);
    }
  } else if (w[0] == "signal") {
    kill(getpid(), w[1] == "HUP" ? SIGHUP : SIGTERM);
  } else if (w[0] == "config") {
    bad_config_ = w[1] == "bad";
  } else {
    FAIL("no such step");
  }
}

// ---- clients ----

void ScenarioRunner::ClientSend(Client& c, const std::string& name, const std::vector<std::string>& w,
                                const std::string& line) {
  const bool is_nbd = wire_ == core::Protocol::kNbd;
  if (c.socket.fd() < 0) {
    c = Client();
    c.socket = Socket::Connect(is_nbd ? nbd_port_ : http_port_);
  }
  c.sent = core::Now();
  if (w[3] == "bytes") {
    REQUIRE(c.socket.Send(Quoted(line)));
    return;
  }
  c.kind = w[3];
  const std::string shard = name[0] == 'b' ? "b" : "a";  // clients named b... use box b
  if (is_nbd) {
    if (!c.session) c.session = std::make_unique<nbd::ClientSession>(shard);
    std::string out;
    while (!c.session->ready() && c.socket.Fill(kPatience)) {
      c.session->Feed(std::exchange(c.socket.bytes, ""), &out, &c.replies);
      c.socket.Send(std::exchange(out, ""));
    }
    REQUIRE(c.session->ready());
    nbd::Request request;
    request.type = w[3] == "write" ? nbd::kWrite : w[3] == "flush" ? nbd::kFlush : nbd::kRead;
    request.cookie = c.cookie++;
    request.length = request.type == nbd::kFlush ? 0 : kBytes;
    if (request.type == nbd::kWrite) request.data.assign(kBytes, 'w');
    c.session->Send(request, &out);
    REQUIRE(c.socket.Send(out));
    return;
  }
  char id[17];
  std::snprintf(id, sizeof id, "%016x", next_id_++);
  const std::string body = w[3] == "write" ? (w.size() > 4 ? w[4] : "data") : "";
  REQUIRE(c.socket.Send(
      (w[3] == "write" ? "PUT" : "GET") +
      std::string(" /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: s\r\n") + "X-Request-Id: " + id +
      "\r\nX-Class: " + w[3] + "\r\nX-Plan: basic\r\n" +
      "X-Deadline: " + http::Seconds(config_["settings"]["classes"][0]["deadline"].get<Time>()) +
      "\r\nX-IO: units=1,shard=" + (shard == "b" ? "1" : "0") +
      ",hosts=1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
}

std::string ScenarioRunner::ClientHears(Client& c, int ms) {
  if (wire_ == core::Protocol::kNbd && c.session) {
    std::string out;
    while (c.replies.empty()) {
      if (!c.socket.Fill(ms)) return c.socket.fd() < 0 ? "closed" : "nothing";
      c.session->Feed(std::exchange(c.socket.bytes, ""), &out, &c.replies);
      REQUIRE_FALSE(c.session->ended());
    }
    const nbd::Reply reply = c.replies.front();
    c.replies.erase(c.replies.begin());
    last_.body.clear();
    for (const nbd::Piece& piece : reply.pieces)
      last_.body += piece.hole > 0 ? std::string(piece.hole, '0') : piece.data;
    if (reply.error == nbd::kNoMemory || reply.error == nbd::kShutdown) return "refused";
    return reply.error == nbd::kOk ? "served" : "failed";
  }
  if (!ReadMessage(c.socket, &last_, ms)) return c.socket.fd() < 0 ? "closed" : "nothing";
  const std::string code = last_.start.substr(9, 3);
  return code == "200" ? "served" : code == "503" || code == "429" ? "refused" : "failed";
}

void ScenarioRunner::ClientExpect(Client& c, const std::vector<std::string>& w) {
  if (w[3] == "text") {
    CHECK(last_.body == w[4]);
    return;
  }
  const std::string heard = ClientHears(c, w[3] == "nothing" ? std::stoi(w[4]) : kPatience);
  if (w[3] == "status") {
    CHECK(last_.start.substr(9, 3) == w[4]);
    return;
  }
  REQUIRE(heard == w[3]);
  if (c.kind.empty() || heard == "closed" || heard == "nothing") return;
  const double worth = c.kind == "write" ? 2 : 3;
  const Time took = core::Now() - c.sent;
  CHECK(took < 1'200'000 + 58'000);  // one answer, by the deadline and the grace
  asked_ += worth;
  if (heard == "served") served_ += took <= 400'000 ? worth : 0.1 * worth;
}

// ---- boxes ----

std::string ScenarioRunner::BoxHears(Box& box, int ms) {
  const Time until = core::Now() + ms * 1000;
  while (true) {
    for (auto& link : box.links) {
      if (!link->requests.empty()) {
        box.request = link->requests.front();
        link->requests.erase(link->requests.begin());
        box.last = link.get();
        return box.request.type == nbd::kWrite ? "write" : box.request.type == nbd::kFlush ? "flush" : "read";
      }
      if (wire_ == core::Protocol::kHttp && link->socket.bytes.find("\r\n\r\n") != std::string::npos) {
        REQUIRE(ReadMessage(link->socket, &box.message, kPatience));
        box.last = link.get();
        return box.message.start.substr(0, 3) == "PUT" ? "write" : "read";
      }
    }
    std::vector<pollfd> polled{{box.listener.fd(), POLLIN, 0}};
    for (const auto& link : box.links) polled.push_back({link->socket.fd(), POLLIN, 0});
    const auto left = static_cast<int>((until - core::Now()) / 1000);
    if (left <= 0 || poll(polled.data(), polled.size(), left) <= 0) return "nothing";
    if (polled[0].revents) {
      box.links.push_back(std::make_unique<Link>());
      Link& link = *box.links.back();
      link.socket = box.listener.Accept();
      if (wire_ == core::Protocol::kNbd) {
        link.session = std::make_unique<nbd::ServerSession>(exports_);
        link.socket.Send(nbd::Greeting());
      }
    }
    for (std::size_t i = 1; i < polled.size(); ++i) {
      Link& link = *box.links[i - 1];
      if (!polled[i].revents || link.socket.fd() < 0) continue;
      if (!link.socket.Fill(0) && link.socket.fd() < 0) return "closed";
      if (!link.session) continue;
      std::string out;
      link.session->Feed(std::exchange(link.socket.bytes, ""), &out, &link.requests);
      link.socket.Send(out);
    }
  }
}

void ScenarioRunner::BoxSend(Box& box, const std::string& what, const std::string& line) {
  REQUIRE(box.last);
  Socket& socket = box.last->socket;
  if (what == "bytes") {
    REQUIRE(socket.Send(Quoted(line)));
    return;
  }
  if (wire_ == core::Protocol::kHttp) {
    if (what == "noise") {
      REQUIRE(socket.Send(std::string("\0noise\r\n\r\n", 10)));
      return;
    }
    const std::string body = what.starts_with("ok") && what != "ok-and-closes" ? "stored" : "";
    const std::string size = what == "huge" ? "3000000000" : std::to_string(body.size());
    const std::string head = what == "ok" || what == "ok-and-more" || what == "huge" ? "200 OK"
                             : what == "busy"          ? "503 Busy\r\nX-Not-Run: 1"
                             : what == "busy-may-have" ? "503 Busy"
                             : what == "ok-and-closes" ? "200 OK\r\nConnection: close"
                                                       : "500 Error";
    REQUIRE(socket.Send("HTTP/1.1 " + head + "\r\nContent-Length: " + size +
                        "\r\nX-Load: {\"queue\":2}\r\nX-Volume-Use: 40\r\n\r\n" + body +
                        (what == "ok-and-more" ? "m" : "")));
    return;
  }
  const std::uint64_t cookie = box.request.cookie;
  const auto data = [&](std::uint64_t from, std::uint32_t size) {
    std::string out;
    nbd::Put<std::uint64_t>(box.request.offset + from, &out);
    return out + std::string(size, 'r');
  };
  std::string error, hole, out;
  nbd::Put<std::uint32_t>(nbd::kIo, &error);
  nbd::Put<std::uint16_t>(0, &error);
  nbd::Put<std::uint64_t>(kBytes / 2, &hole);
  nbd::Put<std::uint32_t>(kBytes / 2, &hole);
  if (what == "noise") {
    out = "noise, and no reply of any kind";
  } else if (what == "huge") {  // only the head of the chunk
    nbd::PutChunk(true, nbd::kOffsetData, cookie, "", &out);
    out.replace(16, 4, "\xc0\x01\x02\x03");
  } else if (what.starts_with("ok") && box.request.type == nbd::kRead) {
    nbd::PutChunk(true, nbd::kOffsetData, cookie, data(0, kBytes), &out);
  } else if (what == "split") {  // the second half first, then a hole before it
    nbd::PutChunk(false, nbd::kOffsetData, cookie, data(0, kBytes / 2), &out);
    nbd::PutChunk(true, nbd::kOffsetHole, cookie, hole, &out);
  } else if (what == "torn") {  // an error in the middle
    nbd::PutChunk(false, nbd::kOffsetData, cookie, data(0, kBytes / 2), &out);
    nbd::PutChunk(false, nbd::kErrorOffset, cookie, error + data(kBytes / 2, 0), &out);
    nbd::PutChunk(true, nbd::kOffsetData, cookie, data(kBytes / 2, kBytes / 2), &out);
  } else if (what == "short") {  // done before all is covered
    nbd::PutChunk(true, nbd::kOffsetData, cookie, data(0, kBytes / 2), &out);
  } else if (what == "half") {  // ends inside a chunk
    nbd::PutChunk(true, nbd::kOffsetData, cookie, data(0, kBytes), &out);
    out.resize(out.size() / 2);
  } else if (what == "strange") {
    nbd::PutChunk(true, nbd::kNone, cookie + 1000, "", &out);
  } else {
    box.last->session->Reply(cookie,
                             what.starts_with("ok") ? nbd::kOk
                             : what == "busy"       ? nbd::kShutdown
                                                    : nbd::kIo,
                             "", &out);
  }
  if (what == "ok-and-more") out += "m";  // too little to be read as anything
  REQUIRE(socket.Send(out));
}

// ---- discovery ----

std::string ScenarioRunner::DiscoveryHears(int ms) {
  const Time until = core::Now() + ms * 1000;
  Message request;
  if (discovery_.Readable(ms)) watch_ = discovery_.Accept();
  if (!ReadMessage(watch_, &request, static_cast<int>((until - core::Now()) / 1000))) return "nothing";
  return watch_asked_ = request.start;
}

void ScenarioRunner::DiscoverySend(const std::vector<std::string>& w) {
  json list = {{"revision", ++revision_}, {"complete", true}, {"members", json::array()}};
  for (std::size_t i = 2; i < w.size(); ++i) {
    if (w[i] == "503") {
      watch_.Send("HTTP/1.1 503 Late\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (w[i] == "delta") {
      list["complete"] = false;
      continue;
    }
    const std::string name = w[i].substr(0, w[i].find('='));
    const Box& box = boxes_.at(name);
    list["members"].push_back({{"id", name},
                               {"host_port", "127.0.0.1:" + std::to_string(box.port)},
                               {"phase", w[i].substr(name.size() + 1)},
                               {"cell", box.cell}});
  }
  DiscoveryWrites(list.dump() + "\n", 20);
}

void ScenarioRunner::DiscoveryWrites(const std::string& text, std::size_t piece) {
  char size[16];
  std::string out;
  if (watch_.bytes != "open") out += "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  watch_.bytes = "open";
  for (std::size_t at = 0; at < text.size(); at += piece) {
    const std::string part = text.substr(at, piece);
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    out += size + part + "\r\n";
  }
  watch_.Send(out);
}

}  // namespace walnutspur::test

// Crossings at close range: what comes in the very moment in which a connection is closed, begun or given up.
// Each is forced: by who holds what back, never by how long something takes.
#include <doctest/doctest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "core/scheduler_thread.h"
#include "http/target_pool.h"
#include "loop/peer.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

// A connector by itself, its loop turned by hand, so that the test chooses what it sees in which turn.
class Connector {
 public:
  Connector() {
    config.connect_timeout = 100'000;
    base.reset(event_base_new());
    targets = std::make_unique<http::TargetPool>(base.get(), config, [this](core::Input input) {
      ended.push_back(std::get<core::AttemptResult>(std::move(input)));
    });
    listener = Socket::Listen(&port);
    targets->SetAddress("a", "127.0.0.1:" + std::to_string(port));
  }
  ~Connector() {  // libevent frees a stream whose callback is still due only once the loop has turned
    targets.reset();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }
  void Start(core::RequestNumber serial, Time begin_by = 0, int trial = 0) {
    auto request = std::make_shared<http::Request>();
    request->uri = "/api/" + std::to_string(serial);
    request->id = "9b1f03aa5c7e2d41";
    core::StartAttempt attempt{serial, trial, Protocol::kHttp, "a", 2'000'000, request, begin_by};
    targets->Start(attempt);
  }
  // Turns until it holds; every wait of the loop is bounded by the timers of what it waits for.
  template <typename Holds>
  void Until(Holds holds) {
    const Time end = core::Now() + 4'000'000;
    while (!holds()) {
      REQUIRE(core::Now() < end);
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
  }
  // What came to the box whole, on one connection.
  std::string Heard(Socket& link) {
    Message message;
    Until([&] { return link.Readable(0) || !link.bytes.empty(); });
    REQUIRE(ReadMessage(link, &message, 1'000));
    return message.start.substr(0, message.start.find(" HTTP"));
  }
  Socket Accept() {
    Until([&] { return listener.Readable(0); });
    return listener.Accept();
  }

  http::Config config;
  loop::EventBasePtr base;
  std::unique_ptr<http::TargetPool> targets;
  std::vector<core::AttemptResult> ended;
  Socket listener;
  int port = 0;
};

// Fills the queue of a listener that nobody accepts from, so that further connections come up late.
class Jam {
 public:
  Jam(const Socket& listener, int port) {
    listen(listener.fd(), 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    for (int i = 0; i < 2; ++i) {
      fill_.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      connect(fill_.back().fd(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
  }
  void Clear(const Socket& listener) {
    for (int i = 0; i < 2 && listener.Readable(20); ++i) gone_.push_back(listener.Accept());
  }

 private:
  std::vector<Socket> fill_, gone_;
};

TEST_CASE(
    "a connection that comes up after its attempt was given up carries nothing of it, and is used next") {
  Connector net;
  Jam jam(net.listener, net.port);
  net.Start(1);
  bool recalled = false;
  SUBCASE("the dial time is over") {}
  SUBCASE("the client has left") {
    recalled = true;
    net.targets->Cancel(1, 0);
  }
  net.Until([&] { return net.ended.size() == 1; });
  CHECK(net.ended[0].outcome == (recalled ? Outcome::kCancelled : Outcome::kConnectFailed));
  CHECK(net.targets->connections() == 1);
  jam.Clear(net.listener);
  Socket link = net.Accept();  // the kernel asks again within a second or two
  net.Until([&] { return net.targets->idle_connections("a") == 1; });
  net.Start(2);
  CHECK(net.Heard(link) == "GET /api/2");
  CHECK(link.bytes.empty());
  CHECK(net.targets->connections() == 1);
  link.Send(kOk + "mine");
  net.Until([&] { return net.ended.size() == 2; });
  CHECK(net.ended[1].outcome == Outcome::kCompleted);
}

TEST_CASE("what is withdrawn while it connects never arrives, and its connection is not kept") {
  Connector net;
  Jam jam(net.listener, net.port);
  net.Start(1);
  net.targets->Drain("a");
  REQUIRE(net.ended.size() == 1);
  CHECK(net.ended[0].outcome == Outcome::kConnectFailed);
  CHECK(net.targets->connections() == 0);
}

TEST_CASE("the repeat of a keyed request is not begun once its target may have forgotten the key") {
  Connector net;
  net.Start(1, core::Now() - 1);
  REQUIRE(net.ended.size() == 1);
  CHECK(net.ended[0].outcome == Outcome::kConnectFailed);
  CHECK_FALSE(net.listener.Readable(0));
  net.Start(2, core::Now() + 20'000);  // it would be in time, but the loop is late when its connection is up
  Socket link = net.listener.Accept();
  const Time over = core::Now() + 25'000;
  while (core::Now() < over) {
  }
  net.Until([&] { return net.ended.size() == 2; });
  CHECK(net.ended[1].outcome == Outcome::kConnectFailed);
  CHECK_FALSE(link.Readable(0));
  net.Start(3, core::Now() + 2'000'000);
  CHECK(net.Heard(link) == "GET /api/3");
}

TEST_CASE("a second copy that comes some milliseconds late is not the next answer") {
  Connector net;
  net.Start(1);
  Socket link = net.Accept();
  REQUIRE(net.Heard(link) == "GET /api/1");
  link.Send(kOk + "mine");
  net.Until([&] { return net.ended.size() == 1; });
  Socket next;
  net.Start(2);  // at once; what comes next is there before the loop turns again
  SUBCASE("the copy comes first: another connection takes the attempt") {
    link.Send(kOk + "mine");
    next = net.Accept();
    CHECK(net.Heard(next) == "GET /api/2");
    next.Send(kOk + "next");
  }
  SUBCASE("the box ends the connection first") {
    link.Close();
    next = net.Accept();
    CHECK(net.Heard(next) == "GET /api/2");
    next.Send(kOk + "next");
  }
  SUBCASE("nothing comes: it goes out on the connection that stands") {
    CHECK(net.Heard(link) == "GET /api/2");
    link.Send(kOk + "next");
  }
  net.Until([&] { return net.ended.size() == 2; });
  CHECK(net.ended[1].outcome == Outcome::kCompleted);
  CHECK(static_cast<const http::Response&>(*net.ended[1].payload).body == "next");
  CHECK(net.targets->connections() == 1);
}

TEST_CASE("what is given up while its connection settles never arrives, and the connection is used next") {
  Connector net;
  net.Start(1);
  Socket link = net.Accept();
  REQUIRE(net.Heard(link) == "GET /api/1");
  link.Send(kOk + "mine");
  net.Until([&] { return net.ended.size() == 1; });
  net.Start(2);
  net.targets->Cancel(2, 0);
  net.Start(3);
  CHECK(net.Heard(link) == "GET /api/3");
  CHECK(net.ended[1].outcome == Outcome::kCancelled);
}

TEST_CASE("nothing is begun for a client that left while its connection was coming up") {
  Connector net;
  bool here = true;
  net.targets->is_client_connected = [&](core::RequestNumber) { return here; };
  net.Start(1);
  here = false;
  Socket link = net.listener.Accept();
  net.Until([&] { return net.ended.size() == 1; });
  CHECK(net.ended[0].outcome == Outcome::kNotSent);
  here = true;
  net.Start(2);
  CHECK(net.Heard(link) == "GET /api/2");
}

TEST_CASE("whether a client has left is known though its loop has read nothing") {
  int port = 0;
  Socket listener = Socket::Listen(&port);
  Socket client = Socket::Connect(port);
  Socket server = listener.Accept();
  CHECK_FALSE(loop::PeerHasClosed(server.fd()));
  client.Send("rubbish behind a request");
  REQUIRE(server.Readable(1'000));
  CHECK_FALSE(loop::PeerHasClosed(server.fd()));
  bool reset = false;
  SUBCASE("by a FIN, behind unread bytes") {}
  SUBCASE("by a reset") { reset = true; }
  client.Close(reset);
  while (!loop::PeerHasClosed(server.fd())) {
  }
}

// A request by the id's last digit, of the shard that no box holds at first.
std::string Of(const std::string& client, char digit) {
  return "client " + client + " send bytes \"GET /api/00000003b4d60021/000000000000000" + digit +
         " HTTP/1.1\\r\\nX-Request-Id: 000000000000000" + digit +
         "\\r\\nX-Class: read\\r\\nX-Plan: basic\\r\\nX-Deadline: 1.2\\r\\nX-IO: "
         "units=1,shard=2,hosts=1\\r\\n\\r\\n\"\n";
}

TEST_CASE("of a client that leaves while its request is held nothing is sent, whatever it sent behind it") {
  std::string behind;
  bool reset = false;
  SUBCASE("a FIN") {}
  SUBCASE("a reset") { reset = true; }
  SUBCASE("a FIN behind more than is read ahead") { behind.assign(40'000, 'x'); }
  int port = 0;
  const Socket holder = Socket::Listen(&port);
  Socket link;  // outlives the stage
  ScenarioRunner stage(Protocol::kHttp);
  stage.Play(Of("c", '1') + "client c expect nothing 20");
  if (!behind.empty()) stage.Play("client c send bytes \"" + behind + "\"");
  stage.Play(reset ? "client c close reset" : "client c close");
  stage.DiscoveryWrites(
      R"({"revision":99,"complete":false,"members":[{"id":"h","phase":"SERVING","cell":2,"host_port":"127.0.0.1:)" +
          std::to_string(port) + "\"}]}\n",
      1'000);
  stage.Play(Of("d", '2'));
  REQUIRE(holder.Readable(1'000));
  link = holder.Accept();
  Message message;
  REQUIRE(ReadMessage(link, &message, 1'000));
  CHECK(message.Header("X-Request-Id") == "0000000000000002");
  CHECK_FALSE(holder.Readable(0));
}

TEST_CASE(
    "a client that sends too much behind its request gets its answer, and nothing of the rest is served") {
  ScenarioRunner stage(Protocol::kHttp);
  stage.Play("client c send read\n box a expect read\n client c send bytes \"" + std::string(100'000, 'x') +
             "\"\n" + R"(
    box a send ok
    client c expect served
    client c expect closed)");
  stage.Play("client d send read\n box a expect read\n client d send bytes \"" + std::string(60'000, 'x') +
             "\"");
}

TEST_CASE("the key of a keyed request passes on unchanged, with each of its attempts") {
  auto config = BasicConfig();
  config["settings"]["classes"][1]["effect"] = "keyed";
  config["settings"]["classes"][1]["group"] = "cell";
  config["settings"]["classes"][1]["memorySpan"] = 5'000'000;
  ScenarioRunner stage(Protocol::kHttp, config);
  const auto put = [](const std::string& keys) {
    return "client c send bytes \"PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\\r\\nX-Request-Id: "
           "9b1f03aa5c7e2d41\\r\\nX-Class: write\\r\\nX-Plan: basic\\r\\nX-Deadline: 1.2\\r\\nX-IO: "
           "units=1,shard=0,hosts=1\\r\\n" +
           keys + "Content-Length: 0\\r\\n\\r\\n\"\n";
  };
  stage.Play(put("idempotency-KEY: \\\"8e03978e-40d5\\\"; v\\r\\n") + "box a expect write");
  CHECK(stage.box_message("a").Header("Idempotency-Key") == "\"8e03978e-40d5\"; v");
  stage.Play("box a send error\n box a expect write");
  CHECK(stage.box_message("a").Header("Idempotency-Key") == "\"8e03978e-40d5\"; v");
  stage.Play("box a send ok\n client c expect served");
  stage.Play(put("Idempotency-Key: a\\r\\nIdempotency-Key: b\\r\\n") + "client c expect status 400");
}

// Whatever became of a call, the next one comes so soon that its answer is there within the 6 s after which a
// change counts as told: the stage waits no longer than that, and the drain that it brings is kept.
TEST_CASE("after a call that failed in whatever way the list is asked for in time, and its drain is kept") {
  ScenarioRunner stage(Protocol::kHttp);
  stage.Play("discovery close\n discovery expect watch");
  SUBCASE("silent from the first byte") {}
  SUBCASE("answered by a 503, twice") {
    stage.Play("discovery send 503\n discovery expect watch\n discovery send 503");
  }
  SUBCASE("cut in the middle of an answer") {
    stage.DiscoveryWrites(R"({"revision":43,"complete":true,"members":[{"id":"a")", 1'000);
    stage.Play("discovery close");
  }
  SUBCASE("silent in the middle of an answer") {
    stage.DiscoveryWrites(R"({"revision":43,"complete":true,"members":[{"id":"a")", 1'000);
  }
  SUBCASE("moved to a dead address and back, twice in a row") {
    stage.Play("discovery moves\n signal HUP\n signal HUP\n discovery expect watch\n discovery close");
  }
  stage.Play(R"(
    discovery expect watch
    discovery send a=DRAINING b=SERVING
    client bb send read
    box b expect read
    box b send ok
    client bb expect served
    client c send read
    box a expect nothing 100)");
}

TEST_CASE("a process that has no list is ready in time all the same, and refuses unharmed") {
  auto config = BasicConfig();
  int port = 0;
  Socket discovery = Socket::Listen(&port);
  config["discovery"] = "127.0.0.1:" + std::to_string(port);
  SUBCASE("discovery says nothing") {}
  SUBCASE("discovery is down") { discovery.Close(); }
  SUBCASE("what was known is an empty list, and not whole") {
    config["known"] = {{"revision", 1}, {"complete", false}, {"members", nlohmann::json::array()}};
  }
  app::Options options;
  options.ready_by = 100'000;
  app::Initiator initiator(app::ParseConfig(config), options);
  std::thread runs([&] { initiator.Run(); });
  Socket client = Socket::Connect(initiator.front().port());
  Message answer;
  const Time end = core::Now() + 4'000'000;
  do {
    client.Send("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
    CHECK(ReadMessage(client, &answer, 1'000));
  } while (answer.start.find("503") != std::string::npos && core::Now() < end);
  CHECK(answer.start == "HTTP/1.1 200 OK");
  client.Send(
      "GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: "
      "quick\r\nX-Plan: basic\r\nX-Deadline: 1.2\r\nX-IO: units=1,shard=0,hosts=1\r\n\r\n");
  CHECK(ReadMessage(client, &answer, 4'000));
  CHECK(answer.start.substr(9, 3) == "503");
  initiator.Halt();
  runs.join();
}

}  // namespace
}  // namespace walnutspur::test

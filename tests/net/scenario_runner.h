// A stage for scenarios: an initiator on loopback, with stand-ins for clients, boxes and discovery that act
// only as the scenario says. One step a line:
//
//   client c send read|write [text]      client c expect served|refused|failed|closed|status N|text T
//   box a expect read|write|closed|nothing MS      box a send ok|error|...      client|box|discovery X close
//   [reset] discovery send a=DRAINING ...        discovery expect watch [since=N]       wait MS discovery
//   moves                      signal HUP|TERM                        config good|bad
//
// The same steps play over HTTP and over NBD; `bytes "..."` after send is sent as it stands.
#ifndef WALNUTSPUR_TESTS_NET_SCENARIO_RUNNER_H_
#define WALNUTSPUR_TESTS_NET_SCENARIO_RUNNER_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "app/initiator.h"
#include "app/platform.h"
#include "nbd/codec.h"

namespace walnutspur::test {

// A blocking socket; every wait is bounded.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)), bytes(std::move(other.bytes)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }

  static Socket Listen(int* port);
  static Socket Connect(int port, int fd = -1);  // of a socket that is there already, if any
  Socket Accept() const;
  bool Readable(int ms) const;
  bool Fill(int ms);  // reads more into `bytes`; false at the end, or when nothing came in time
  bool Send(const std::string& text);
  void Close(bool reset = false);
  int fd() const { return fd_; }

 private:
  int fd_ = -1;

 public:
  std::string bytes;
};

struct Message {  // of HTTP
  std::string start, headers, body;
  std::string Header(const std::string& name) const;
};
bool ReadMessage(Socket& socket, Message* message, int ms);

// The settings that scenarios play under, as the platform would tell them.
nlohmann::json BasicConfig();

class ScenarioRunner {
 public:
  explicit ScenarioRunner(core::Protocol wire, const nlohmann::json& config = BasicConfig(),
                          app::Options options = {}, http::DigestOptions digests = {});
  ~ScenarioRunner();

  void Play(const std::string& scenario);
  // On the open watch, in chunks of so many bytes.
  void DiscoveryWrites(const std::string& text, std::size_t piece);
  // Worth served in time over worth asked, of what clients have been answered.
  double score() const { return asked_ > 0 ? served_ / asked_ : 0; }
  app::Initiator& initiator() { return *initiator_; }
  void Halt();
  bool Ended(int ms);  // whether the initiator's loop has ended by itself
  std::size_t box_links(const std::string& name) const { return boxes_.at(name).links.size(); }
  const nbd::Request& box_request(const std::string& name) const { return boxes_.at(name).request; }
  int http_port() const { return http_port_; }
  const Socket& box_listener(const std::string& name) const { return boxes_.at(name).listener; }
  int nbd_port() const { return nbd_port_; }
  const Message& last() const { return last_; }
  const std::string& watch_asked() const { return watch_asked_; }
  const Message& box_message(const std::string& name) const { return boxes_.at(name).message; }

 private:
  struct Client {
    Socket socket;
    std::unique_ptr<nbd::ClientSession> session;
    std::vector<nbd::Reply> replies;
    std::string kind;
    Time sent = 0;
    std::uint64_t cookie = 1;
  };
  struct Link {  // a connection that the initiator has made
    Socket socket;
    std::unique_ptr<nbd::ServerSession> session;
    std::vector<nbd::Request> requests;
  };
  struct Box {
    int port = 0, cell = 0;
    Socket listener;
    std::vector<std::unique_ptr<Link>> links;
    Link* last = nullptr;  // where the last request came
    nbd::Request request;
    Message message;
  };

  void Step(const std::vector<std::string>& words, const std::string& line);
  void ClientSend(Client& client, const std::string& name, const std::vector<std::string>& words,
                  const std::string& line);
  void ClientExpect(Client& client, const std::vector<std::string>& words);
  std::string ClientHears(Client& client, int ms);
  std::string BoxHears(Box& box, int ms);
  void BoxSend(Box& box, const std::string& what, const std::string& line);
  void DiscoverySend(const std::vector<std::string>& words);
  std::string DiscoveryHears(int ms);

  core::Protocol wire_;
  nlohmann::json config_;
  std::atomic<int> discovery_port_ = 0;  // that a configuration read now names
  std::atomic<bool> bad_config_ = false;
  std::map<std::string, Client> clients_;
  std::map<std::string, Box> boxes_;
  Socket discovery_, watch_, old_watch_;
  int revision_ = 41;
  int next_id_ = 1;
  double asked_ = 0, served_ = 0;
  Message last_;
  std::string watch_asked_;
  std::string nbd_file_;
  std::vector<nbd::Export> exports_;
  int http_port_ = 0, nbd_port_ = 0;
  std::unique_ptr<app::Initiator> initiator_;
  std::atomic<bool> ended_ = false;
  std::thread thread_;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_RUNNER_H_

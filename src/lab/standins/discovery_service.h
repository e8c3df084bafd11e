// The platform's discovery service: answers each watch with the complete endpoint list, then with a line for
// each change and an empty line as heartbeat. Fails on demand. Each client, an initiator, has a port of its
// own, so that an observer sees what was written to which client.
//
// Owned by a testbed; runs on the thread of its event loop. DiscoveryThread runs one on a thread of its own;
// tests/net/discovery_server.h is the one that acts only as a scenario says, step by step.
#ifndef WALNUTSPUR_LAB_STANDINS_DISCOVERY_SERVICE_H_
#define WALNUTSPUR_LAB_STANDINS_DISCOVERY_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/standins/endpoint_list.h"
#include "lab/standins/http_connection.h"
#include "loop/listener.h"

namespace walnutspur::lab {

// How the service treats calls. All but kNone end the open watches, except for kSilent.
enum class DiscoveryFault {
  kNone,
  kTimesOut,            // takes a call and answers 503 after 2 s
  kClosesAtOnce,        // takes a call and closes its connection
  kRejectsAtOnce,       // answers 503 at once
  kRefusesConnections,  // nothing listens
  kSilent,              // takes calls and writes nothing, also on open watches
  kTruncatesResponses,  // writes half of an answer, then closes
};

// Takes note of what the service does. Called on the service's thread, at the time of the event.
class DiscoveryObserver {
 public:
  // An endpoint was set; the change has this revision.
  virtual void OnEndpointSet(int revision, const ListedEndpoint& endpoint) = 0;
  // All changes up to the revision were written to the client.
  virtual void OnListWritten(int client, int revision) = 0;
  // A call of the client was answered by no list.
  virtual void OnCallFailed(int client) = 0;
  // kRefusesConnections has ended, which began at this time.
  virtual void OnOutageEnded(Time began_at) = 0;

 protected:
  ~DiscoveryObserver() = default;
};

struct DiscoveryOptions {
  int clients = 1;
  Time heartbeat_interval = 1'900'000;    // us; the platform promises at most 2 s
  Time response_delay = 1'000;            // us from a call to its answer
  DiscoveryObserver* observer = nullptr;  // must outlive the service; null: none
};

class DiscoveryService : private HttpConnectionHandler {
 public:
  // Listens on a free port of 127.0.0.1 for each client. Throws loop::ListenError.
  DiscoveryService(event_base* base, const DiscoveryOptions& options);
  ~DiscoveryService();
  DiscoveryService(const DiscoveryService&) = delete;
  DiscoveryService& operator=(const DiscoveryService&) = delete;

  int port(int client = 0) const { return ports_[static_cast<std::size_t>(client)]; }
  // Adds or replaces the endpoint with this id, and writes the change to the open watches. A terminated one
  // is in the change and in no list afterwards.
  void Set(const ListedEndpoint& endpoint);
  // Adds an endpoint without notice: it is in the first lists.
  void SetInitially(const ListedEndpoint& endpoint) { endpoints_[endpoint.id] = endpoint; }
  void SetFault(DiscoveryFault fault);
  // Ends all open watches; calls are answered as before.
  void EndWatches();
  // The complete list, as an initiator may have cached it before its start.
  std::string FullList() const;

 private:
  // A connection, whose only call is a watch.
  struct Call {
    std::unique_ptr<HttpConnection> connection;
    loop::EventHandle timeout;
    int client = 0;
    bool is_watching = false;  // answered: changes are written to it
    bool is_waiting = false;   // for its turn
  };

  void Listen(int client);
  void OnAccept(int client, evutil_socket_t fd);
  void OnRequest(HttpConnection& connection) override;
  void OnClosed(HttpConnection& connection) override;
  void Enqueue(Call& call);
  void OnTimeout(std::uint64_t number);
  void RespondNext();
  void Respond(Call& call);
  void TruncateResponse(Call& call);
  void RecordListWritten(const Call& call) const;
  void RecordFailure(const Call& call) const;
  // Writes a line to every open watch, unless the service is silent.
  void WriteToWatches(const std::string& line, bool is_list);

  event_base* base_;
  DiscoveryOptions options_;
  DiscoveryFault fault_ = DiscoveryFault::kNone;
  Time outage_began_at_ = 0;  // 0: none is on
  int revision_ = 1;
  std::map<std::string, ListedEndpoint> endpoints_;  // by id
  std::vector<int> ports_;                           // by client
  std::vector<std::unique_ptr<loop::Listener>> listeners_;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, Call> calls_;     // by the connection's number
  std::deque<std::uint64_t> waiting_;       // for their turn, in order
  std::unique_ptr<HttpConnection> closed_;  // freed in the next turn: it may be on the stack
  loop::EventHandle free_closed_;
  loop::EventHandle heartbeat_;
  loop::EventHandle response_timer_;
  bool is_responding_ = false;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STANDINS_DISCOVERY_SERVICE_H_

// Fake of the platform's discovery service: responds to each watch with the complete endpoint list, then
// writes a line for each change and an empty line as heartbeat. Fails on demand. Each client, an initiator,
// has its own port, so that an observer knows which lists were written to which client.
//
// Owned by a test environment; runs on the thread of its event loop. DiscoveryThread runs the service on a
// thread of its own; the fake in tests/net/discovery_server.h follows the steps of a scenario instead.
#ifndef WALNUTSPUR_LAB_FAKES_DISCOVERY_SERVICE_H_
#define WALNUTSPUR_LAB_FAKES_DISCOVERY_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/fakes/endpoint_list.h"
#include "lab/fakes/http_connection.h"
#include "loop/listener.h"

namespace walnutspur::lab {

// How the service treats calls. Setting any fault but kSilent ends the open watches.
enum class DiscoveryFault {
  kNone,
  kTimesOut,            // accepts a call and responds with 503 after 2 s
  kClosesAtOnce,        // accepts a call and closes its connection
  kRejectsAtOnce,       // responds with 503 at once
  kRefusesConnections,  // the listening sockets are closed: connection refused
  kSilent,              // accepts calls and writes nothing, also on open watches
  kTruncatesResponses,  // writes half of a response, then closes the connection
};

// Observes the events of the service. Called on the service's thread, at the time of the event.
class DiscoveryObserver {
 public:
  // An endpoint was added or changed at `revision`.
  virtual void OnEndpointSet(int revision, const ListedEndpoint& endpoint) = 0;
  // All changes up to `revision` were written to the client.
  virtual void OnListWritten(int client, int revision) = 0;
  // A call of the client failed: it got no list.
  virtual void OnCallFailed(int client) = 0;
  // A fault kRefusesConnections that was set at `began_at` has ended.
  virtual void OnOutageEnded(Time began_at) = 0;

 protected:
  ~DiscoveryObserver() = default;
};

struct DiscoveryOptions {
  int clients = 1;
  Time heartbeat_interval = 1'900'000;    // us; the platform promises at most 2 s
  Time response_delay = 1'000;            // us from a call to its response
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
  // Adds or replaces the endpoint with this id, and writes the change to the open watches. A terminated
  // endpoint is part of the change and of no later list.
  void Set(const ListedEndpoint& endpoint);
  // Adds an endpoint that is part of the initial list; no change is written to the watches.
  void SetInitially(const ListedEndpoint& endpoint) { endpoints_[endpoint.id] = endpoint; }
  void SetFault(DiscoveryFault fault);
  // Ends all open watches; later calls get a response as before.
  void EndWatches();
  // Returns the complete list, which an initiator may have cached before its start.
  std::string FullList() const;

 private:
  // A connection, whose only call is a watch.
  struct Call {
    std::unique_ptr<HttpConnection> connection;
    loop::EventHandle timeout;
    int client = 0;
    bool is_watching = false;  // the list was sent: changes are written to this call
    bool is_waiting = false;   // queued until its response is due
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
  Time outage_began_at_ = 0;  // 0: no outage
  int revision_ = 1;
  std::map<std::string, ListedEndpoint> endpoints_;  // by id
  std::vector<int> ports_;                           // by client
  std::vector<std::unique_ptr<loop::Listener>> listeners_;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, Call> calls_;     // by the connection's number
  std::deque<std::uint64_t> waiting_;       // calls that wait for their response, in order
  std::unique_ptr<HttpConnection> closed_;  // freed in the next loop iteration: it may be on the call stack
  loop::EventHandle free_closed_;
  loop::EventHandle heartbeat_;
  loop::EventHandle response_timer_;
  bool is_responding_ = false;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_DISCOVERY_SERVICE_H_

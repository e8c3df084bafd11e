// Watches the discovery service for the endpoint list, over one HTTP connection with a chunked response.
//
// Reports each list and each failure. The scheduler decides when to open the next watch (WatchEndpoints).
// Owned by the initiator; runs on the loop's thread.
#ifndef WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_
#define WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "core/port.h"
#include "http/config.h"
#include "http/endpoint_list.h"
#include "http/json_stream.h"
#include "loop/loop.h"

namespace walnutspur::http {

class DiscoveryClient {
 public:
  // Receives a watch event and the list that caused it; the list is empty for other events.
  using OnList = std::function<void(walnutspur::EndpointUpdate, const EndpointList&)>;

  // `config` must outlive the client.
  DiscoveryClient(event_base* base, const Config& config, OnList on_list);

  // Opens a watch from the revision of the last list and closes the open watch, if any.
  void OpenWatch();
  // Opens a watch at the config's new address, starting with a full list: revisions of one discovery service
  // are not valid at another.
  void SwitchServer();
  // Sets the list of an earlier run that is in use.
  void SetCachedList(const EndpointList& list);

 private:
  // Updates `listed_`. Returns whether there are no more targets than the process has room for.
  bool UpdateListed(const EndpointList& list);
  using ConnectionPtr = std::unique_ptr<evhttp_connection, loop::Deleter<evhttp_connection_free>>;

  // Why a watch ended; logged as discovery_watch_ended (docs/operators/logs.md).
  enum class WatchEndReason {
    kNotConnected,  // the connection was refused or not established
    kClosed,        // the service closed the connection with a FIN in the middle of a response
    kReset,         // a connection error: bytes that the service sent may be lost
    kRejected,      // a status other than 200
    kFinished,      // a response with status 200 was complete
    kSilent,        // no bytes arrived within the silence timeout
    kUnreadable,    // the data is not a valid endpoint list
    kOlderRevision  // the service has restarted and lost the revisions that it sent before
  };

  void SendWatchRequest();
  void OnRequestDone(evhttp_request* response);
  void OnChunk(evhttp_request* response);
  void ReportProgress();
  bool OnObject(const std::string& object);
  void OnWatchEnded(WatchEndReason reason);
  void LogWatchEnd(WatchEndReason reason) const;
  void Close();

  event_base* base_;
  const Config& config_;
  OnList on_list_;
  std::int64_t revision_ = 0;  // of the last list; 0: request the full list
  bool is_open_ = false;
  bool has_list_ = false;
  bool has_response_ = false;      // a list or an empty line has arrived on this watch
  bool has_partial_list_ = false;  // part of the next list has arrived
  Time opened_at_ = 0;             // when this watch was opened, us
  Time last_received_at_ = 0;      // when bytes last arrived, or else opened_at_, us
  JsonStream lists_;
  std::set<walnutspur::TargetId> listed_;  // targets of the lists so far
  loop::EventHandle silence_timeout_;
  loop::EventHandle free_closed_;  // frees `closed_` outside of its own callbacks
  ConnectionPtr connection_;
  ConnectionPtr closed_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_

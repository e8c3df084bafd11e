// Watches the discovery service for the endpoint list, over one HTTP connection with a chunked response.
//
// It reports each list and each failure; when to watch again is the scheduler's decision (WatchEndpoints).
// Owned by the initiator; runs on the loop's thread.
#ifndef WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_
#define WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/port.h"
#include "http/config.h"
#include "http/endpoint_list.h"
#include "http/json_stream.h"
#include "loop/loop.h"

namespace walnutspur::http {

class DiscoveryClient {
 public:
  // Takes a watch event, and the list that it came from; that is empty where the event is not of a list.
  using OnList = std::function<void(walnutspur::EndpointUpdate, const EndpointList&)>;

  // `config` must outlive it.
  DiscoveryClient(event_base* base, const Config& config, OnList on_list);

  // Opens a watch from the revision of the last list, in place of any that is open.
  void OpenWatch();
  // The config names another address: watches it at once, from the full list. Revisions of one service mean
  // nothing to another.
  void SwitchServer();
  // A list of an earlier run is in use.
  void SetCachedList(const EndpointList& list);

 private:
  using ConnectionPtr = std::unique_ptr<evhttp_connection, loop::Deleter<evhttp_connection_free>>;

  // How a watch ended; logged as discovery_watch_ended (docs/operators/logs.md).
  enum class WatchEnd {
    kNotConnected,   // the connection was refused or did not come up
    kClosedInOrder,  // by the service, in the middle of a response
    kReset,          // broken: bytes that were written may not have arrived
    kRejected,       // a status other than 200
    kFinished,       // a response of status 200 that has ended
    kSilent,         // nothing within the silence timeout
    kUnreadable,     // what came is no endpoint list
    kOlderRevision   // the service has restarted without the lists that it sent before
  };

  void SendWatchRequest();
  void OnRequestDone(evhttp_request* response);
  void OnChunk(evhttp_request* response);
  void ReportProgress();
  bool OnObject(const std::string& object);
  void OnWatchEnded(WatchEnd end);
  void LogWatchEnd(WatchEnd end) const;
  void Close();

  event_base* base_;
  const Config& config_;
  OnList on_list_;
  std::int64_t revision_ = 0;  // of the last list; 0: the full list is needed
  bool is_open_ = false;
  bool has_list_ = false;
  bool has_response_ = false;      // a list or an empty line has arrived on this watch
  bool has_partial_list_ = false;  // and a part of a list after it
  Time opened_at_ = 0;             // of this watch, us
  Time last_received_at_ = 0;      // when it last did, or else when the watch was opened
  JsonStream lists_;
  loop::EventHandle silence_timeout_;
  loop::EventHandle free_closed_;  // frees `closed_` outside of its own callbacks
  ConnectionPtr connection_;
  ConnectionPtr closed_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_

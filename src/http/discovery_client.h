// Watches discovery for the list of targets.
#ifndef WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_
#define WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "core/port.h"
#include "http/config.h"
#include "http/json_stream.h"
#include "http/messages.h"
#include "loop/loop.h"

namespace walnutspur::http {

class DiscoveryClient {
 public:
  using OnList = std::function<void(walnutspur::EndpointUpdate, const EndpointList&)>;

  DiscoveryClient(event_base* base, const Config& config, OnList on_list);

  // Opens a watch from the revision held last, in place of any that is open.
  void OpenWatch();
  // The config names another address: watched at once, from the whole list. Revisions of another service say
  // nothing of what this one has told.
  void SwitchServer();
  void SetCachedList(const EndpointList& list) { revision_ = list.revision, held_ = true; }

 private:
  void OnChunk(evhttp_request* answer);
  bool OnObject(const std::string& object);
  void OnSilence();
  void OnEnd();
  void Close();

  event_base* base_;
  const Config& config_;
  OnList on_list_;
  long revision_ = 0;
  bool open_ = false;
  bool held_ = false;      // a list is known
  bool answered_ = false;  // something has come on this watch
  Time heard_ = 0;         // when it last did, or else when it was asked for
  JsonStream lists_;
  loop::EventHandle silence_, sweep_;
  std::unique_ptr<evhttp_connection, loop::Deleter<evhttp_connection_free>> link_, old_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_DISCOVERY_CLIENT_H_

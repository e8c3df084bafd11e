// Holds the current endpoint list and formats it as discovery does, so that another process can start from
// it.
//
// Targets that were removed stay in it as deleted ones, up to a bound: a process that reads the list knows
// their ids. Owned by the Initiator; runs on the event-loop thread.
#ifndef WALNUTSPUR_HTTP_ENDPOINT_LIST_CACHE_H_
#define WALNUTSPUR_HTTP_ENDPOINT_LIST_CACHE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "http/config.h"
#include "http/endpoint_list.h"
#include "limits/recent_ids.h"

namespace walnutspur::http {

class EndpointListCache {
 public:
  // Applies a list of discovery or of the configuration; a complete one replaces the former.
  void Apply(const EndpointList& list);

  // Returns the list in discovery's format; null if there is none.
  nlohmann::json Format(const Names& names) const;

 private:
  struct Entry {
    walnutspur::Endpoint endpoint;
    std::string address;
  };

  std::int64_t revision_ = 0;
  std::map<TargetId, Entry> entries_;  // of the present list
  limits::RecentIds removed_;          // targets of former lists
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_ENDPOINT_LIST_CACHE_H_

// Defines the record of a run on real processes: the events that the fake storage servers, the fake discovery
// service and the clients observed.
//
// Plain data, written by the fakes on the thread of their event loop and read by the checker afterwards.
// All times are microseconds of the monotonic clock of this machine (core::Now()).
#ifndef WALNUTSPUR_LAB_SOAK_RECORD_H_
#define WALNUTSPUR_LAB_SOAK_RECORD_H_

#include <map>
#include <string>
#include <vector>

#include "walnutspur/types.h"

namespace walnutspur::lab::soak {

// A complete request that a storage server has received.
struct TargetArrival {
  Time at = 0;       // of its first bytes, as the kernel received them
  Time read_at = 0;  // when the storage server read them; later than `at` if its event loop was late
  std::string target;
  std::string request_id;
  Time stated_deadline = -1;    // X-Deadline, us; -1: none
  bool was_overloaded = false;  // the response stated that the request has not run
};

// How a client's request ended.
enum class ClientResult {
  kOpen,          // not yet
  kServed,        // 200
  kRejected,      // 429 or 503
  kFailed,        // any other status
  kDisconnected,  // the client closed its connection before the response
  kNoResponse,    // the connection ended, or the deadline expired, without a response
  kNotAccepted,   // no connection, or one closed before the request was read: the client may send again
};

// A request of a client, by its id.
struct ClientRequest {
  int process = 0;
  int shard = 0;
  bool is_idempotent = true;
  Time sent_at = 0;
  Time opened_at = 0;  // when its connection was opened; 0: the connection has carried a request before
  bool connection_had_ended = false;  // the end of the connection had arrived before the request was written
  Time deadline = 0;                  // span from sent_at that the client waits, us
  Time finished_at = 0;  // time of the last byte of the response, or of the end without a response
  ClientResult result = ClientResult::kOpen;
  int responses = 0;
};

// A change of the endpoint list of the discovery service.
struct ListChange {
  Time at = 0;
  int revision = 0;
  std::string target;
  bool is_active = false;  // false: draining or deleted
};

// Discovery has written all changes up to a revision to a process.
struct ListWritten {
  Time at = 0;
  int process = 0;
  int revision = 0;
};

// A span of time in which discovery could not be reached by any process, or a process was not running.
struct Span {
  Time from = 0;
  Time until = 0;
};

// Time that the threads of a process were ready to run and waited for a processor, together.
struct ProcessorWait {
  Time at = 0;  // end of the interval in which they waited
  int process = 0;
  Time waited = 0;  // us
};

// Everything that was recorded in a run.
struct Record {
  std::vector<TargetArrival> arrivals;
  std::map<std::string, ClientRequest> requests;  // by id
  std::vector<ListChange> changes;
  std::vector<ListWritten> lists;
  std::map<int, std::vector<Time>> failed_calls;  // of discovery, by process: calls that got no list
  std::vector<Span> outages;                      // of discovery
  std::map<int, std::vector<Time>> starts;        // of each process
  std::map<int, std::vector<Time>> terminations;  // SIGTERM, by process
  std::map<int, std::vector<Time>> kills;         // SIGKILL, by process
  std::vector<Span> stalls;                       // in which the event loop of the fakes did not run
  std::vector<ProcessorWait> waits;               // of the processes under test
  int idle_ends = 0;                              // connections of clients that ended between requests
  std::vector<std::string> unexpected_process_ends;
};

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_RECORD_H_

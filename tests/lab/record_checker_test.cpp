// Tests that the record of a run on real processes is checked on the common invariants: a record without
// faults violates none, and each invariant violated on purpose is detected by its name.
#include "lab/soak/record_checker.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/invariants/invariant_names.h"

namespace walnutspur::lab::soak {
namespace {

namespace name = invariants::name;

constexpr Time kSecond = 1'000'000;
constexpr int kProcess = 0;
constexpr const char* kRead = "0000000000000001";
constexpr const char* kWrite = "0000000000000002";

ClientRequest Request(Time sent_at, bool is_idempotent) {
  ClientRequest request;
  request.process = kProcess;
  request.is_idempotent = is_idempotent;
  request.sent_at = sent_at;
  request.deadline = kSecond;
  request.finished_at = sent_at + kSecond / 10;
  request.result = ClientResult::kServed;
  request.responses = 1;
  return request;
}

TargetArrival Arrival(const std::string& request_id, Time at, bool was_overloaded) {
  TargetArrival arrival;
  arrival.at = at;
  arrival.target = "t0";
  arrival.request_id = request_id;
  arrival.stated_deadline = kSecond / 2;
  arrival.was_overloaded = was_overloaded;
  return arrival;
}

// Returns the record of a read and a write that are served 2 and 3 s after the process started. The first
// attempt of the write is rejected as overloaded. The target drains 4 s after the start, and the process is
// notified immediately.
Record CleanRecord() {
  Record record;
  record.starts[kProcess] = {kSecond};
  record.requests[kRead] = Request(3 * kSecond, true);
  record.requests[kWrite] = Request(4 * kSecond, false);
  record.arrivals = {Arrival(kRead, 3 * kSecond + 1'000, false), Arrival(kWrite, 4 * kSecond + 1'000, true),
                     Arrival(kWrite, 4 * kSecond + 2'000, false)};
  record.changes = {{5 * kSecond, 1, "t0", false}};
  record.lists = {{5 * kSecond, kProcess, 1}};
  return record;
}

void RemoveResponse(Record* record, const char* request_id) {
  ClientRequest& request = record->requests[request_id];
  request.result = ClientResult::kNoResponse;
  request.responses = 0;
}

struct RecordMutation {
  std::string_view invariant;  // the name of the violated invariant
  std::function<void(Record*)> change;
};

std::vector<RecordMutation> RecordMutations() {
  return {
      {name::kKnownRequest, [](Record* record) { record->requests.erase(kRead); }},
      {name::kUnsafeRetry, [](Record* record) { record->arrivals[1].was_overloaded = false; }},
      {name::kOneResponse, [](Record* record) { record->requests[kRead].responses = 2; }},
      {name::kMissingResponse, [](Record* record) { RemoveResponse(record, kRead); }},
      {name::kAttemptDeadline, [](Record* record) { record->arrivals[0].stated_deadline = 2 * kSecond; }},
      {name::kAttemptDeadline,
       [](Record* record) {
         record->requests[kRead].deadline = 0;
         record->arrivals[0].at += kSecond;
         record->arrivals[0].stated_deadline = 0;
       }},
      {name::kAttemptAfterDisconnect,
       [](Record* record) {
         record->requests[kRead].result = ClientResult::kDisconnected;
         record->requests[kRead].responses = 0;
         record->arrivals[0].at = record->requests[kRead].finished_at + 101'000;
       }},
      {name::kDrainGrace,
       [](Record* record) {
         record->requests[kRead] = Request(5 * kSecond + 500'000, true);
         record->arrivals[0].at = 5 * kSecond + 551'000;
       }},
      {name::kProcessCrash,
       [](Record* record) { record->unexpected_process_ends = {"process 0 has ended"}; }},
  };
}

std::vector<std::string> ViolatedBy(const Record& record) {
  std::vector<std::string> names;
  for (const Violation& violation : FindViolations(record, {})) {
    names.push_back(violation.invariant);
  }
  return names;
}

TEST_CASE("FindViolations: a record without faults violates no invariant") {
  CHECK(ViolatedBy(CleanRecord()).empty());
}

TEST_CASE("FindViolations: exactly the invariant that is violated on purpose is reported") {
  for (const RecordMutation& mutation : RecordMutations()) {
    CAPTURE(mutation.invariant);
    Record record = CleanRecord();
    mutation.change(&record);
    CHECK(ViolatedBy(record) == std::vector<std::string>{std::string(mutation.invariant)});
  }
}

TEST_CASE("FindViolations: times within the tolerances of real processes violate no invariant") {
  Record record = CleanRecord();
  record.requests[kRead] = Request(5 * kSecond + 500'000, true);
  record.arrivals[0].at = 5 * kSecond + 550'000;  // 50 ms past the drain grace
  CHECK(ViolatedBy(record).empty());

  record = CleanRecord();
  record.arrivals[0].stated_deadline = kSecond - 1'000 + 150'000;  // 150 ms more than the remaining time
  CHECK(ViolatedBy(record).empty());

  record = CleanRecord();
  record.requests[kRead].result = ClientResult::kDisconnected;
  record.requests[kRead].responses = 0;
  record.arrivals[0].at = record.requests[kRead].finished_at + 100'000;  // 100 ms after the disconnect
  CHECK(ViolatedBy(record).empty());
}

TEST_CASE("FindViolations: a response may be missing after a kill, but not late in a shutdown") {
  Record record = CleanRecord();
  RemoveResponse(&record, kRead);
  record.kills[kProcess] = {record.requests[kRead].sent_at + 1'000};
  CHECK(ViolatedBy(record).empty());

  // A request sent after SIGTERM must get a response before the kill, however late it is sent.
  for (const Time after : {600'000, 800'000}) {
    record.terminations[kProcess] = {record.requests[kRead].sent_at - after};
    CHECK(ViolatedBy(record) == std::vector<std::string>{std::string(name::kMissingResponse)});
  }
}

TEST_CASE(
    "FindViolations: a request written after a kill to a connection opened before it needs no response") {
  Record record = CleanRecord();
  RemoveResponse(&record, kRead);
  ClientRequest& request = record.requests[kRead];
  record.kills[kProcess] = {request.sent_at - 1'000};
  request.opened_at = request.sent_at - 2'000;
  request.connection_had_ended = true;
  CHECK(ViolatedBy(record).empty());

  // The connection was opened after the kill, or has carried a request before.
  const std::vector<std::string> missing_response{std::string(name::kMissingResponse)};
  request.opened_at = request.sent_at - 500;
  CHECK(ViolatedBy(record) == missing_response);
  request.opened_at = 0;
  CHECK(ViolatedBy(record) == missing_response);
  // The connection was open when the request was written: another process, which shares the port, has it.
  request.opened_at = request.sent_at - 2'000;
  request.connection_had_ended = false;
  CHECK(ViolatedBy(record) == missing_response);
}

TEST_CASE(
    "FindViolations: after a drain a new process may use its first list for 6 s or until discovery fails") {
  // The process starts 1 s after the drain and gets no list from discovery. It sends 5.9 s after its start.
  Record record = CleanRecord();
  record.lists.clear();
  record.starts[kProcess].push_back(6 * kSecond);
  record.requests[kRead] = Request(6 * kSecond + 5'900'000, true);
  record.arrivals = {Arrival(kRead, 6 * kSecond + 5'900'000, false)};
  CHECK(ViolatedBy(record).empty());

  // Its first call of discovery failed 1 s after its start, so it must not send to a target drained 6 s ago.
  const std::vector<std::string> drain_grace{std::string(name::kDrainGrace)};
  record.failed_calls[kProcess] = {7 * kSecond};
  CHECK(ViolatedBy(record) == drain_grace);

  // No call of discovery failed, and it sends 10 s after its start.
  record.failed_calls.clear();
  record.requests[kRead] = Request(16 * kSecond, true);
  record.arrivals = {Arrival(kRead, 16 * kSecond + 1'000, false)};
  CHECK(ViolatedBy(record) == drain_grace);
}

}  // namespace
}  // namespace walnutspur::lab::soak

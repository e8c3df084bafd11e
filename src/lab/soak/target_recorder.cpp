#include "lab/soak/target_recorder.h"

#include <cstdlib>
#include <utility>

namespace walnutspur::lab::soak {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

void TargetRecorder::OnRequest(const HttpTarget& target, const HttpConnection& connection) {
  const http::MessageReader& request = connection.request();
  TargetArrival arrival;
  arrival.at = connection.request_started_at();
  arrival.read_at = connection.request_read_at();
  arrival.target = target.name();
  if (const char* id = request.Find("X-Request-Id")) {
    arrival.request_id = id;
  }
  if (const char* deadline = request.Find("X-Deadline")) {
    arrival.stated_deadline = static_cast<Time>(std::strtod(deadline, nullptr) * kMicrosecondsPerSecond);
  }
  arrival.was_overloaded = target.fault() == TargetFault::kOverloaded;
  record_->arrivals.push_back(std::move(arrival));
}

}  // namespace walnutspur::lab::soak

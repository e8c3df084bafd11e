// Chooses the request whose memory is freed for others: of those that are still being received, the one whose
// client has been silent for the longest time.
//
// A client that writes slowly but steadily keeps its memory before one that has stopped. No I/O, clock or
// timer; the front end that owns the clients calls it on the event-loop thread.
#ifndef WALNUTSPUR_FRONTEND_STALLED_REQUEST_H_
#define WALNUTSPUR_FRONTEND_STALLED_REQUEST_H_

#include <chrono>

#include "limits/duration.h"

namespace walnutspur::frontend {

// Time without input after which a request counts as stalled.
constexpr Duration kStallTime = std::chrono::milliseconds(500);

// Returns the client with the longest stalled request, or null. `clients` maps numbers to owned clients;
// holds_request_memory() states whether a client's request is incomplete and holds reserved memory, and
// last_input_at() when its last bytes were read, us.
template <typename Clients>
auto* ChooseStalled(const Clients& clients, Time now) {
  typename Clients::mapped_type::pointer chosen = nullptr;
  for (const auto& [number, client] : clients) {
    const bool is_stalled =
        client->holds_request_memory() && Elapsed(client->last_input_at(), now) >= kStallTime;
    if (is_stalled && (chosen == nullptr || client->last_input_at() < chosen->last_input_at())) {
      chosen = client.get();
    }
  }
  return chosen;
}

}  // namespace walnutspur::frontend

#endif  // WALNUTSPUR_FRONTEND_STALLED_REQUEST_H_

#include "nbd/front_end.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "core/scheduler_thread.h"
#include "frontend/memory_log.h"
#include "log/event_kinds.h"
#include "log/log.h"
#include "loop/address.h"
#include "loop/peer.h"

namespace walnutspur::nbd {
namespace {

// While the front end drains, idle connections are closed at once and busy ones when they become idle,
// because an NBD reply cannot announce that the connection will be closed.
constexpr frontend::ShutdownLimits kShutdownLimits = {};

constexpr frontend::EvictionLimits kEvictionLimits = {.handshake_grace = std::chrono::milliseconds(30),
                                                      .first_request_grace = std::chrono::milliseconds(250)};

// Memory of a command in flight without its data, bytes.
constexpr std::size_t kCommandBytes = 1 << 10;

const char* NameOf(EndReason reason) {
  switch (reason) {
    case EndReason::kClientClosed:
      return "client_closed";
    case EndReason::kConnectionFailed:
      return "connection_failed";
    case EndReason::kHandshakeTimeout:
      return "handshake_timeout";
    case EndReason::kCommandTimeout:
      return "command_timeout";
    case EndReason::kProtocolError:
      return "protocol_error";
    case EndReason::kEvicted:
      return "evicted";
  }
  return "";
}

}  // namespace

FrontEnd::FrontEnd(event_base* base, const Config& config, const Settings& settings,
                   std::size_t max_connections, core::RequestNumbers* request_numbers,
                   core::MemoryAccount* memory, core::SubmitInput submit)
    : base_(base),
      config_(config),
      settings_(settings),
      max_connections_(max_connections),
      request_numbers_(request_numbers),
      memory_(memory),
      submit_(std::move(submit)),
      shutdown_(kShutdownLimits),
      eviction_(kEvictionLimits),
      pending_(base, submit_),
      listener_(base, loop::ParseAddress(config.listen), loop::ListenerOptions{},
                loop::ListenerCallbacks{.on_accept = [this](evutil_socket_t fd) { OnAccept(fd); },
                                        .on_error = [this](int /*error*/) { listener_.Pause(); },
                                        .has_capacity = [this] { return HasCapacity(); }}) {}

FrontEnd::~FrontEnd() = default;

// ---- connections ----

void FrontEnd::OnAccept(evutil_socket_t fd) {
  ClientConnectionOwner* self = this;  // a private base, which make_unique cannot convert to
  auto accepted = std::make_unique<ClientConnection>(next_client_++, config_, self);
  if (!accepted->Adopt(base_, fd)) {
    return;
  }
  ClientConnection& client = *accepted;
  client.SetMemory({memory_, limits::MemoryOwner::kNbdCommands},
                   {memory_, limits::MemoryOwner::kNbdCommands});
  clients_[client.number()] = std::move(accepted);
  if (on_accept) {
    on_accept(client.stream());
  }
  client.Begin();
  if (!HasCapacity()) {
    listener_.Pause();
  }
}

bool FrontEnd::HasCapacity() { return clients_.size() < max_connections_ || EvictConnection(); }

bool FrontEnd::EvictConnection() {
  ClientConnection* evicted =
      eviction_.Choose(clients_, core::Now(), [](const ClientConnection&) { return false; });
  if (evicted != nullptr) {
    OnEnd(*evicted, EndReason::kEvicted, "");
  }
  return evicted != nullptr;
}

void FrontEnd::OnEnd(ClientConnection& connection, EndReason reason, const std::string& error) {
  const auto at = clients_.find(connection.number());
  if (at == clients_.end()) {
    return;
  }
  const std::unique_ptr<ClientConnection> ended = std::move(at->second);
  const bool is_regular = reason == EndReason::kClientClosed && ended->in_flight().empty();
  log::Event(is_regular ? log::Level::kInfo : log::Level::kWarn, log::kNbdClientEnded,
             {{"reason", NameOf(reason)},
              {"in_flight", std::to_string(ended->in_flight().size())},
              {"error", error}});
  clients_.erase(at);
  for (const auto& [cookie, request] : ended->in_flight()) {
    pending_.RemoveDisconnected(request);
  }
}

bool FrontEnd::IsClientConnected(core::RequestNumber request) {
  const RequestOrigin* origin = pending_.Find(request);
  if (origin == nullptr) {
    return false;
  }
  ClientConnection& client = *clients_.at(origin->connection);
  if (!loop::PeerHasClosed(client.fd())) {
    return true;
  }
  OnEnd(client, EndReason::kClientClosed, "");
  return false;
}

// ---- commands ----

void FrontEnd::OnCommand(ClientConnection& connection, Request request) {
  const std::uint64_t cookie = request.cookie;
  core::MemoryReservation memory = connection.TakeCommandMemory();
  std::optional<CommandError> rejection = Check(connection, request);
  if (!rejection && !Reserve(connection, request, &memory)) {
    rejection = CommandError{kNoMemory, "no memory for the command"};
  }
  if (rejection) {
    std::string out;
    connection.session().Reply(cookie, rejection->error, rejection->message, &out);
    connection.Write(out);
    return;
  }
  const Volume& volume = VolumeOf(connection);
  core::RequestReceived received = MakeRequest(volume, request);
  const std::shared_ptr<CommandPayload> payload = MakePayload(volume, std::move(request));
  payload->memory = std::move(memory);
  received.payload = payload;
  connection.AddInFlight(cookie, received.request);
  pending_.Add(received.request, received.deadline, {connection.number(), cookie});
  submit_(std::move(received));
}

// The data of a read is held twice while its reply is put together.
bool FrontEnd::Reserve(const ClientConnection& connection, const Request& request,
                       core::MemoryReservation* memory) const {
  const std::size_t data = request.type == kRead ? 2 * std::size_t{request.length} : request.data.size();
  if (memory->Resize(kCommandBytes + data)) {
    return true;
  }
  frontend::LogMemoryLimit(*memory_, limits::MemoryOwner::kNbdCommands, "command_rejected",
                           connection.number());
  return false;
}

std::optional<CommandError> FrontEnd::Check(const ClientConnection& connection,
                                            const Request& request) const {
  if (draining()) {
    return CommandError{kShutdown, "the initiator ends"};
  }
  if (!config_.classes.contains(request.type)) {
    return CommandError{kInvalid, "unknown command"};
  }
  if (request.flags != 0) {
    return CommandError{kInvalid, "unknown flags"};
  }
  if (connection.in_flight().contains(request.cookie)) {
    return CommandError{kInvalid, "the cookie is in use"};
  }
  return CheckRange(request, *connection.session().chosen());
}

const Volume& FrontEnd::VolumeOf(const ClientConnection& connection) const {
  const std::ptrdiff_t index = connection.session().chosen() - config_.exports.data();
  return config_.volumes[static_cast<std::size_t>(index)];
}

core::RequestReceived FrontEnd::MakeRequest(const Volume& volume, const Request& request) {
  const int request_class = config_.classes.at(request.type);
  core::RequestReceived received;
  received.request = request_numbers_->next++;
  received.protocol = core::Protocol::kNbd;
  received.attributes.request_class = request_class;
  received.attributes.plan = volume.plan;
  received.attributes.volume = volume.volume;
  received.attributes.key = volume.volume + "/" + std::to_string(request.offset);
  received.attributes.units = UnitsOf(config_, request.length);
  if (volume.checksummed && request.type == kWrite) {
    // The target writes the data twice: to the journal, and in place at the next checkpoint.
    received.attributes.units = std::min(2 * received.attributes.units, settings_.max_request_units);
  }
  received.attributes.shard = volume.shard;
  received.attributes.initiator_count = volume.initiator_count;
  received.deadline = core::Now() + settings_.classes[request_class].deadline;
  return received;
}

std::shared_ptr<CommandPayload> FrontEnd::MakePayload(const Volume& volume, Request request) const {
  auto payload = std::make_shared<CommandPayload>();
  payload->request = std::move(request);
  payload->remote = volume.remote;
  if (volume.checksummed) {
    payload->volume = static_cast<int>(&volume - config_.volumes.data());
  }
  return payload;
}

void FrontEnd::Respond(const core::Response& response) {
  const auto completed = pending_.TakeCompleted(response.request);
  if (!completed) {
    return;  // the client has disconnected
  }
  const auto [connection, cookie] = completed->origin;
  ClientConnection& client = *clients_.at(connection);
  shutdown_.OnResponse(completed->latency);
  client.RemoveInFlight(cookie);
  client.Write(EncodeResponse(client.session(), cookie, response));
  client.ResumeReading();
}

// ---- shutdown ----

void FrontEnd::SetShutdownDeadline(Time deadline) {
  shutdown_.Schedule();
  pending_.SetShutdownDeadline(deadline);
}

// While the front end drains, further commands are rejected without an attempt, and a connection without
// commands in flight is shut down for writing; its input is read and discarded until the client closes it.
void FrontEnd::AdvanceShutdown(Time left) {
  if (shutdown_.Advance(left)) {
    listener_.Close();
  }
  if (!shutdown_.ShouldClose(frontend::ConnectionActivity::kIdle)) {
    return;
  }
  std::vector<ClientConnection*> clients;
  for (const auto& [number, client] : clients_) {
    clients.push_back(client.get());
  }
  for (ClientConnection* client : clients) {
    client->CloseIfIdle();
  }
}

}  // namespace walnutspur::nbd

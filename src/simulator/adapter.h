// Adapter between the simulator and the Scheduler: reads batches of JSON lines, writes actions as JSON lines.
//
// A batch starts with "round", ends with "eofBatch" and gets one reply. The adapter takes no decisions. Owned
// by the adapter program; single-threaded.
#ifndef WALNUTSPUR_SIMULATOR_ADAPTER_H_
#define WALNUTSPUR_SIMULATOR_ADAPTER_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::simulator {

// The initiator instances of one simulation.
class Adapter {
 public:
  // Handles one line. Returns whether the line ends a batch; if so, stores the batch's reply in `*reply`.
  // Throws std::exception (ProtocolError, or an error of the JSON parser) if the line is malformed or not
  // allowed at this point.
  bool HandleLine(const std::string& line, std::string* reply);
  bool in_batch() const { return in_batch_; }

 private:
  using Handler = void (Adapter::*)(int instance, const nlohmann::json& message);

  // Returns the handler of an operation on an instance. Throws ProtocolError if there is none.
  static Handler FindHandler(const std::string& operation);

  void StartBatch(const nlohmann::json& message);
  void EndBatch(std::string* reply);
  void StoreEndpointList(const nlohmann::json& message);

  void StartInstance(int instance, const nlohmann::json& message);
  void KillInstance(int instance, const nlohmann::json& message);
  void UpdateEndpoints(int instance, const nlohmann::json& message);
  void ReceiveRequest(int instance, const nlohmann::json& message);
  void FinishAttempt(int instance, const nlohmann::json& message);
  void FireTimer(int instance, const nlohmann::json& message);
  void FinishHealthCheck(int instance, const nlohmann::json& message);
  void DisconnectClient(int instance, const nlohmann::json& message);
  void StartResponse(int instance, const nlohmann::json& message);
  void IgnorePeer(int instance, const nlohmann::json& message);

  // Passes an event to an instance and appends its actions to the reply.
  void HandleEvent(int instance, const Event& event);

  bool in_batch_ = false;
  Time now_ = 0;       // simulated time of the batch, us
  std::string reply_;  // reply to the current batch so far
  std::map<int, Scheduler> instances_;
  std::map<int, std::vector<Endpoint>> endpoint_lists_;  // keyed by the list numbers of endpoint updates
};

}  // namespace walnutspur::simulator

#endif  // WALNUTSPUR_SIMULATOR_ADAPTER_H_

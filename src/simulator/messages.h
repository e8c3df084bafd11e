// Messages of the simulator's protocol: converts JSON objects to Scheduler events, and Scheduler actions to
// JSON objects.
//
// Stateless. Each parser throws std::exception if a field is missing or has the wrong type.
#ifndef WALNUTSPUR_SIMULATOR_MESSAGES_H_
#define WALNUTSPUR_SIMULATOR_MESSAGES_H_

#include <nlohmann/json.hpp>
#include <string>

#include "walnutspur/scheduler.h"

namespace walnutspur::simulator {

Endpoint ParseEndpoint(const nlohmann::json& object);
EndpointUpdateKind ParseEndpointUpdateKind(const std::string& text);
RequestArrived ParseRequestArrived(const nlohmann::json& object);
AttemptFinished ParseAttemptFinished(const nlohmann::json& object);
HealthCheckFinished ParseHealthCheckFinished(const nlohmann::json& object);

// Returns the message for an action returned to the initiator instance `instance`.
nlohmann::json ToJson(int instance, const Action& action);

}  // namespace walnutspur::simulator

#endif  // WALNUTSPUR_SIMULATOR_MESSAGES_H_

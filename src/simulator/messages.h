// The messages of the simulator's protocol: JSON objects to Scheduler events, Scheduler actions to JSON
// objects.
//
// Stateless. Each parser throws std::exception if a field is missing or has another type.
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

// The message for an action that the initiator instance `instance` has taken.
nlohmann::json ToJson(int instance, const Action& action);

}  // namespace walnutspur::simulator

#endif  // WALNUTSPUR_SIMULATOR_MESSAGES_H_

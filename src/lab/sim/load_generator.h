// Models the clients of the fleet: draws the arrival time of the next request, and its plan, volume, class,
// size, object and initiator. The draws do not depend on the responses to earlier requests, so that all
// policies get the same load. Owned by Simulation; used on its one thread.
#ifndef WALNUTSPUR_LAB_SIM_LOAD_GENERATOR_H_
#define WALNUTSPUR_LAB_SIM_LOAD_GENERATOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/messages.h"
#include "lab/random.h"
#include "lab/sim/request_table.h"
#include "lab/sim/simulation_context.h"

namespace walnutspur::lab::sim {

// Draws the requests of all clients.
class LoadGenerator {
 public:
  // Creates the volumes of all plans. `context` and `requests` outlive the generator.
  LoadGenerator(SimulationContext* context, RequestTable* requests);

  // Schedules the first request.
  void Start();
  // Draws the request that arrives now, adds it to the table, counts and logs it, and schedules the next one.
  // The deadline of the result is in virtual time.
  core::RequestReceived Next();
  // Records an object placed by a write; later reads of its volume may go to it.
  void AddPlacedObject(std::size_t volume, const std::string& key, int shard);
  // Multiplies the request rate of a plan; 1 is its rate without a surge.
  void SetSurge(std::size_t plan, double multiple);

 private:
  struct PlacedObject {
    std::string key;
    int shard = 0;
  };
  struct Volume {
    std::string name;
    std::deque<PlacedObject> recent_objects;
  };
  struct PlanLoad {
    std::vector<std::size_t> volumes;
    std::vector<double> cumulative_popularity;  // cumulative Zipf weights of its volumes
    double surge_multiple = 1;
  };

  // Returns the sum of the plans' weights, each times its surge multiple.
  double SurgedWeight() const;
  void ScheduleNext(double surged_weight);
  std::size_t DrawPlan(double surged_weight);
  std::size_t DrawVolume(const PlanLoad& plan);
  std::size_t DrawClass();
  void DrawObject(const ClassPlan& class_plan, const Volume& volume, std::int64_t number,
                  RequestState* request, RequestArrived* attributes);
  void Count(const RequestState& request, std::int64_t number, int shard);

  SimulationContext& context_;
  RequestTable& requests_;
  Random random_;
  std::int64_t next_number_ = 1;
  std::vector<Volume> volumes_;
  std::vector<PlanLoad> plans_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_LOAD_GENERATOR_H_

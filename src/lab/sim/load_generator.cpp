#include "lab/sim/load_generator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutspur::lab::sim {
namespace {

constexpr std::size_t kMaxRecentObjects = 64;  // per volume
constexpr int kInitiatorsPerVolume = 4;        // initiators that receive the requests of a volume
constexpr double kMinUnits = 0.1;              // minimum size of a request
constexpr std::uint64_t kObjectDrawBound = std::uint64_t{1} << 40;

}  // namespace

LoadGenerator::LoadGenerator(SimulationContext* context, RequestTable* requests)
    : context_(*context), requests_(*requests), random_(context->experiment().seed, "arrivals") {
  const Experiment& experiment = context_.experiment();
  for (const TenantPlan& tenant : experiment.tenants) {
    PlanLoad plan;
    double sum = 0;
    for (int index = 0; index < tenant.volumes; ++index) {
      plan.volumes.push_back(volumes_.size());
      volumes_.push_back({tenant.name + "/" + std::to_string(index), {}});
      sum += 1 / std::pow(index + 1, experiment.zipf_exponent);
      plan.cumulative_popularity.push_back(sum);
    }
    plans_.push_back(std::move(plan));
  }
}

void LoadGenerator::Start() { context_.Schedule(kLoadStart, RequestDue{}); }

core::RequestReceived LoadGenerator::Next() {
  const Experiment& experiment = context_.experiment();
  const double surged_weight = SurgedWeight();
  ScheduleNext(surged_weight);
  const std::size_t plan = DrawPlan(surged_weight);
  RequestState request;
  request.volume = DrawVolume(plans_[plan]);
  const Volume& volume = volumes_[request.volume];
  request.request_class = DrawClass();
  const ClassPlan& class_plan = experiment.classes[request.request_class];

  const std::int64_t number = next_number_++;
  const int mounts = std::min(kInitiatorsPerVolume, experiment.initiators);
  const std::uint64_t mount = random_.Below(static_cast<std::uint64_t>(mounts));
  request.initiator = static_cast<int>((Random::Hash(volume.name) + mount) %
                                       static_cast<std::uint64_t>(experiment.initiators));
  request.received = context_.now();
  request.deadline = context_.now() + class_plan.request_class.deadline;
  const double drawn_units = class_plan.mean_units * (0.5 + random_.Exponential(0.5));
  request.units = std::llround(kUnitScale * std::clamp(drawn_units, kMinUnits, experiment.max_request_units));

  core::RequestReceived received;
  received.request = static_cast<core::RequestNumber>(number);
  received.deadline = request.deadline;
  RequestArrived& attributes = received.attributes;
  attributes.request_class = static_cast<int>(request.request_class);
  attributes.plan = static_cast<int>(plan);
  attributes.volume = volume.name;
  attributes.units = static_cast<double>(request.units) / kUnitScale;
  attributes.initiator_count = mounts;
  DrawObject(class_plan, volume, number, &request, &attributes);
  Count(requests_.Add(number, std::move(request)), number, attributes.shard);
  return received;
}

double LoadGenerator::SurgedWeight() const {
  const std::vector<TenantPlan>& tenants = context_.experiment().tenants;
  double sum = 0;
  for (std::size_t plan = 0; plan < tenants.size(); ++plan) {
    sum += tenants[plan].weight * plans_[plan].surge_multiple;
  }
  return sum;
}

void LoadGenerator::ScheduleNext(double surged_weight) {
  const Experiment& experiment = context_.experiment();
  double base_weight = 0;
  for (const TenantPlan& tenant : experiment.tenants) {
    base_weight += tenant.weight;
  }
  const double progress =
      static_cast<double>(context_.now() - kLoadStart) / static_cast<double>(experiment.duration);
  const double ramp = 1 + (experiment.final_rate_multiple - 1) * progress;
  const double rate =
      experiment.InitialRequestRate() * ramp * (base_weight > 0 ? surged_weight / base_weight : 1);
  const Time next = context_.now() + static_cast<Time>(random_.Exponential(1e6 / std::max(rate, 1e-6)));
  if (next < context_.load_end()) {
    context_.Schedule(next, RequestDue{});
  }
}

std::size_t LoadGenerator::DrawPlan(double surged_weight) {
  const std::vector<TenantPlan>& tenants = context_.experiment().tenants;
  double pick = random_.Uniform() * surged_weight;
  std::size_t plan = 0;
  while (plan + 1 < tenants.size() && pick >= tenants[plan].weight * plans_[plan].surge_multiple) {
    pick -= tenants[plan].weight * plans_[plan].surge_multiple;
    ++plan;
  }
  return plan;
}

std::size_t LoadGenerator::DrawVolume(const PlanLoad& plan) {
  const std::vector<double>& sums = plan.cumulative_popularity;
  const auto index = static_cast<std::size_t>(
      std::upper_bound(sums.begin(), sums.end(), random_.Uniform() * sums.back()) - sums.begin());
  return plan.volumes[std::min(index, sums.size() - 1)];
}

std::size_t LoadGenerator::DrawClass() {
  const std::vector<ClassPlan>& classes = context_.experiment().classes;
  double shares = 0;
  for (const ClassPlan& class_plan : classes) {
    shares += class_plan.share;
  }
  double pick = random_.Uniform() * shares;
  std::size_t index = 0;
  while (index + 1 < classes.size() && pick >= classes[index].share) {
    pick -= classes[index].share;
    ++index;
  }
  return index;
}

// Draws two numbers in every branch, so that the load does not depend on the responses to earlier requests.
void LoadGenerator::DrawObject(const ClassPlan& class_plan, const Volume& volume, std::int64_t number,
                               RequestState* request, RequestArrived* attributes) {
  const Experiment& experiment = context_.experiment();
  const double kind = random_.Uniform();
  const std::uint64_t object = random_.Below(kObjectDrawBound);
  if (class_plan.writes && kind < experiment.new_object_fraction) {
    request->places_new_object = true;
    attributes->key = volume.name + "/new" + std::to_string(number);
    attributes->shard = -1;
  } else if (!class_plan.writes && !volume.recent_objects.empty() && kind < experiment.recent_read_fraction) {
    const PlacedObject& placed = volume.recent_objects[object % volume.recent_objects.size()];
    attributes->key = placed.key;
    attributes->shard = placed.shard;
  } else {
    attributes->key = volume.name + "/" +
                      std::to_string(object % static_cast<std::uint64_t>(experiment.objects_per_volume));
    attributes->shard =
        static_cast<int>(Random::Hash(attributes->key) % static_cast<std::uint64_t>(experiment.servers));
  }
  request->key = attributes->key;
}

void LoadGenerator::Count(const RequestState& request, std::int64_t number, int shard) {
  SimulationResults& results = context_.results();
  ++results.requests;
  SecondTotals& second = results.SecondAt(request.received - kLoadStart);
  second.due += context_.experiment().classes[request.request_class].request_class.priority_weight;
  ++second.requests;
  context_.Record({.type = LogEntryType::kRequest,
                   .initiator = request.initiator,
                   .request = number,
                   .server = shard,
                   .value = static_cast<std::int64_t>(request.request_class),
                   .detail = request.units});
}

void LoadGenerator::AddPlacedObject(std::size_t volume, const std::string& key, int shard) {
  std::deque<PlacedObject>& recent = volumes_[volume].recent_objects;
  recent.push_back({key, shard});
  if (recent.size() > kMaxRecentObjects) {
    recent.pop_front();
  }
}

void LoadGenerator::SetSurge(std::size_t plan, double multiple) { plans_[plan].surge_multiple = multiple; }

}  // namespace walnutspur::lab::sim

#include "placement/router.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

#include "worker_filter.h"

namespace coltsfoot::placement {

namespace {

/// Random targets that are drawn to find two eligible ones before all targets are scanned.
constexpr int kDraws = 8;
/// Costs closer than this factor are equal, since reports are a few milliseconds old at best.
constexpr double kEqualFactor = 1.1;
/// Service time that is assumed while none is reported, in microseconds.
constexpr double kAssumedServiceUs = 1000;

bool IsEligible(const routing_request& request, const placement_view& view, worker_index worker,
                core::mono_time now) {
  if (!view.workers->IsDispatchable(worker, now)) return false;
  const blame::quarantine_state state = QuarantineStateOf(view, worker);
  const bool may_probe = state == blame::quarantine_state::probe_due && request.idempotent;
  if (state != blame::quarantine_state::trusted && !may_probe) return false;
  return std::find(request.excluded.begin(), request.excluded.end(), worker) ==
         request.excluded.end();
}

/// Requests per slot, including the one to place.
double LoadPerSlot(const placement_view& view, membership::name_id service, worker_index worker) {
  const membership::service_row* row = view.workers->FindService(worker, service);
  const std::uint32_t pending = row == nullptr ? 0 : row->pending();
  const std::uint32_t slots = std::max(1U, view.workers->slots_total()[worker]);
  return static_cast<double>(pending + 1) / slots;
}

routing_choice Chosen(const placement_view& view, worker_index worker) {
  return {worker, QuarantineStateOf(view, worker) == blame::quarantine_state::probe_due};
}

/// Power of two choices.
class weighted_routing final : public routing_policy {
 public:
  std::optional<routing_choice> Route(const routing_request& request, const placement_view& view,
                                      core::mono_time now, core::random_source& random) override {
    const auto targets = view.workers->Targets(request.service);
    if (targets.empty()) return std::nullopt;
    const interference::class_id service_class = ClassOf(request, view);
    worker_index first = kNoWorker;
    for (int draw = 0; draw < kDraws; ++draw) {
      const worker_index worker = targets[random.Below(targets.size())];
      if (worker == first || !IsEligible(request, view, worker, now)) continue;
      if (first == kNoWorker) {
        first = worker;
        continue;
      }
      return Chosen(view, Better(request, view, service_class, first, worker));
    }
    return Scan(request, view, service_class, now, random);
  }

 private:
  static interference::class_id ClassOf(const routing_request& request,
                                        const placement_view& view) {
    if (view.interference == nullptr) return interference::kOtherClass;
    return view.interference->FindClass(view.workers->service_names().Name(request.service));
  }

  static double Cost(const routing_request& request, const placement_view& view,
                     interference::class_id service_class, worker_index worker) {
    const membership::service_row* row = view.workers->FindService(worker, request.service);
    const bool measured = row != nullptr && row->average_us > 0;
    double cost = LoadPerSlot(view, request.service, worker) *
                  (measured ? static_cast<double>(row->average_us) : kAssumedServiceUs);
    if (view.interference != nullptr) {
      cost *= view.interference->CurrentSlowdown(worker, service_class);
    }
    return cost;
  }

  static worker_index Better(const routing_request& request, const placement_view& view,
                             interference::class_id service_class, worker_index first,
                             worker_index second) {
    const double first_cost = Cost(request, view, service_class, first);
    const double second_cost = Cost(request, view, service_class, second);
    if (first_cost * kEqualFactor < second_cost) return first;
    if (second_cost * kEqualFactor < first_cost) return second;
    const auto zones = view.workers->zone();
    const bool first_near = zones[first] == request.own_zone;
    const bool second_near = zones[second] == request.own_zone;
    if (first_near != second_near) return first_near ? first : second;
    return first_cost <= second_cost ? first : second;
  }

  static std::optional<routing_choice> Scan(const routing_request& request,
                                            const placement_view& view,
                                            interference::class_id service_class,
                                            core::mono_time now, core::random_source& random) {
    const auto targets = view.workers->Targets(request.service);
    const std::size_t start = random.Below(targets.size());
    worker_index best = kNoWorker;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const worker_index worker = targets[(start + i) % targets.size()];
      if (!IsEligible(request, view, worker, now)) continue;
      best = best == kNoWorker ? worker : Better(request, view, service_class, best, worker);
    }
    if (best == kNoWorker) return std::nullopt;
    return Chosen(view, best);
  }
};

/// Takes the first eligible target from a starting point.
std::optional<worker_index> FirstEligible(const routing_request& request,
                                          const placement_view& view, std::size_t start,
                                          core::mono_time now) {
  const auto targets = view.workers->Targets(request.service);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const worker_index worker = targets[(start + i) % targets.size()];
    if (IsEligible(request, view, worker, now)) return worker;
  }
  return std::nullopt;
}

class random_routing final : public routing_policy {
 public:
  std::optional<routing_choice> Route(const routing_request& request, const placement_view& view,
                                      core::mono_time now, core::random_source& random) override {
    const auto targets = view.workers->Targets(request.service);
    if (targets.empty()) return std::nullopt;
    for (int draw = 0; draw < kDraws; ++draw) {
      const worker_index worker = targets[random.Below(targets.size())];
      if (IsEligible(request, view, worker, now)) return Chosen(view, worker);
    }
    const auto worker = FirstEligible(request, view, random.Below(targets.size()), now);
    if (!worker) return std::nullopt;
    return Chosen(view, *worker);
  }
};

class round_robin_routing final : public routing_policy {
 public:
  std::optional<routing_choice> Route(const routing_request& request, const placement_view& view,
                                      core::mono_time now, core::random_source&) override {
    const auto worker = FirstEligible(request, view, next_[request.service]++, now);
    if (!worker) return std::nullopt;
    return Chosen(view, *worker);
  }

 private:
  std::unordered_map<membership::name_id, std::size_t> next_;
};

class least_loaded_routing final : public routing_policy {
 public:
  std::optional<routing_choice> Route(const routing_request& request, const placement_view& view,
                                      core::mono_time now, core::random_source& random) override {
    const auto targets = view.workers->Targets(request.service);
    if (targets.empty()) return std::nullopt;
    const std::size_t start = random.Below(targets.size());
    worker_index best = kNoWorker;
    double best_load = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const worker_index worker = targets[(start + i) % targets.size()];
      if (!IsEligible(request, view, worker, now)) continue;
      const double load = LoadPerSlot(view, request.service, worker);
      if (load >= best_load) continue;
      best = worker;
      best_load = load;
    }
    if (best == kNoWorker) return std::nullopt;
    return Chosen(view, best);
  }
};

}  // namespace

std::unique_ptr<routing_policy> MakeRoutingPolicy(policy_kind kind) {
  switch (kind) {
    case policy_kind::random:
      return std::make_unique<random_routing>();
    case policy_kind::round_robin:
      return std::make_unique<round_robin_routing>();
    case policy_kind::least_loaded:
      return std::make_unique<least_loaded_routing>();
    case policy_kind::weighted:
      break;
  }
  return std::make_unique<weighted_routing>();
}

}  // namespace coltsfoot::placement

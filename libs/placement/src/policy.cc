#include "placement/policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "worker_filter.h"

namespace coltsfoot::placement {

namespace {

// Parts of the score. All terms are fractions of a worker or logarithms of slowdowns, so that a
// slowdown of 2 outweighs about half a worker of headroom.

/// Interference with latency-critical work counts more than its logarithm for tail latency.
constexpr double kTailInterference = 1.5;
constexpr double kBatchHeadroom = 0.5;
/// Score of a task without need for accelerators on a worker with free ones.
constexpr double kAcceleratorWaste = 0.2;
constexpr double kZoneBonus = 0.1;
constexpr double kSpreadPenalty = 0.2;
/// A worker that is due for a probe gets the next batch task, or it would stay idle.
constexpr double kProbeBonus = 10;

constexpr std::array<std::string_view, kFilterReasons> kReasonNames = {
    "dead",         "draining", "quarantined", "failed_there",
    "accelerators", "capacity", "headroom",    "spread"};

/// Share of the scarcer of processor and memory that is left after placing `need`.
double LeftShare(const membership::worker_table& workers, worker_index worker,
                 const core::resources& need) {
  const core::resources& total = workers.total()[worker];
  const core::resources left = workers.available()[worker] - need;
  if (total.cpu_millis <= 0 || total.memory_mb <= 0) return 0;
  const double cpu = static_cast<double>(left.cpu_millis) / static_cast<double>(total.cpu_millis);
  const double memory = static_cast<double>(left.memory_mb) / static_cast<double>(total.memory_mb);
  return std::clamp(std::min(cpu, memory), 0.0, 1.0);
}

goal_weights Normalize(const goal_weights& weights) {
  const double tail = std::max(0.0, weights.tail_latency);
  const double throughput = std::max(0.0, weights.throughput);
  const double evictions = std::max(0.0, weights.evictions);
  const double sum = tail + throughput + evictions;
  if (sum <= 0) return {1.0 / 3, 1.0 / 3, 1.0 / 3};
  return {tail / sum, throughput / sum, evictions / sum};
}

/// What is scored, resolved once per decision.
struct scoring_input {
  const task_spec& task;
  const placement_view& view;
  const worker_filter& filter;
  interference::class_id task_class;
};

/// Scans the worker table and keeps the best score. Workers on which the task borrows headroom are
/// taken only if no other passes.
class scanning_policy : public placement_policy {
 public:
  std::optional<placement_choice> Choose(const task_spec& task, const placement_view& view,
                                         core::mono_time now, core::random_source& random,
                                         placement_explanation* explain) override;

 protected:
  virtual worker_index FirstRow(std::size_t rows, core::random_source& random) = 0;
  /// @return workers that pass without borrowing after which the scan ends.
  virtual std::uint32_t ScanLimit() const = 0;
  virtual double Score(const scoring_input& input, worker_index worker,
                       core::random_source& random) = 0;
  virtual void OnChosen(worker_index) {}

 private:
  static void Keep(std::optional<scored_worker>& best, const scored_worker& candidate);
  static void Explain(const task_spec& task, const membership::worker_table& workers,
                      worker_index worker, const filter_result& result,
                      placement_explanation& explain);
  static void KeepBest(placement_explanation& explain, const scored_worker& candidate);
};

std::optional<placement_choice> scanning_policy::Choose(const task_spec& task,
                                                        const placement_view& view,
                                                        core::mono_time now,
                                                        core::random_source& random,
                                                        placement_explanation* explain) {
  const std::size_t rows = view.workers->size();
  if (rows == 0) return std::nullopt;
  const worker_filter filter(task, view, now);
  const scoring_input input{task, view, filter,
                            view.interference == nullptr
                                ? interference::kOtherClass
                                : view.interference->FindClass(task.task_class)};
  std::optional<scored_worker> best;
  std::optional<scored_worker> best_borrowing;
  std::uint32_t passed = 0;
  worker_index worker = FirstRow(rows, random);
  for (std::size_t i = 0; i < rows; ++i, worker = worker + 1 < rows ? worker + 1 : 0) {
    const filter_result result = filter.Apply(worker);
    if (explain != nullptr) Explain(task, *view.workers, worker, result, *explain);
    if (result.removed_by) continue;
    const scored_worker candidate{worker, Score(input, worker, random)};
    Keep(result.borrows ? best_borrowing : best, candidate);
    if (explain != nullptr) {
      KeepBest(*explain, candidate);
    } else if (!result.borrows && ++passed >= ScanLimit()) {
      break;
    }
  }
  const bool borrows = !best && best_borrowing.has_value();
  if (borrows) best = best_borrowing;
  if (!best) return std::nullopt;
  if (explain == nullptr) OnChosen(best->worker);
  const bool is_probe = QuarantineStateOf(view, best->worker) == blame::quarantine_state::probe_due;
  return placement_choice{best->worker, best->score, borrows, is_probe};
}

void scanning_policy::Keep(std::optional<scored_worker>& best, const scored_worker& candidate) {
  if (!best || candidate.score > best->score) best = candidate;
}

void scanning_policy::Explain(const task_spec& task, const membership::worker_table& workers,
                              worker_index worker, const filter_result& result,
                              placement_explanation& explain) {
  ++explain.examined;
  if (workers.IsKnown(worker)) {
    ++explain.known;
    if (task.need.FitsIn(workers.total()[worker])) ++explain.big_enough;
  }
  if (result.removed_by) ++explain.removed[static_cast<std::size_t>(*result.removed_by)];
}

void scanning_policy::KeepBest(placement_explanation& explain, const scored_worker& candidate) {
  auto& best = explain.best;
  const auto position = std::find_if(best.begin(), best.end(), [&](const scored_worker& row) {
    return candidate.score > row.score;
  });
  best.insert(position, candidate);
  if (best.size() > placement_explanation::kBest) best.pop_back();
}

/// Weighs the goals of the fleet.
class weighted_policy final : public scanning_policy {
 public:
  explicit weighted_policy(const policy_options& options)
      : weights_(Normalize(options.weights)), max_scored_(options.max_scored) {}

 protected:
  worker_index FirstRow(std::size_t rows, core::random_source& random) override {
    return static_cast<worker_index>(random.Below(rows));
  }
  std::uint32_t ScanLimit() const override { return max_scored_; }
  double Score(const scoring_input& input, worker_index worker, core::random_source&) override {
    const bool batch = input.task.tier() == task_tier::batch;
    interference::placement_effect effect;
    if (input.view.interference != nullptr) {
      effect = input.view.interference->Predict(worker, input.task_class);
    }
    const double own = std::log(effect.own_slowdown);
    const double left = LeftShare(*input.view.workers, worker, input.task.need);
    return (batch ? ScoreBatch(own, effect.harm, left) : ScoreCritical(own, effect.harm, left)) +
           ScorePlace(input, worker);
  }

 private:
  double ScoreCritical(double own, double harm, double left) const {
    return weights_.tail_latency * (left - kTailInterference * (own + harm)) -
           weights_.throughput * harm + weights_.evictions * left;
  }
  // Free capacity beside a batch task keeps it from being evicted and services fast; a full worker
  // keeps others empty for big tasks.
  double ScoreBatch(double own, double harm, double left) const {
    return weights_.tail_latency * (kBatchHeadroom * left - kTailInterference * harm) +
           weights_.throughput * (kBatchHeadroom * (1 - left) - own - harm) +
           weights_.evictions * kBatchHeadroom * left;
  }
  static double ScorePlace(const scoring_input& input, worker_index worker) {
    const membership::worker_table& workers = *input.view.workers;
    double score = 0;
    if (input.task.zone != membership::kNoName && workers.zone()[worker] == input.task.zone) {
      score += kZoneBonus;
    }
    const double in_rack = input.filter.CountInRack(worker);
    if (input.task.tier() != task_tier::batch) score -= kSpreadPenalty * in_rack / (in_rack + 1);
    if (input.task.need.accelerators == 0 && workers.available()[worker].accelerators > 0) {
      score -= kAcceleratorWaste;
    }
    if (QuarantineStateOf(input.view, worker) == blame::quarantine_state::probe_due)
      score += kProbeBonus;
    return score;
  }

  goal_weights weights_;
  std::uint32_t max_scored_;
};

class random_policy final : public scanning_policy {
 protected:
  worker_index FirstRow(std::size_t, core::random_source&) override { return 0; }
  std::uint32_t ScanLimit() const override { return std::numeric_limits<std::uint32_t>::max(); }
  double Score(const scoring_input&, worker_index, core::random_source& random) override {
    return random.Uniform();
  }
};

class round_robin_policy final : public scanning_policy {
 protected:
  worker_index FirstRow(std::size_t rows, core::random_source&) override {
    return static_cast<worker_index>(next_ % rows);
  }
  std::uint32_t ScanLimit() const override { return 1; }
  double Score(const scoring_input&, worker_index, core::random_source&) override { return 0; }
  void OnChosen(worker_index worker) override { next_ = worker + 1; }

 private:
  worker_index next_ = 0;
};

class least_loaded_policy final : public scanning_policy {
 protected:
  worker_index FirstRow(std::size_t rows, core::random_source& random) override {
    return static_cast<worker_index>(random.Below(rows));
  }
  std::uint32_t ScanLimit() const override { return std::numeric_limits<std::uint32_t>::max(); }
  double Score(const scoring_input& input, worker_index worker, core::random_source&) override {
    return LeftShare(*input.view.workers, worker, input.task.need);
  }
};

}  // namespace

std::string_view ToString(filter_reason reason) noexcept {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

std::optional<policy_kind> ParsePolicyKind(std::string_view name) noexcept {
  if (name == "weighted") return policy_kind::weighted;
  if (name == "random") return policy_kind::random;
  if (name == "round_robin") return policy_kind::round_robin;
  if (name == "least_loaded") return policy_kind::least_loaded;
  return std::nullopt;
}

std::unique_ptr<placement_policy> MakePlacementPolicy(policy_kind kind,
                                                      const policy_options& options) {
  switch (kind) {
    case policy_kind::random:
      return std::make_unique<random_policy>();
    case policy_kind::round_robin:
      return std::make_unique<round_robin_policy>();
    case policy_kind::least_loaded:
      return std::make_unique<least_loaded_policy>();
    case policy_kind::weighted:
      break;
  }
  return std::make_unique<weighted_policy>(options);
}

}  // namespace coltsfoot::placement

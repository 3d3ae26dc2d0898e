#include "placement/policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "worker_filter.h"

namespace coltsfoot::placement {

namespace {

// Weights within the score. All terms are fractions of a worker or logarithms of slowdowns, so that
// a slowdown of 2 outweighs about half a worker of free capacity.

/// For tail latency, interference with latency-critical work counts more than the logarithm of its
/// slowdown.
constexpr double kTailInterferenceWeight = 1.5;
constexpr double kBatchFreeShareWeight = 0.5;
/// Penalty for a task that needs no accelerators on a worker with free ones.
constexpr double kUnusedAcceleratorPenalty = 0.2;
constexpr double kZoneBonus = 0.1;
constexpr double kSpreadPenalty = 0.2;
/// Sends the next batch task to a worker that is due for a probe, which would otherwise stay idle.
constexpr double kProbeBonus = 10;

constexpr std::array<std::string_view, kFilterReasons> kReasonNames = {
    "dead",         "draining", "quarantined", "failed_there",
    "accelerators", "capacity", "headroom",    "spread"};

/// @return the share of the worker that is free after placing `need`, for the scarcer of processors
/// and memory.
double FreeShareAfter(const membership::worker_table& workers, worker_index worker,
                      const core::resources& need) {
  const core::resources& total = workers.total()[worker];
  const core::resources remaining = workers.available()[worker] - need;
  if (total.cpu_millis <= 0 || total.memory_mb <= 0) return 0;
  const double cpu =
      static_cast<double>(remaining.cpu_millis) / static_cast<double>(total.cpu_millis);
  const double memory =
      static_cast<double>(remaining.memory_mb) / static_cast<double>(total.memory_mb);
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

/// Input of the score that is the same for all workers of a decision.
struct scoring_input {
  const task_spec& task;
  const placement_view& view;
  const worker_filter& filter;
  interference::class_id task_class;
};

/// Scans the worker table for the best score. Workers on which the task borrows headroom are chosen
/// only if no other worker passes the filters.
class scanning_policy : public placement_policy {
 public:
  std::optional<placement_choice> Choose(const task_spec& task, const placement_view& view,
                                         core::mono_time now, core::random_source& random,
                                         placement_explanation* explain) override;

 protected:
  virtual worker_index FirstRow(std::size_t rows, core::random_source& random) = 0;
  /// @return the number of workers that pass without borrowing after which the scan ends.
  virtual std::uint32_t ScanLimit() const = 0;
  virtual double Score(const scoring_input& input, worker_index worker,
                       core::random_source& random) = 0;
  virtual void OnChosen(worker_index) {}

 private:
  static void UpdateBest(std::optional<scored_worker>& best, const scored_worker& candidate);
  static void Explain(const task_spec& task, const membership::worker_table& workers,
                      worker_index worker, const filter_result& result,
                      placement_explanation& explain);
  static void InsertTopCandidate(placement_explanation& explain, const scored_worker& candidate);
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
    if (result.rejected_by) continue;
    const scored_worker candidate{worker, Score(input, worker, random)};
    UpdateBest(result.borrows ? best_borrowing : best, candidate);
    if (explain != nullptr) {
      InsertTopCandidate(*explain, candidate);
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

void scanning_policy::UpdateBest(std::optional<scored_worker>& best,
                                 const scored_worker& candidate) {
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
  if (result.rejected_by) ++explain.rejected[static_cast<std::size_t>(*result.rejected_by)];
}

void scanning_policy::InsertTopCandidate(placement_explanation& explain,
                                         const scored_worker& candidate) {
  auto& best = explain.best;
  const auto position = std::find_if(best.begin(), best.end(), [&](const scored_worker& row) {
    return candidate.score > row.score;
  });
  best.insert(position, candidate);
  if (best.size() > placement_explanation::kMaxBest) best.pop_back();
}

/// Scores workers by the weighted optimization goals of the fleet.
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
    const double own_log_slowdown = std::log(effect.own_slowdown);
    const double free_share = FreeShareAfter(*input.view.workers, worker, input.task.need);
    return (batch ? ScoreBatch(own_log_slowdown, effect.harm, free_share)
                  : ScoreLatencyCritical(own_log_slowdown, effect.harm, free_share)) +
           ScoreAdjustments(input, worker);
  }

 private:
  double ScoreLatencyCritical(double own_log_slowdown, double harm, double free_share) const {
    return weights_.tail_latency *
               (free_share - kTailInterferenceWeight * (own_log_slowdown + harm)) -
           weights_.throughput * harm + weights_.evictions * free_share;
  }
  // Free capacity beside a batch task protects it from eviction and keeps services fast. Packing
  // workers keeps others empty for big tasks.
  double ScoreBatch(double own_log_slowdown, double harm, double free_share) const {
    return weights_.tail_latency *
               (kBatchFreeShareWeight * free_share - kTailInterferenceWeight * harm) +
           weights_.throughput *
               (kBatchFreeShareWeight * (1 - free_share) - own_log_slowdown - harm) +
           weights_.evictions * kBatchFreeShareWeight * free_share;
  }
  static double ScoreAdjustments(const scoring_input& in, worker_index row) {
    const membership::worker_table& workers = *in.view.workers;
    double score = 0;
    if (in.task.zone != membership::kNoName && workers.zone()[row] == in.task.zone) {
      score += kZoneBonus;
    }
    const double in_rack = in.filter.CountInRack(row);
    if (in.task.tier() != task_tier::batch) score -= kSpreadPenalty * in_rack / (in_rack + 1);
    if (in.task.need.accelerators == 0 && workers.available()[row].accelerators > 0) {
      score -= kUnusedAcceleratorPenalty;
    }
    if (QuarantineStateOf(in.view, row) == blame::quarantine_state::probe_due) score += kProbeBonus;
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
    return FreeShareAfter(*input.view.workers, worker, input.task.need);
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

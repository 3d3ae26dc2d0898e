#include "interference/model.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::interference {

namespace {

/// Prior variance of a pair without reports; one standard deviation is a slowdown of 1.65.
constexpr float kPriorVariance = 0.25F;
/// Lower bound of the variance of a pair. It keeps the weight of each later report at a third, so
/// that a changed load is learned within a few reports.
constexpr float kMinVariance = 0.005F;
/// Measurement variance of one report; the standard deviation is about 10 % of the run time.
constexpr double kReportVariance = 0.01;

constexpr float kMinMean = -0.1F;
constexpr float kMaxMean = 3;
/// Time for which classes of other entries' tasks are assumed to run after a report.
constexpr core::nanoseconds kOtherEntriesTtl = std::chrono::minutes{2};

std::uint32_t CountOf(const class_counts& counts, class_id task_class) {
  for (const class_count& row : counts) {
    if (row.task_class == task_class) return row.count;
  }
  return 0;
}

/// @return for each class, the larger of the two counts.
class_counts Union(class_counts left, const class_counts& right) {
  for (const class_count& row : right) {
    const auto found = std::find_if(left.begin(), left.end(), [&](const class_count& other) {
      return other.task_class == row.task_class;
    });
    if (found == left.end()) {
      left.push_back(row);
    } else {
      found->count = std::max(found->count, row.count);
    }
  }
  return left;
}

class_counts WithoutOne(class_counts counts, class_id task_class) {
  for (class_count& row : counts) {
    if (row.task_class == task_class) --row.count;
  }
  std::erase_if(counts, [](const class_count& row) { return row.count == 0; });
  return counts;
}

double ElapsedHalfLives(core::nanoseconds elapsed, core::nanoseconds half_life) {
  return static_cast<double>(elapsed.count()) / static_cast<double>(half_life.count());
}

}  // namespace

model::model(model_options options) : options_(options) {
  const std::size_t class_limit = options_.max_classes;
  pairs_.assign(class_limit * class_limit, pair_state{.variance = kPriorVariance});
  classes_.push_back({});
}

class_id model::FindOrAddClass(std::string_view name, core::mono_time now) {
  if (decayed_at_ == core::mono_time{}) decayed_at_ = now;
  if (const class_id known = FindClass(name); known != kOtherClass) {
    classes_[known].last_used = now;
    return known;
  }
  class_id id = static_cast<class_id>(classes_.size());
  if (id < options_.max_classes) {
    classes_.emplace_back();
  } else {
    id = RecycleClass(now);
    if (id == kOtherClass) return id;
  }
  classes_[id] = {.name = std::string(name), .last_used = now};
  ids_.emplace(name, id);
  return id;
}

class_id model::FindClass(std::string_view name) const {
  const auto entry = ids_.find(std::string(name));
  return entry == ids_.end() ? kOtherClass : entry->second;
}

void model::OnStarted(std::uint32_t worker, class_id task_class, core::mono_time now) {
  ++classes_[task_class].running;
  classes_[task_class].last_used = now;
  Row(worker).history.Record(task_class, 1, now);
}

void model::OnEnded(std::uint32_t worker, class_id task_class, core::mono_time now) {
  if (CountOf(Row(worker).history.current(), task_class) == 0) return;
  --classes_[task_class].running;
  classes_[task_class].last_used = now;
  Row(worker).history.Record(task_class, -1, now);
}

void model::ResetWorker(std::uint32_t worker, core::mono_time now) {
  worker_row& row = Row(worker);
  for (const class_count& running : row.history.current()) {
    classes_[running.task_class].running -= running.count;
  }
  row = {.history = worker_history(now)};
}

void model::OnUsage(std::uint32_t worker, const wire::usage_report& report, core::mono_time now) {
  ++counters_.reports;
  worker_row& row = Row(worker);
  const core::mono_time measured_at = now - core::milliseconds{report.age_ms};
  const class_counts sampled = CountSamples(report, now);
  const auto known = row.history.At(measured_at);
  if (!known) {
    ++counters_.too_old;
    return;
  }
  if (measured_at >= row.other_entries_at) {
    row.other_entries_at = measured_at;
    row.other_entries = sampled;
    std::erase_if(row.other_entries, [&](const class_count& seen) {
      return CountOf(*known, seen.task_class) >= seen.count;
    });
  }
  const class_counts present = Union(*known, sampled);
  for (const wire::usage_sample& sample : report.samples) {
    const class_id victim = FindClass(sample.task_class);
    if (sample.slowdown_permille == 0) continue;
    ++counters_.samples;
    Learn(victim, WithoutOne(present, victim), std::log(sample.slowdown_permille / 1000.0));
  }
}

pair_estimate model::Estimate(class_id victim, class_id aggressor, core::mono_time now) const {
  const pair_state& pair = Pair(victim, aggressor);
  const double decay_factor = std::exp2(-ElapsedHalfLives(now - decayed_at_, options_.half_life));
  const double variance = kPriorVariance - (kPriorVariance - pair.variance) * decay_factor;
  return {.slowdown = std::exp(pair.mean * decay_factor), .uncertainty = std::sqrt(variance)};
}

placement_effect model::Predict(std::uint32_t worker, class_id task_class) const noexcept {
  placement_effect effect;
  double sum = 0;
  ForEachPresent(worker, [&](const class_count& row) {
    sum += Pair(task_class, row.task_class).mean;
    effect.harm += static_cast<double>(Pair(row.task_class, task_class).mean) * row.count;
    ++effect.co_located_classes;
  });
  effect.own_slowdown = std::exp(sum);
  return effect;
}

double model::CurrentSlowdown(std::uint32_t worker, class_id task_class) const noexcept {
  double sum = 0;
  ForEachPresent(worker, [&](const class_count& row) {
    if (row.task_class != task_class || row.count > 1) sum += Pair(task_class, row.task_class).mean;
  });
  return std::exp(sum);
}

void model::Decay(core::mono_time now) {
  const core::nanoseconds elapsed = now - decayed_at_;
  decayed_at_ = now;
  const auto decay_factor =
      static_cast<float>(std::exp2(-ElapsedHalfLives(elapsed, options_.half_life)));
  const auto classes = static_cast<class_id>(classes_.size());
  for (class_id victim = 0; victim < classes; ++victim) {
    for (class_id aggressor = 0; aggressor < classes; ++aggressor) {
      pair_state& pair = Pair(victim, aggressor);
      pair.mean *= decay_factor;
      pair.variance = kPriorVariance - (kPriorVariance - pair.variance) * decay_factor;
    }
  }
  for (worker_row& row : workers_) {
    if (now - row.other_entries_at > kOtherEntriesTtl) row.other_entries.clear();
  }
}

model::pair_state& model::Pair(class_id victim, class_id aggressor) {
  return pairs_[std::size_t{victim} * options_.max_classes + aggressor];
}

const model::pair_state& model::Pair(class_id victim, class_id aggressor) const {
  return pairs_[std::size_t{victim} * options_.max_classes + aggressor];
}

void model::ResetClass(class_id id) {
  const auto classes = static_cast<class_id>(classes_.size());
  for (class_id other = 0; other < classes; ++other) {
    Pair(id, other) = {.variance = kPriorVariance};
    Pair(other, id) = {.variance = kPriorVariance};
  }
}

class_id model::RecycleClass(core::mono_time now) {
  const auto classes = static_cast<class_id>(classes_.size());
  for (class_id id = 1; id < classes; ++id) {
    const class_row& row = classes_[id];
    if (row.running > 0 || now - row.last_used <= options_.class_idle_timeout) continue;
    ids_.erase(row.name);
    ResetClass(id);
    return id;
  }
  return kOtherClass;
}

class_counts model::CountSamples(const wire::usage_report& report, core::mono_time now) {
  class_counts counts;
  for (const wire::usage_sample& sample : report.samples) {
    const class_id id = FindOrAddClass(sample.task_class, now);
    const auto found = std::find_if(counts.begin(), counts.end(),
                                    [id](const class_count& row) { return row.task_class == id; });
    if (found == counts.end()) {
      counts.push_back({id, 1});
    } else {
      ++found->count;
    }
  }
  return counts;
}

// Performs one update of a Kalman filter that neglects the covariances between pairs.
void model::Learn(class_id victim, const class_counts& co_located, double log_slowdown) {
  if (co_located.empty()) return;
  double predicted = 0;
  double variance = kReportVariance;
  for (const class_count& row : co_located) {
    const pair_state& pair = Pair(victim, row.task_class);
    predicted += pair.mean;
    variance += pair.variance;
  }
  const double error = log_slowdown - predicted;

  for (const class_count& row : co_located) {
    pair_state& pair = Pair(victim, row.task_class);
    const auto gain = static_cast<float>(pair.variance / variance);
    pair.mean = std::clamp(pair.mean + gain * static_cast<float>(error), kMinMean, kMaxMean);
    pair.variance = std::max(kMinVariance, pair.variance * (1 - gain));
  }
}

model::worker_row& model::Row(std::uint32_t worker) {
  if (worker >= workers_.size()) workers_.resize(worker + 1);
  return workers_[worker];
}

template <class Visitor>
void model::ForEachPresent(std::uint32_t worker, Visitor visit) const {
  if (worker >= workers_.size()) return;
  const worker_row& row = workers_[worker];
  for (const class_count& running : row.history.current()) visit(running);
  for (const class_count& running : row.other_entries) {
    if (CountOf(row.history.current(), running.task_class) == 0) visit(running);
  }
}

}  // namespace coltsfoot::interference

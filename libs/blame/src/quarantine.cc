#include "blame/quarantine.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::blame {

namespace {

/// Maximum number of workers tracked per class; the one with the oldest outcome is replaced.
constexpr std::size_t kMaxWorkersPerClass = 32;
/// Maximum number of tracked classes. Beyond it, all are discarded; a class that was considered
/// faulty is then presumed healthy, and its failures count against workers, until it has failed on
/// enough workers again.
constexpr std::size_t kMaxClasses = 4096;
/// Maximum number of failures kept per worker, as a multiple of `quarantine_options::min_failures`.
constexpr std::size_t kMaxFailuresFactor = 4;

bool IsRecent(core::mono_time time, core::nanoseconds window, core::mono_time now) {
  return time != core::mono_time{} && now - time <= window;
}

}  // namespace

quarantine::quarantine(quarantine_options options) : options_(options) {}

quarantine_change quarantine::OnSuccess(std::uint32_t worker, std::string_view work_class,
                                        core::mono_time now) {
  worker_row& row = Row(worker);
  Expire(row, now);
  row.successes += 1;
  row.consecutive_failures = 0;
  Outcome(work_class, worker).succeeded_at = now;
  if (quarantine_states_[worker] != quarantine_state::probing) return {};
  Release(worker, now);
  return {.released = true};
}

quarantine_change quarantine::OnFailure(std::uint32_t worker, std::string_view work,
                                        std::string_view work_class, core::nanoseconds ran,
                                        std::size_t fleet_size, core::mono_time now) {
  worker_row& row = Row(worker);
  if (quarantine_states_[worker] != quarantine_state::trusted) {
    if (quarantine_states_[worker] == quarantine_state::probing) FailProbe(worker, now);
    return {.retracted = {{std::string(work), worker}}};
  }
  if (ran >= options_.fast_failure_limit) return {};
  Expire(row, now);
  Outcome(work_class, worker).failed_at = now;
  const bool repeated_work =
      std::erase_if(row.failures, [work](const failure& known) { return known.work == work; }) > 0;
  if (!repeated_work) row.consecutive_failures += 1;
  row.failures.push_back({now, std::string(work), std::string(work_class)});
  if (row.failures.size() > options_.min_failures * kMaxFailuresFactor) {
    row.failures.erase(row.failures.begin());
  }
  if (!ShouldQuarantine(row, fleet_size, now)) return {};
  return EnterQuarantine(worker, now);
}

void quarantine::OnProbeSent(std::uint32_t worker, core::mono_time now) {
  worker_row& row = Row(worker);
  if (quarantine_states_[worker] != quarantine_state::probe_due) return;
  quarantine_states_[worker] = quarantine_state::probing;
  row.next_transition = now + options_.probe_pass_time;
}

void quarantine::OnProbeNotRun(std::uint32_t worker) {
  if (QuarantineStateOf(worker) == quarantine_state::probing) {
    quarantine_states_[worker] = quarantine_state::probe_due;
  }
}

std::vector<std::uint32_t> quarantine::Tick(core::mono_time now) {
  std::vector<std::uint32_t> passed;
  for (const std::uint32_t worker : untrusted_) {
    if (now < rows_[worker].next_transition) continue;
    if (quarantine_states_[worker] == quarantine_state::quarantined) {
      quarantine_states_[worker] = quarantine_state::probe_due;
    } else if (quarantine_states_[worker] == quarantine_state::probing) {
      passed.push_back(worker);
    }
  }
  for (const std::uint32_t worker : passed) Release(worker, now);
  return passed;
}

void quarantine::ResetWorker(std::uint32_t worker) {
  if (worker >= rows_.size()) return;
  std::erase(untrusted_, worker);
  quarantine_states_[worker] = quarantine_state::trusted;
  rows_[worker] = {};
}

quarantine::worker_row& quarantine::Row(std::uint32_t worker) {
  if (worker >= rows_.size()) {
    rows_.resize(worker + 1);
    quarantine_states_.resize(worker + 1, quarantine_state::trusted);
  }
  return rows_[worker];
}

void quarantine::Expire(worker_row& row, core::mono_time now) const {
  std::erase_if(row.failures,
                [&](const failure& known) { return !IsRecent(known.time, options_.window, now); });
  const auto elapsed = static_cast<double>((now - row.success_time).count());
  row.successes *= std::exp2(-elapsed / static_cast<double>(options_.window.count()));
  row.success_time = now;
}

quarantine::class_outcome& quarantine::Outcome(std::string_view work_class, std::uint32_t worker) {
  if (classes_.size() >= kMaxClasses) classes_.clear();
  std::vector<class_outcome>& rows = classes_[std::string(work_class)];
  const auto known = std::find_if(rows.begin(), rows.end(), [worker](const class_outcome& row) {
    return row.worker == worker;
  });
  if (known != rows.end()) return *known;
  if (rows.size() < kMaxWorkersPerClass) return rows.emplace_back(class_outcome{.worker = worker});
  const auto oldest = std::min_element(rows.begin(), rows.end(),
                                       [](const class_outcome& left, const class_outcome& right) {
                                         return std::max(left.failed_at, left.succeeded_at) <
                                                std::max(right.failed_at, right.succeeded_at);
                                       });
  *oldest = {.worker = worker};
  return *oldest;
}

bool quarantine::IsClassAtFault(const std::string& work_class, core::mono_time now) const {
  const auto entry = classes_.find(work_class);
  if (entry == classes_.end()) return false;
  std::uint32_t failed = 0;
  std::uint32_t succeeded = 0;
  for (const class_outcome& row : entry->second) {
    failed += IsRecent(row.failed_at, options_.window, now) ? 1 : 0;
    succeeded += IsRecent(row.succeeded_at, options_.window, now) ? 1 : 0;
  }
  return failed >= options_.class_failure_min_workers && failed > succeeded;
}

bool quarantine::ShouldQuarantine(worker_row& row, std::size_t fleet_size,
                                  core::mono_time now) const {
  if (row.failures.size() < options_.min_failures) return false;
  const auto counted =
      std::count_if(row.failures.begin(), row.failures.end(),
                    [&](const failure& known) { return !IsClassAtFault(known.work_class, now); });
  if (counted < static_cast<std::ptrdiff_t>(options_.min_failures)) return false;
  const double success_ratio = row.successes / (row.successes + static_cast<double>(counted));
  const bool only_failures = row.consecutive_failures >= options_.max_consecutive_failures;
  if (success_ratio > options_.max_success_ratio && !only_failures) return false;
  const double limit =
      std::max(1.0, static_cast<double>(fleet_size) * options_.max_quarantined_share);
  return static_cast<double>(untrusted_.size() + 1) <= limit;
}

quarantine_change quarantine::EnterQuarantine(std::uint32_t worker, core::mono_time now) {
  worker_row& row = rows_[worker];
  // A worker that was released recently continues the exponential backoff of its probes.
  const bool recently_released = IsRecent(row.released_at, options_.max_probe_interval, now);
  row.probe_interval = recently_released
                           ? std::min(row.probe_interval * 2, options_.max_probe_interval)
                           : options_.initial_probe_interval;
  row.next_transition = now + row.probe_interval;
  quarantine_states_[worker] = quarantine_state::quarantined;
  untrusted_.push_back(worker);
  quarantine_change change{.entered = true};
  for (failure& known : row.failures) change.retracted.push_back({std::move(known.work), worker});
  row.failures.clear();
  row.consecutive_failures = 0;
  row.successes = 0;
  return change;
}

void quarantine::FailProbe(std::uint32_t worker, core::mono_time now) {
  worker_row& row = rows_[worker];
  row.probe_interval = std::min(row.probe_interval * 2, options_.max_probe_interval);
  row.next_transition = now + row.probe_interval;
  quarantine_states_[worker] = quarantine_state::quarantined;
}

void quarantine::Release(std::uint32_t worker, core::mono_time now) {
  std::erase(untrusted_, worker);
  quarantine_states_[worker] = quarantine_state::trusted;
  rows_[worker].failures.clear();
  rows_[worker].released_at = now;
}

}  // namespace coltsfoot::blame

#include "blame/quarantine.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::blame {

namespace {

/// Workers that are remembered per class; the one with the oldest outcome is replaced.
constexpr std::size_t kWorkersPerClass = 32;
/// Classes that are remembered; beyond it, all are forgotten, which errs on the side of the class.
constexpr std::size_t kMaxClasses = 4096;
/// Failures that are kept per worker, as a multiple of those that quarantine it.
constexpr std::size_t kKeptFailures = 4;

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
  row.failed_in_a_row = 0;
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
    return {.refunds = {{std::string(work), worker}}};
  }
  if (ran >= options_.fast) return {};
  Expire(row, now);
  Outcome(work_class, worker).failed_at = now;
  const bool known_work =
      std::erase_if(row.failures, [work](const failure& known) { return known.work == work; }) > 0;
  if (!known_work) row.failed_in_a_row += 1;
  row.failures.push_back({now, std::string(work), std::string(work_class)});
  if (row.failures.size() > options_.failures * kKeptFailures) {
    row.failures.erase(row.failures.begin());
  }
  if (!ShouldQuarantine(row, fleet_size, now)) return {};
  return Enter(worker, now);
}

void quarantine::OnProbeSent(std::uint32_t worker, core::mono_time now) {
  worker_row& row = Row(worker);
  if (quarantine_states_[worker] != quarantine_state::probe_due) return;
  quarantine_states_[worker] = quarantine_state::probing;
  row.next_event = now + options_.probe_passes_after;
}

void quarantine::OnProbeNotRun(std::uint32_t worker) {
  if (QuarantineStateOf(worker) == quarantine_state::probing) {
    quarantine_states_[worker] = quarantine_state::probe_due;
  }
}

std::vector<std::uint32_t> quarantine::Tick(core::mono_time now) {
  std::vector<std::uint32_t> passed;
  for (const std::uint32_t worker : untrusted_) {
    if (now < rows_[worker].next_event) continue;
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
  if (rows.size() < kWorkersPerClass) return rows.emplace_back(class_outcome{.worker = worker});
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
  return failed >= options_.class_failure_workers && failed > succeeded;
}

bool quarantine::ShouldQuarantine(worker_row& row, std::size_t fleet_size,
                                  core::mono_time now) const {
  if (row.failures.size() < options_.failures) return false;
  const auto counted =
      std::count_if(row.failures.begin(), row.failures.end(),
                    [&](const failure& known) { return !IsClassAtFault(known.work_class, now); });
  if (counted < static_cast<std::ptrdiff_t>(options_.failures)) return false;
  const double share = row.successes / (row.successes + static_cast<double>(counted));
  const bool fails_all = row.failed_in_a_row >= options_.failures_in_a_row;
  if (share > options_.tolerated_success_share && !fails_all) return false;
  const double limit = std::max(1.0, static_cast<double>(fleet_size) * options_.max_share);
  return static_cast<double>(untrusted_.size() + 1) <= limit;
}

quarantine_change quarantine::Enter(std::uint32_t worker, core::mono_time now) {
  worker_row& row = rows_[worker];
  // A worker that was released a short time ago continues with longer intervals.
  const bool again = IsRecent(row.released_at, options_.max_probe, now);
  row.probe_interval =
      again ? std::min(row.probe_interval * 2, options_.max_probe) : options_.first_probe;
  row.next_event = now + row.probe_interval;
  quarantine_states_[worker] = quarantine_state::quarantined;
  untrusted_.push_back(worker);
  quarantine_change change{.entered = true};
  for (failure& known : row.failures) change.refunds.push_back({std::move(known.work), worker});
  row.failures.clear();
  row.failed_in_a_row = 0;
  row.successes = 0;
  return change;
}

void quarantine::FailProbe(std::uint32_t worker, core::mono_time now) {
  worker_row& row = rows_[worker];
  row.probe_interval = std::min(row.probe_interval * 2, options_.max_probe);
  row.next_event = now + row.probe_interval;
  quarantine_states_[worker] = quarantine_state::quarantined;
}

void quarantine::Release(std::uint32_t worker, core::mono_time now) {
  std::erase(untrusted_, worker);
  quarantine_states_[worker] = quarantine_state::trusted;
  rows_[worker].failures.clear();
  rows_[worker].released_at = now;
}

}  // namespace coltsfoot::blame

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::blame {

/// Quarantine state of a worker. It determines which work the worker may receive.
enum class quarantine_state : std::uint8_t {
  trusted = 0,
  quarantined = 1,  ///< receives no work
  probe_due = 2,    ///< may receive one batch task or idempotent request as a probe
  probing = 3,      ///< the probe is running; receives no further work
};

/// Parameters of the quarantine.
struct quarantine_options {
  std::uint32_t min_failures = 5;  ///< distinct work items that must fail fast
  core::nanoseconds window = std::chrono::seconds{60};
  /// A failure counts against the worker only if the work ran for less than this.
  core::nanoseconds fast_failure_limit = std::chrono::seconds{5};
  /// Ratio of successes within the window above which a worker is not quarantined.
  double max_success_ratio = 0.5;
  /// Consecutive failures that quarantine a worker regardless of its success ratio. Without this
  /// rule, a worker that breaks after many successes would have to fail as much work again first.
  /// With 10, a worker that fails half of its work reaches the limit once in a thousand outcomes.
  std::uint32_t max_consecutive_failures = 10;
  /// Time between entering quarantine and the first probe; doubles after each failed probe.
  core::nanoseconds initial_probe_interval = std::chrono::seconds{5};
  core::nanoseconds max_probe_interval = std::chrono::minutes{5};
  /// A probe that runs for this long without failing has passed. Faulty workers fail fast, and
  /// waiting for a long task to end would keep a healthy worker idle.
  core::nanoseconds probe_pass_time = std::chrono::seconds{30};
  /// A class of work that failed on at least this many different workers within the window, and on
  /// more workers than it succeeded on, is itself considered faulty. Its failures do not count
  /// against workers.
  std::uint32_t class_failure_min_workers = 3;
  /// Maximum fraction of the fleet that is quarantined at a time (at least one worker). If more
  /// workers fail, the cause is not the workers.
  double max_quarantined_share = 0.34;
};

/// A failure that no longer counts against the task or request, because its worker is quarantined.
struct retracted_failure {
  std::string work;
  std::uint32_t worker = 0;
  bool operator==(const retracted_failure&) const = default;
};

/// State changes caused by the outcome of one work item.
struct quarantine_change {
  bool entered = false;                      ///< the worker is now quarantined
  bool released = false;                     ///< the worker's probe succeeded
  std::vector<retracted_failure> retracted;  ///< also failures of earlier work
};

/// Detects workers that fail most of their work, quarantines them, and probes them until they
/// recover. The state is in memory only.
///
/// For a failed task, call `OnFailure` first, then `task_failures::OnFailed` if
/// `quarantine_change::retracted` does not include the task, then `task_failures::RetractFailure`
/// for each retracted failure.
class quarantine {
 public:
  explicit quarantine(quarantine_options options = {});
  /// Applies changed settings to later decisions.
  void SetOptions(const quarantine_options& options) { options_ = options; }

  /// Records a success. If the worker was being probed, releases it.
  /// @param work_class task class or service.
  quarantine_change OnSuccess(std::uint32_t worker, std::string_view work_class,
                              core::mono_time now);
  /// Records a failure. May quarantine the worker; a failed probe doubles the probe interval.
  /// @param work id of the task or request.
  /// @param work_class task class or service.
  /// @param ran how long the work ran.
  /// @param fleet_size number of dispatchable workers, for `max_quarantined_share`.
  quarantine_change OnFailure(std::uint32_t worker, std::string_view work,
                              std::string_view work_class, core::nanoseconds ran,
                              std::size_t fleet_size, core::mono_time now);
  /// Records that work was sent to a worker in state `probe_due`, which changes it to `probing`.
  void OnProbeSent(std::uint32_t worker, core::mono_time now);
  /// Records that the probe did not run, because the worker refused it or its assignment could not
  /// be recorded. The worker returns to `probe_due`.
  void OnProbeNotRun(std::uint32_t worker);
  /// Changes workers whose probe interval has elapsed to `probe_due`, and releases workers whose
  /// probe has run long enough. Call it periodically; the cost does not depend on the number of
  /// trusted workers.
  /// @return workers that are trusted again.
  std::vector<std::uint32_t> Tick(core::mono_time now);
  /// Discards the state of a worker, because its agent restarted or its index is reused.
  void ResetWorker(std::uint32_t worker);

  /// @return quarantine states by worker index, for placement. The span may be shorter than the
  /// worker table; workers beyond its end have had no outcome and are trusted.
  std::span<const quarantine_state> quarantine_states() const noexcept {
    return quarantine_states_;
  }
  /// @return the quarantine state of one worker.
  quarantine_state QuarantineStateOf(std::uint32_t worker) const noexcept {
    return worker < quarantine_states_.size() ? quarantine_states_[worker]
                                              : quarantine_state::trusted;
  }
  /// @return the number of workers that are not trusted.
  std::size_t untrusted() const noexcept { return untrusted_.size(); }

 private:
  struct failure {
    core::mono_time time;
    std::string work;
    std::string work_class;
  };
  struct worker_row {
    std::vector<failure> failures;  ///< fast failures of distinct work items within the window
    double successes = 0;           ///< decays with the window as half-life
    core::mono_time success_time{};
    /// Fast failures of distinct work items since the last success.
    std::uint32_t consecutive_failures = 0;
    core::nanoseconds probe_interval{};
    core::mono_time next_transition{};  ///< time of the next probe, or when the running one passes
    core::mono_time released_at{};
  };
  struct class_outcome {
    std::uint32_t worker = 0;
    core::mono_time failed_at{};
    core::mono_time succeeded_at{};
  };

  worker_row& Row(std::uint32_t worker);
  void Expire(worker_row& row, core::mono_time now) const;
  class_outcome& Outcome(std::string_view work_class, std::uint32_t worker);
  bool IsClassAtFault(const std::string& work_class, core::mono_time now) const;
  bool ShouldQuarantine(worker_row& row, std::size_t fleet_size, core::mono_time now) const;
  quarantine_change EnterQuarantine(std::uint32_t worker, core::mono_time now);
  void FailProbe(std::uint32_t worker, core::mono_time now);
  void Release(std::uint32_t worker, core::mono_time now);

  quarantine_options options_;
  std::vector<quarantine_state> quarantine_states_;
  std::vector<worker_row> rows_;
  std::vector<std::uint32_t> untrusted_;
  std::unordered_map<std::string, std::vector<class_outcome>> classes_;
};

}  // namespace coltsfoot::blame

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::blame {

/// Whether a worker is trusted with work.
enum class quarantine_state : std::uint8_t {
  trusted = 0,
  quarantined = 1,  ///< gets no work
  probe_due = 2,    ///< may get one batch task or idempotent request as a probe
  probing = 3,      ///< the probe runs; no further work
};

/// Rules of the quarantine.
struct quarantine_options {
  std::uint32_t failures = 5;  ///< different pieces of work that must fail fast
  core::nanoseconds window = std::chrono::seconds{60};
  /// A failure counts if the work ran for less than this.
  core::nanoseconds fast = std::chrono::seconds{5};
  /// Success share within the window above which a worker is not quarantined.
  double tolerated_success_share = 0.5;
  /// Failures in a row that quarantine a worker whatever its success share: a worker that turns bad
  /// after many successes would otherwise fail as much work again first. At this length a worker
  /// that fails half of its work reaches it once in a thousand outcomes.
  std::uint32_t failures_in_a_row = 10;
  core::nanoseconds first_probe = std::chrono::seconds{5};  ///< doubles after each failed probe
  core::nanoseconds max_probe = std::chrono::minutes{5};
  /// A probe that runs for this long without failing has passed: a long task would otherwise keep
  /// a healthy worker idle, and bad workers fail fast.
  core::nanoseconds probe_passes_after = std::chrono::seconds{30};
  /// A class that failed on this many different workers within the window, and on more workers
  /// than it succeeded on, is itself at fault; its failures do not count against workers.
  std::uint32_t class_failure_workers = 3;
  /// At most this share of the fleet (at least one worker) is in quarantine at a time; beyond it
  /// the cause is not the workers.
  double max_share = 0.34;
};

/// A task failure that is not held against the task, because its worker was found bad.
struct refund {
  std::string work;
  std::uint32_t worker = 0;
  bool operator==(const refund&) const = default;
};

/// What changed through an outcome.
struct quarantine_change {
  bool entered = false;   ///< the worker is now quarantined
  bool released = false;  ///< the worker's probe succeeded
  std::vector<refund> refunds;
};

/// Finds workers that fail everything, keeps work from them and probes them. Soft state.
///
/// For a failed task call `OnFailure` first, then `task_verdicts::OnFailed` if the returned refunds
/// do not name the task, then `task_verdicts::Refund` for all of them.
class quarantine {
 public:
  explicit quarantine(quarantine_options options = {});
  /// Applies changed settings to later decisions.
  void SetOptions(const quarantine_options& options) { options_ = options; }

  /// Records that a piece of work succeeded on `worker`.
  quarantine_change OnSuccess(std::uint32_t worker, std::string_view work_class,
                              core::mono_time now);
  /// Records a failure.
  /// @param work id of the task or request. @param work_class task class or service.
  /// @param ran how long it ran. @param fleet_size dispatchable workers, for `max_share`.
  quarantine_change OnFailure(std::uint32_t worker, std::string_view work,
                              std::string_view work_class, core::nanoseconds ran,
                              std::size_t fleet_size, core::mono_time now);
  /// Records that work was sent to a worker in state `probe_due`; it is now `probing`.
  void OnProbeSent(std::uint32_t worker, core::mono_time now);
  /// The probe was refused or its assignment could not be recorded: the worker is `probe_due`
  /// again.
  void OnProbeNotRun(std::uint32_t worker);
  /// Moves workers whose probe interval has passed to `probe_due`. Call it each tick; costs
  /// nothing per trusted worker.
  /// @return workers that are trusted again.
  std::vector<std::uint32_t> Tick(core::mono_time now);
  /// Forgets a worker, because its agent restarted or its index is reused.
  void ResetWorker(std::uint32_t worker);

  /// Column of quarantine states by worker index, for placement; shorter than the worker table
  /// while no worker with a higher index has had an outcome.
  std::span<const quarantine_state> quarantine_states() const noexcept {
    return quarantine_states_;
  }
  /// @return the quarantine state of one worker.
  quarantine_state QuarantineStateOf(std::uint32_t worker) const noexcept {
    return worker < quarantine_states_.size() ? quarantine_states_[worker]
                                              : quarantine_state::trusted;
  }
  /// @return how many workers are not trusted.
  std::size_t untrusted() const noexcept { return untrusted_.size(); }

 private:
  struct failure {
    core::mono_time time;
    std::string work;
    std::string work_class;
  };
  struct worker_row {
    std::vector<failure> failures;  ///< fast failures of different work within the window
    double successes = 0;           ///< halves each window
    core::mono_time success_time{};
    std::uint32_t failed_in_a_row = 0;  ///< fast failures of different work since a success
    core::nanoseconds probe_interval{};
    core::mono_time next_event{};  ///< next probe, or the time at which the running one passes
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
  quarantine_change Enter(std::uint32_t worker, core::mono_time now);
  void FailProbe(std::uint32_t worker, core::mono_time now);
  void Release(std::uint32_t worker, core::mono_time now);

  quarantine_options options_;
  std::vector<quarantine_state> quarantine_states_;
  std::vector<worker_row> rows_;
  std::vector<std::uint32_t> untrusted_;
  std::unordered_map<std::string, std::vector<class_outcome>> classes_;
};

}  // namespace coltsfoot::blame

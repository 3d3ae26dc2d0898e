#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/job_table.h"
#include "jobs/worker_table.h"

/// Finds out which task crashes its targets. A task that began shortly before a crash, or under
/// which targets crashed twice in a row, is a suspect. Suspects start one at a time on isolated
/// workers, so that a further crash has a single suspect and takes little other work down.
namespace coltsfoot::jobs {

/// Time after which a started suspect no longer comes into question for a crash that follows its
/// start at once. Longer than `kSuspectAge`.
inline constexpr core::milliseconds kProbation{300};

/// @return the evidence against each of the runs after a crash of their target, in their order.
std::vector<crash_evidence> JudgeCrash(const std::vector<crashed_run>& runs,
                                       std::vector<crash_evidence> before);

/// @param crashes_alone number of crashes without another suspect that rule out a coincidence.
/// @return true if the task is to be given up.
bool IsCulprit(const crash_evidence& evidence, std::uint32_t crashes_alone) noexcept;

/// Settings of the isolation.
struct isolation_options {
  /// Share of a service's workers, in thousandths, that may be isolated at a time; at least one.
  std::size_t max_isolated_permille = 250;
  /// Once no target has crashed for this long, only tasks that were the single suspect of a crash
  /// still wait for an isolated worker.
  core::milliseconds calm_after{5000};
  bool operator==(const isolation_options&) const = default;
};

/// Decides which workers are isolated. Uses neither the network nor the wall clock.
class crash_isolation {
 public:
  explicit crash_isolation(isolation_options options = {}) : options_(options) {}

  /// Isolates workers while suspects wait or are on probation and releases the others. Sets
  /// `isolated` and `accepts_suspect` of all workers, and `needs_isolation` of all suspects.
  /// @param workers `committed` has to include all copies.
  void Update(const job_table& jobs, worker_table& workers, core::mono_time now);
  void Clear();
  /// Records that a target crashed.
  void RecordCrash(const worker_row& worker, core::mono_time now);
  /// @return the number of crashes without another suspect after which a task is the culprit. The
  /// more targets crash without an isolated suspect, and the longer the task had run, the more are
  /// needed.
  /// @param ran longest time for which it had run before a crash.
  std::uint32_t CrashesAloneOfCulprit(std::size_t workers, core::mono_time now,
                                      core::milliseconds ran = kProbation) const;

 private:
  /// Suspects of one step that wait for an isolated worker.
  struct waiting_step {
    const job_row* job = nullptr;
    std::uint32_t step = 0;
    std::size_t tasks = 0;
  };
  using step_list = std::vector<waiting_step>;
  using steps_by_service = std::map<std::string, step_list, std::less<>>;

  /// Decides for each suspect whether it needs isolation.
  /// @return the steps with suspects that need it and wait.
  steps_by_service FindWaiting(const job_table& jobs, core::mono_time now) const;
  /// @return true if a task of one of the steps has room on the worker now. Room that others occupy
  /// may never become free.
  static bool HasRoomForAny(const worker_row& worker, const step_list& waiting);
  /// Releases workers that have left, or on which no suspect is on probation or could start.
  void Release(const job_table& jobs, const worker_table& workers, const steps_by_service& waiting,
               core::mono_time now);
  /// Isolates further workers of a service with room for a suspect, those with the least work
  /// first.
  void Isolate(const std::string& service, const step_list& waiting, const worker_table& workers,
               core::mono_time now);

  isolation_options options_;
  std::set<std::string> isolated_;  ///< agents
  core::mono_time last_crash_;      ///< when a target was last found to have crashed; zero: not yet
  std::deque<core::mono_time> background_crashes_;  ///< of workers that were not isolated
};

}  // namespace coltsfoot::jobs

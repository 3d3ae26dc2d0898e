#pragma once

#include <string>
#include <vector>

#include "core/clock.h"

/// Checks the invariants of the design page on the work that ran and on the outcomes that callers
/// saw.
///
/// A history is a set of JSON lines, in any order, with the members `mono_ns` and `event`:
/// - ground truth of the targets (test/fakes): `target_start`, `task_start`, `task_resume`,
///   `task_checkpoint`, `task_stop`, `task_finish`, `task_fail`, `request_start`,
///   `request_finish`, `request_refused`;
/// - from the program that controls the processes: `killed` (worker: the target's process has
///   ended), `departed` (worker: its target has been asked to stop or is gone), `settled` (every
///   accepted task has had enough time to end);
/// - callers: `invoke` (op, key, idempotent, digest), `outcome` (op, key, code, answer_whole,
///   answer_digest, task), `task_ended` (task, code);
/// - configuration: `config_accepted` (version) and `config_seen` (process, version).
namespace coltsfoot::history {

/// Times within which the system must act.
struct bounds {
  core::milliseconds departure{5000};  ///< until a departed target gets no new work
  core::milliseconds config{14000};    ///< until an accepted configuration is in force everywhere
  /// A task that was stopped on request resumes from exactly that checkpoint. Not so if the owner
  /// may have requeued the task before it learned of the stop, as after a partition.
  bool strict_resume = false;
  bool operator==(const bounds&) const = default;
};

/// @return one sentence per violation; empty if the history keeps all invariants. A line that
/// cannot be parsed is a violation.
std::vector<std::string> Check(const std::vector<std::string>& lines, const bounds& limits);

}  // namespace coltsfoot::history

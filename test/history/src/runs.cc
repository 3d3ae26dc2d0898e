#include <fmt/format.h>

#include <map>
#include <optional>
#include <set>

#include "core/result_code.h"
#include "record.h"

namespace coltsfoot::history {
namespace {

enum class run_end : std::uint8_t { none, stopped, finished, failed, lost };

/// One run of a task on a worker.
struct run {
  std::string worker;
  std::int64_t start_ns = 0;
  std::int64_t end_ns = 0;
  std::uint64_t epoch = 0;
  std::int64_t start_progress = 0;
  std::int64_t end_progress = 0;
  run_end end = run_end::none;
  bool stop_requested = false;  ///< the agent requested the stop
  bool process_lost = false;    ///< the target ended later, perhaps with an undelivered event
};

struct task_history {
  std::vector<run> runs;
  std::set<std::int64_t> checkpoints{0};
};

run_end EndOf(const std::string& event) {
  if (event == "task_finish") return run_end::finished;
  return event == "task_fail" ? run_end::failed : run_end::stopped;
}

/// Tracks the runs of all tasks in chronological order.
class run_tracker {
 public:
  run_tracker(bool strict_resume, const report& found)
      : strict_resume_(strict_resume), found_(found) {}

  void Add(const record& item) {
    if (item.EndsProcess()) EndProcess(item);
    if (item.IsTaskStart()) Start(item);
    if (item.IsTaskEnd()) End(item);
    if (item.event == "task_checkpoint") {
      tasks_[item.Text("task")].checkpoints.insert(item.Number("progress"));
    }
  }

  const std::map<std::string, task_history>& tasks() const { return tasks_; }

 private:
  void Start(const record& item) {
    const std::string id = item.Text("task");
    task_history& task = tasks_[id];
    run next{.worker = item.Text("worker"),
             .start_ns = item.at_ns,
             .epoch = item.Unsigned("epoch"),
             .start_progress = item.Number("progress")};
    if (!task.runs.empty()) CheckSuccessor(id, task.runs.back(), next);
    if (!task.checkpoints.contains(next.start_progress)) {
      found_(fmt::format("task {} resumed in epoch {} from {}, which is no checkpoint of it", id,
                         next.epoch, next.start_progress));
    }
    task.runs.push_back(next);
  }

  void CheckSuccessor(const std::string& id, const run& last, const run& next) const {
    if (last.end == run_end::none) {
      found_(fmt::format("task {} runs on {} in epoch {} and on {} in epoch {} at the same time",
                         id, last.worker, last.epoch, next.worker, next.epoch));
    }
    if (next.epoch <= last.epoch) {
      found_(fmt::format("task {} was started in epoch {} after epoch {}", id, next.epoch,
                         last.epoch));
    }
    if (last.end == run_end::finished && !last.process_lost) {
      found_(
          fmt::format("task {} was started again after it finished in epoch {}", id, last.epoch));
    }
    const bool delivered =
        last.end == run_end::stopped && last.stop_requested && !last.process_lost;
    if (strict_resume_ && delivered && next.start_progress != last.end_progress) {
      found_(fmt::format("task {} was stopped at {} and resumed from {}", id, last.end_progress,
                         next.start_progress));
    }
  }

  void End(const record& item) {
    const std::string id = item.Text("task");
    task_history& task = tasks_[id];
    const std::uint64_t epoch = item.Unsigned("epoch");
    for (run& each : task.runs) {
      if (each.epoch != epoch || each.worker != item.Text("worker")) continue;
      each.end = EndOf(item.event);
      each.end_ns = item.at_ns;
      each.end_progress = item.Number("progress");
      each.stop_requested = item.Text("reason") == "asked";
    }
    if (item.event == "task_stop") task.checkpoints.insert(item.Number("progress"));
  }

  void EndProcess(const record& item) {
    const std::string worker = item.Text("worker");
    for (auto& [id, task] : tasks_) {
      for (run& each : task.runs) {
        if (each.worker != worker) continue;
        each.process_lost = true;
        if (each.end == run_end::none) each.end = run_end::lost;
      }
    }
  }

  bool strict_resume_;
  const report& found_;
  std::map<std::string, task_history> tasks_;
};

bool Finished(const std::map<std::string, task_history>& tasks, const std::string& id) {
  const auto task = tasks.find(id);
  if (task == tasks.end()) return false;
  for (const run& each : task->second.runs) {
    if (each.end == run_end::finished) return true;
  }
  return false;
}

}  // namespace

void CheckRuns(const record_list& records, bool strict_resume, const report& found) {
  run_tracker tracker(strict_resume, found);
  std::set<std::string> accepted;
  std::map<std::string, core::result_code> ended;
  bool settled = false;
  for (const record& item : records) {
    tracker.Add(item);
    settled = settled || item.event == "settled";
    const std::string id = item.Text("task");
    const auto code = static_cast<core::result_code>(item.Number("code"));
    if (item.event == "outcome" && !id.empty()) accepted.insert(id);
    if (item.event != "task_ended") continue;
    const auto [position, added] = ended.emplace(id, code);
    if (!added && position->second != code) {
      found(fmt::format("task {} ended with code {} and with code {}", id,
                        static_cast<int>(position->second), static_cast<int>(code)));
    }
  }
  for (const auto& [id, code] : ended) {
    if (code == core::result_code::ok && !Finished(tracker.tasks(), id)) {
      found(fmt::format("task {} is reported as finished and did not finish", id));
    }
    if (core::IsNotRun(code) && tracker.tasks().contains(id)) {
      found(fmt::format("task {} is reported as not run and ran", id));
    }
  }
  for (const std::string& id : accepted) {
    if (settled && !ended.contains(id) && !Finished(tracker.tasks(), id)) {
      found(fmt::format("task {} was accepted and is lost", id));
    }
  }
}

}  // namespace coltsfoot::history

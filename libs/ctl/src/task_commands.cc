#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "http/client.h"
#include "session.h"
#include "text_table.h"

namespace coltsfoot::ctl {
namespace {

using core::milliseconds;
using nlohmann::json;

// Short enough to show changes of the state soon after they happen.
constexpr milliseconds kWatchPoll{2000};
// An entry that is shutting down answers a poll at once; the pause keeps the terminal from asking
// it in a tight loop.
constexpr milliseconds kWatchPause{200};
constexpr milliseconds kMaxPause{5000};

std::string TaskPath(const std::string& task) {
  return fmt::format("/v1/tasks/{}", http::UrlEncode(task));
}

std::string TextOf(const json& row, const char* field) {
  const auto found = row.find(field);
  if (found == row.end() || found->is_null()) return "";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void PrintTask(session& run, const json& view) {
  for (const char* field : {"task", "team", "task_class", "kind", "urgent", "state", "code", "name",
                            "reason", "epoch", "worker", "evictions", "attempts", "result"}) {
    const std::string text = TextOf(view, field);
    const bool says_nothing = text.empty() || (text == "ok" && std::string_view(field) == "reason");
    if (!says_nothing) run.around.out << fmt::format("{:<12}{}\n", field, text);
  }
}

std::string Summary(const json& view) {
  std::string text = TextOf(view, "state");
  if (text == "ended") return fmt::format("ended: {}", TextOf(view, "name"));
  const std::string worker = TextOf(view, "worker");
  if (text != "queued" && !worker.empty()) text += " on " + worker;
  const std::string reason = TextOf(view, "reason");
  return reason.empty() || reason == "ok" ? text : fmt::format("{} ({})", text, reason);
}

/// @return the exit code for an ended task: its own outcome counts.
exit_code ExitCodeOfTask(const json& view) {
  return view.value("code", 0) == 0 ? exit_code::ok : exit_code::failed;
}

}  // namespace

exit_code TaskSubmit(session& run) {
  const options& flags = run.flags;
  if (flags.team.empty() || flags.task_class.empty()) {
    return run.Usage("A task needs --team=NAME and --class=NAME.");
  }
  if (flags.kind != "batch" && flags.kind != "latency_critical") {
    return run.Usage("--kind is batch or latency_critical.");
  }
  const json body = {{"team", flags.team},
                     {"task_class", flags.task_class},
                     {"kind", flags.kind},
                     {"urgent", flags.urgent},
                     {"resources",
                      {{"cpu_millis", flags.cpu_millis},
                       {"memory_mb", flags.memory_mb},
                       {"accelerators", flags.accelerators}}},
                     {"expected_ms", flags.expected_ms},
                     {"payload", flags.payload}};
  // One key for all tries, so that they submit one task.
  const std::string key = flags.key.empty() ? run.NewKey() : flags.key;
  const api_outcome outcome = run.Call({.method = "POST",
                                        .path = "/v1/tasks",
                                        .headers = {{"Idempotency-Key", key}},
                                        .body = body.dump()});
  if (outcome.code == exit_code::unknown) {
    run.around.err << fmt::format("Submit again with --key={} to be sure; it stays one task.\n",
                                  key);
  }
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (!run.PrintedJson(outcome)) {
    const json answer = json::parse(outcome.answer->body, nullptr, false);
    run.around.out << answer.value("task", "") << '\n';
  }
  return exit_code::ok;
}

exit_code TaskGet(session& run) {
  const api_outcome outcome = run.Get(TaskPath(run.arguments[0]));
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (!run.PrintedJson(outcome)) PrintTask(run, json::parse(outcome.answer->body, nullptr, false));
  return exit_code::ok;
}

exit_code TaskWatch(session& run) {
  const core::mono_time until = run.around.time.Now() + run.flags.wait;
  const std::string path =
      fmt::format("{}?wait_ms={}", TaskPath(run.arguments[0]), kWatchPoll.count());
  std::string shown;
  milliseconds pause = kWatchPause;
  while (run.around.time.Now() < until) {
    const api_outcome outcome = run.Get(path);
    const bool transient = outcome.code == exit_code::cannot_connect || !outcome.answer ||
                           core::HttpStatus(outcome.reason.code) >= 500;
    if (outcome.code == exit_code::ok) {
      const json view = json::parse(outcome.answer->body, nullptr, false);
      const bool ended = view.value("state", "") == "ended";
      const std::string summary = Summary(view);
      if (summary != shown && !run.flags.json) run.around.out << summary << std::endl;
      shown = summary;
      if (ended) {
        if (!run.PrintedJson(outcome)) run.around.out << TextOf(view, "result") << '\n';
        return ExitCodeOfTask(view);
      }
      pause = kWatchPause;
    } else if (!transient) {
      return run.Report(outcome);
    } else {
      pause = std::min(kMaxPause, pause * 2);
    }
    run.around.sleep(pause);
  }
  run.around.err << "The task has not ended within --wait_ms; it goes on.\n";
  return exit_code::unknown;
}

exit_code TaskCancel(session& run) {
  const api_outcome outcome =
      run.Call({.method = "POST", .path = TaskPath(run.arguments[0]) + "/cancel"});
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (!run.PrintedJson(outcome)) run.around.out << "Cancellation of the task is recorded.\n";
  return exit_code::ok;
}

exit_code TaskList(session& run) {
  std::string path = fmt::format("/v1/tasks?limit={}", run.flags.limit);
  if (!run.flags.team.empty()) path += "&team=" + http::UrlEncode(run.flags.team);
  if (!run.flags.state.empty()) path += "&state=" + http::UrlEncode(run.flags.state);
  const api_outcome outcome = run.Get(path);
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (run.PrintedJson(outcome)) return exit_code::ok;
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  text_table table(
      {"TASK", "TEAM", "CLASS", "KIND", "STATE", "WORKER", "EVICTIONS", "ATTEMPTS", "OUTCOME"});
  for (const json& row : answer.value("tasks", json::array())) {
    table.Add({TextOf(row, "task"), TextOf(row, "team"), TextOf(row, "task_class"),
               TextOf(row, "kind"), TextOf(row, "state"), TextOf(row, "worker"),
               TextOf(row, "evictions"), TextOf(row, "attempts"), TextOf(row, "name")});
  }
  run.around.out << table.Render();
  return exit_code::ok;
}

exit_code TaskExplain(session& run) {
  const api_outcome outcome = run.Get(TaskPath(run.arguments[0]) + "/explain");
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (run.PrintedJson(outcome)) return exit_code::ok;
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  run.around.out << fmt::format("{} is {}\n", run.arguments[0], TextOf(answer, "state"));
  for (const json& line : answer.value("lines", json::array())) {
    run.around.out << "  " << (line.is_string() ? line.get<std::string>() : line.dump()) << '\n';
  }
  return exit_code::ok;
}

exit_code Request(session& run) {
  const options& flags = run.flags;
  http::header_map headers = {{"X-Idempotent", flags.idempotent ? "true" : "false"}};
  const std::string key = flags.key.empty() ? run.NewKey() : flags.key;
  if (!flags.idempotent) headers["Idempotency-Key"] = key;
  if (!flags.team.empty()) headers["X-Team"] = flags.team;
  if (flags.deadline_ms > 0) headers["X-Deadline-Ms"] = std::to_string(flags.deadline_ms);
  const api_outcome outcome =
      run.Call({.method = "POST",
                .path = fmt::format("/v1/services/{}/requests", http::UrlEncode(run.arguments[0])),
                .headers = headers,
                .body = flags.body,
                .timeout = milliseconds{flags.deadline_ms} + run.flags.timeout});
  if (outcome.code == exit_code::unknown && !flags.idempotent) {
    run.around.err << fmt::format(
        "Send it again with --key={} to learn the outcome; it runs at most once.\n", key);
  }
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  run.around.out << outcome.answer->body << '\n';
  return exit_code::ok;
}

}  // namespace coltsfoot::ctl

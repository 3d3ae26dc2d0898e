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

// Long poll timeout of the entry. Short, so that changes of the state show soon.
constexpr milliseconds kWatchPollTimeout{2000};
// An entry that is shutting down answers a long poll at once; the pause avoids a busy loop.
constexpr milliseconds kMinWatchPause{200};
constexpr milliseconds kMaxWatchPause{5000};

std::string TaskPath(const std::string& task) {
  return fmt::format("/v1/tasks/{}", http::UrlEncode(task));
}

std::string TextOf(const json& row, const char* field) {
  const auto found = row.find(field);
  if (found == row.end() || found->is_null()) return "";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void PrintTask(session& ctx, const json& view) {
  for (const char* field : {"task", "team", "task_class", "kind", "urgent", "state", "code", "name",
                            "reason", "epoch", "worker", "evictions", "attempts", "result"}) {
    const std::string text = TextOf(view, field);
    const bool omitted = text.empty() || (text == "ok" && std::string_view(field) == "reason");
    if (!omitted) ctx.env.out << fmt::format("{:<12}{}\n", field, text);
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

/// @return the exit code for an ended task, which depends on the outcome of the task.
exit_code ExitCodeOfTask(const json& view) {
  return view.value("code", 0) == 0 ? exit_code::ok : exit_code::failed;
}

}  // namespace

exit_code TaskSubmit(session& ctx) {
  const options& flags = ctx.flags;
  if (flags.team.empty() || flags.task_class.empty()) {
    return ctx.Usage("A task needs --team=NAME and --class=NAME.");
  }
  if (flags.kind != "batch" && flags.kind != "latency_critical") {
    return ctx.Usage("--kind is batch or latency_critical.");
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
  // All attempts share one key, so that they create only one task.
  const std::string key = flags.key.empty() ? ctx.NewIdempotencyKey() : flags.key;
  const api_outcome outcome = ctx.Call({.method = "POST",
                                        .path = "/v1/tasks",
                                        .headers = {{"Idempotency-Key", key}},
                                        .body = body.dump()});
  if (outcome.code == exit_code::unknown) {
    ctx.env.err << fmt::format("Submit again with --key={} to be sure; it stays one task.\n", key);
  }
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (!ctx.PrintAsJson(outcome)) {
    const json answer = json::parse(outcome.answer->body, nullptr, false);
    ctx.env.out << answer.value("task", "") << '\n';
  }
  return exit_code::ok;
}

exit_code TaskGet(session& ctx) {
  const api_outcome outcome = ctx.Get(TaskPath(ctx.arguments[0]));
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (!ctx.PrintAsJson(outcome)) PrintTask(ctx, json::parse(outcome.answer->body, nullptr, false));
  return exit_code::ok;
}

exit_code TaskWatch(session& ctx) {
  const core::mono_time deadline = ctx.env.time.Now() + ctx.flags.wait;
  const std::string path =
      fmt::format("{}?wait_ms={}", TaskPath(ctx.arguments[0]), kWatchPollTimeout.count());
  std::string last_summary;
  milliseconds pause = kMinWatchPause;
  while (ctx.env.time.Now() < deadline) {
    const api_outcome outcome = ctx.Get(path);
    const bool transient = outcome.code == exit_code::cannot_connect || !outcome.answer ||
                           core::HttpStatus(outcome.reason.code) >= 500;
    if (outcome.code == exit_code::ok) {
      const json view = json::parse(outcome.answer->body, nullptr, false);
      const bool ended = view.value("state", "") == "ended";
      const std::string summary = Summary(view);
      if (summary != last_summary && !ctx.flags.json) ctx.env.out << summary << std::endl;
      last_summary = summary;
      if (ended) {
        if (!ctx.PrintAsJson(outcome)) ctx.env.out << TextOf(view, "result") << '\n';
        return ExitCodeOfTask(view);
      }
      pause = kMinWatchPause;
    } else if (!transient) {
      return ctx.Report(outcome);
    } else {
      pause = std::min(kMaxWatchPause, pause * 2);
    }
    ctx.env.sleep(pause);
  }
  ctx.env.err << "The task has not ended within --wait_ms; it goes on.\n";
  return exit_code::unknown;
}

exit_code TaskCancel(session& ctx) {
  const api_outcome outcome =
      ctx.Call({.method = "POST", .path = TaskPath(ctx.arguments[0]) + "/cancel"});
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (!ctx.PrintAsJson(outcome)) ctx.env.out << "Cancellation of the task is recorded.\n";
  return exit_code::ok;
}

exit_code TaskList(session& ctx) {
  std::string path = fmt::format("/v1/tasks?limit={}", ctx.flags.limit);
  if (!ctx.flags.team.empty()) path += "&team=" + http::UrlEncode(ctx.flags.team);
  if (!ctx.flags.state.empty()) path += "&state=" + http::UrlEncode(ctx.flags.state);
  const api_outcome outcome = ctx.Get(path);
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (ctx.PrintAsJson(outcome)) return exit_code::ok;
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  text_table table(
      {"TASK", "TEAM", "CLASS", "KIND", "STATE", "WORKER", "EVICTIONS", "ATTEMPTS", "OUTCOME"});
  for (const json& row : answer.value("tasks", json::array())) {
    table.AddRow({TextOf(row, "task"), TextOf(row, "team"), TextOf(row, "task_class"),
                  TextOf(row, "kind"), TextOf(row, "state"), TextOf(row, "worker"),
                  TextOf(row, "evictions"), TextOf(row, "attempts"), TextOf(row, "name")});
  }
  ctx.env.out << table.Render();
  return exit_code::ok;
}

exit_code TaskExplain(session& ctx) {
  const api_outcome outcome = ctx.Get(TaskPath(ctx.arguments[0]) + "/explain");
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (ctx.PrintAsJson(outcome)) return exit_code::ok;
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  ctx.env.out << fmt::format("{} is {}\n", ctx.arguments[0], TextOf(answer, "state"));
  for (const json& line : answer.value("lines", json::array())) {
    ctx.env.out << "  " << (line.is_string() ? line.get<std::string>() : line.dump()) << '\n';
  }
  return exit_code::ok;
}

exit_code Request(session& ctx) {
  const options& flags = ctx.flags;
  http::header_map headers = {{"X-Idempotent", flags.idempotent ? "true" : "false"}};
  const std::string key = flags.key.empty() ? ctx.NewIdempotencyKey() : flags.key;
  if (!flags.idempotent) headers["Idempotency-Key"] = key;
  if (!flags.team.empty()) headers["X-Team"] = flags.team;
  if (flags.deadline_ms > 0) headers["X-Deadline-Ms"] = std::to_string(flags.deadline_ms);
  const api_outcome outcome =
      ctx.Call({.method = "POST",
                .path = fmt::format("/v1/services/{}/requests", http::UrlEncode(ctx.arguments[0])),
                .headers = headers,
                .body = flags.body,
                .timeout = milliseconds{flags.deadline_ms} + ctx.flags.timeout});
  if (outcome.code == exit_code::unknown && !flags.idempotent) {
    ctx.env.err << fmt::format(
        "Send it again with --key={} to learn the outcome; it runs at most once.\n", key);
  }
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  ctx.env.out << outcome.answer->body << '\n';
  return exit_code::ok;
}

}  // namespace coltsfoot::ctl

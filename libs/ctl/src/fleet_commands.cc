#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

#include "session.h"
#include "text_table.h"

namespace coltsfoot::ctl {
namespace {

using nlohmann::json;

std::string TextOf(const json& row, const char* field) {
  const auto found = row.find(field);
  if (found == row.end() || found->is_null()) return "-";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string FreeOfTotal(const json& row, const char* free, const char* total) {
  return fmt::format("{}/{}", TextOf(row, free), TextOf(row, total));
}

/// @return the parsed body of an answer; a value that is not an object on failure.
json ReadObject(const api_outcome& outcome) {
  if (!outcome.answer) return {};
  return json::parse(outcome.answer->body, nullptr, false);
}

void PrintEntries(session& ctx, json& report) {
  text_table table({"ENTRY", "READY", "VERSION", "SHARDS", "WORKERS", "STORE"});
  for (const std::string& entry : ctx.flags.entries) {
    const json state =
        ReadObject(ctx.entries.CallOne(entry, {.path = "/readyz", .timeout = ctx.flags.timeout}));
    if (!state.is_object()) {
      table.AddRow({entry, "no answer", "-", "-", "-", "-"});
      report["entries"].push_back({{"entry", entry}, {"ready", nullptr}});
      continue;
    }
    const json shards = state.value("shards", json::array());
    table.AddRow({entry, TextOf(state, "ready"), TextOf(state, "config_version"),
                  std::to_string(shards.size()), TextOf(state, "workers"),
                  state.value("store_reachable", false) ? "reachable" : "unreachable"});
    json row = state;
    row["entry"] = entry;
    report["entries"].push_back(std::move(row));
  }
  if (!ctx.flags.json) ctx.env.out << table.Render();
}

void PrintCounts(session& ctx, const json& workers, const json& teams, json& report) {
  std::map<std::string, std::size_t> states;
  for (const json& row : workers.value("workers", json::array())) states[TextOf(row, "state")] += 1;
  std::int64_t queued = 0;
  std::int64_t running = 0;
  for (const json& row : teams.value("teams", json::array())) {
    queued += row.value("queued", std::int64_t{0});
    running += row.value("running", std::int64_t{0});
  }
  report["workers"] = states;
  report["tasks"] = {{"queued", queued}, {"running", running}};
  if (ctx.flags.json) return;
  ctx.env.out << "Workers:";
  for (const auto& [state, count] : states) ctx.env.out << fmt::format(" {} {}", count, state);
  ctx.env.out << fmt::format("\nTasks: {} queued, {} running\n", queued, running);
}

}  // namespace

exit_code Workers(session& ctx) {
  const api_outcome outcome = ctx.Get("/v1/workers");
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (ctx.PrintAsJson(outcome)) return exit_code::ok;
  text_table table({"WORKER", "ZONE", "RACK", "STATE", "CPU FREE", "MEMORY FREE", "ACCEL. FREE",
                    "SLOTS FREE", "TASKS", "VERSION", "HEARD"});
  for (const json& row : ReadObject(outcome).value("workers", json::array())) {
    table.AddRow({TextOf(row, "worker"), TextOf(row, "zone"), TextOf(row, "rack"),
                  TextOf(row, "state"), FreeOfTotal(row, "cpu_millis_free", "cpu_millis"),
                  FreeOfTotal(row, "memory_mb_free", "memory_mb"),
                  FreeOfTotal(row, "accelerators_free", "accelerators"),
                  FreeOfTotal(row, "slots_free", "slots"), TextOf(row, "running_tasks"),
                  TextOf(row, "config_version"), TextOf(row, "heard_ms_ago") + " ms ago"});
  }
  ctx.env.out << table.Render();
  return exit_code::ok;
}

exit_code Teams(session& ctx) {
  const api_outcome outcome = ctx.Get("/v1/teams");
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (ctx.PrintAsJson(outcome)) return exit_code::ok;
  text_table table({"TEAM", "CPU MILLIS", "QUOTA", "QUEUED", "RUNNING"});
  for (const json& row : ReadObject(outcome).value("teams", json::array())) {
    const std::string quota = TextOf(row, "quota");
    table.AddRow({TextOf(row, "team"), TextOf(row, "cpu_millis"), quota == "-" ? "none" : quota,
                  TextOf(row, "queued"), TextOf(row, "running")});
  }
  ctx.env.out << table.Render();
  return exit_code::ok;
}

exit_code Status(session& ctx) {
  json report = {{"entries", json::array()}};
  PrintEntries(ctx, report);
  const api_outcome workers = ctx.Get("/v1/workers");
  if (workers.code != exit_code::ok) return ctx.Report(workers);
  const api_outcome teams = ctx.Get("/v1/teams");
  if (teams.code != exit_code::ok) return ctx.Report(teams);
  PrintCounts(ctx, ReadObject(workers), ReadObject(teams), report);
  if (ctx.flags.json) ctx.env.out << report.dump() << '\n';
  return exit_code::ok;
}

}  // namespace coltsfoot::ctl

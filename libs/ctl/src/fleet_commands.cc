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

/// Reads an object from an entry.
/// @return the answer; on failure a value that is no object.
json ReadObject(const api_outcome& outcome) {
  if (!outcome.answer) return {};
  return json::parse(outcome.answer->body, nullptr, false);
}

void PrintEntries(session& run, json& report) {
  text_table table({"ENTRY", "READY", "VERSION", "SHARDS", "WORKERS", "STORE"});
  for (const std::string& entry : run.flags.entries) {
    const json state =
        ReadObject(run.entries.CallOne(entry, {.path = "/readyz", .timeout = run.flags.timeout}));
    if (!state.is_object()) {
      table.Add({entry, "no answer", "-", "-", "-", "-"});
      report["entries"].push_back({{"entry", entry}, {"ready", nullptr}});
      continue;
    }
    const json shards = state.value("shards", json::array());
    table.Add({entry, TextOf(state, "ready"), TextOf(state, "config_version"),
               std::to_string(shards.size()), TextOf(state, "workers"),
               state.value("store_reachable", false) ? "reachable" : "unreachable"});
    json row = state;
    row["entry"] = entry;
    report["entries"].push_back(std::move(row));
  }
  if (!run.flags.json) run.around.out << table.Render();
}

void PrintCounts(session& run, const json& workers, const json& teams, json& report) {
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
  if (run.flags.json) return;
  run.around.out << "Workers:";
  for (const auto& [state, count] : states) run.around.out << fmt::format(" {} {}", count, state);
  run.around.out << fmt::format("\nTasks: {} queued, {} running\n", queued, running);
}

}  // namespace

exit_code Workers(session& run) {
  const api_outcome outcome = run.Get("/v1/workers");
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (run.PrintedJson(outcome)) return exit_code::ok;
  text_table table({"WORKER", "ZONE", "RACK", "STATE", "CPU FREE", "MEMORY FREE", "ACCEL. FREE",
                    "SLOTS FREE", "TASKS", "VERSION", "HEARD"});
  for (const json& row : ReadObject(outcome).value("workers", json::array())) {
    table.Add({TextOf(row, "worker"), TextOf(row, "zone"), TextOf(row, "rack"),
               TextOf(row, "state"), FreeOfTotal(row, "cpu_millis_free", "cpu_millis"),
               FreeOfTotal(row, "memory_mb_free", "memory_mb"),
               FreeOfTotal(row, "accelerators_free", "accelerators"),
               FreeOfTotal(row, "slots_free", "slots"), TextOf(row, "running_tasks"),
               TextOf(row, "config_version"), TextOf(row, "heard_ms_ago") + " ms ago"});
  }
  run.around.out << table.Render();
  return exit_code::ok;
}

exit_code Teams(session& run) {
  const api_outcome outcome = run.Get("/v1/teams");
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (run.PrintedJson(outcome)) return exit_code::ok;
  text_table table({"TEAM", "CPU MILLIS", "QUOTA", "QUEUED", "RUNNING"});
  for (const json& row : ReadObject(outcome).value("teams", json::array())) {
    const std::string quota = TextOf(row, "quota");
    table.Add({TextOf(row, "team"), TextOf(row, "cpu_millis"), quota == "-" ? "none" : quota,
               TextOf(row, "queued"), TextOf(row, "running")});
  }
  run.around.out << table.Render();
  return exit_code::ok;
}

exit_code Status(session& run) {
  json report = {{"entries", json::array()}};
  PrintEntries(run, report);
  const api_outcome workers = run.Get("/v1/workers");
  if (workers.code != exit_code::ok) return run.Report(workers);
  const api_outcome teams = run.Get("/v1/teams");
  if (teams.code != exit_code::ok) return run.Report(teams);
  PrintCounts(run, ReadObject(workers), ReadObject(teams), report);
  if (run.flags.json) run.around.out << report.dump() << '\n';
  return exit_code::ok;
}

}  // namespace coltsfoot::ctl

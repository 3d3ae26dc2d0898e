#include "measure/run.h"

#include <fmt/format.h>

#include <atomic>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "history/checker.h"
#include "load/runner.h"

namespace coltsfoot::measure {
namespace {

using core::milliseconds;
using nlohmann::json;

constexpr std::size_t kEntries = 3;
constexpr std::size_t kWorkers = 11;
constexpr milliseconds kReadyTimeout{40000};
constexpr milliseconds kConfigTimeout{14000};
// Calls without an answer after this time count as unanswered, so that a run ends soon after its
// last call.
constexpr milliseconds kAnswerTimeout{4000};

harness::fleet_options FleetOptions(const deployment& setup) {
  harness::fleet_options options{.entries = kEntries, .workers = kWorkers};
  options.services = {setup.service};
  // The defaults of docs/operators.md.
  options.timings = {.heartbeat = milliseconds{5000},
                     .lease_ttl = milliseconds{15000},
                     .lease_margin = milliseconds{1000},
                     .orphan_grace = milliseconds{180000},
                     .store_lease_ttl = milliseconds{10000},
                     .commit_interval = milliseconds{40},
                     .announce_timeout = milliseconds{3000}};
  // Requests take longer than in settings/, so that they fill the slots at a request rate that the
  // shared machine can handle.
  options.target = {{"cpu_millis", "16000"},   {"memory_mb", "60000"}, {"slots", "8"},
                    {"connections", "64"},     {"service_ms", "60"},   {"service_spread_ms", "30"},
                    {"usage_delay_ms", "2000"}};
  options.target["interference"] = harness::YamlList(
      {setup.service + ":noisy:4000", setup.service + ":plan:300", "plan:noisy:1500",
       "plan:plan:200", "watch:noisy:1500", "noisy:noisy:500"});
  return options;
}

/// @return false if the setting is not in force at all entries in time.
bool Configure(harness::fleet& fleet, const deployment& setup, const std::string& policy) {
  const json body = {{"author", "measure"},
                     {"set",
                      {{"placement.policy", policy},
                       {"weights.tail_latency", setup.tail_latency},
                       {"weights.throughput", setup.throughput},
                       {"weights.evictions", setup.evictions}}},
                     {"unset", json::array()}};
  const auto changed =
      fleet.calls().Call("PATCH", fleet.Entry(0) + "/v1/config/defaults", body.dump());
  if (!changed.answer || changed.answer->status != 200) return false;
  const auto version = json::parse(changed.answer->body, nullptr, false).value("version", 0);
  return harness::WaitUntil(kConfigTimeout, [&] {
    for (const std::string& entry : fleet.Entries()) {
      const auto read = fleet.calls().Call("GET", entry + "/v1/config");
      if (!read.answer || read.answer->status != 200) return false;
      const json current = json::parse(read.answer->body, nullptr, false);
      if (!current.is_object() || current.value("version", 0) < version) return false;
    }
    return true;
  });
}

/// Sends the load of one phase at its time.
load::load_report SendPhase(const load_phase& phase, const std::vector<std::string>& entries,
                            std::chrono::steady_clock::time_point start, load::history& log) {
  std::this_thread::sleep_until(start + phase.at);
  load::load_options options = phase.load;
  options.entries = entries;
  options.timeout = kAnswerTimeout;
  const core::system_clock time;
  const auto client = http::MakeCurlClient();
  const std::atomic<bool> stop{false};
  const auto sleep = [](core::nanoseconds pause) { std::this_thread::sleep_for(pause); };
  return load::RunLoad(options, {{client.get()}, time, sleep, log, stop, nullptr});
}

void Add(std::map<std::string, std::uint64_t>& sums,
         const std::map<std::string, std::uint64_t>& counts) {
  for (const auto& [key, count] : counts) sums[key] += count;
}

void ReadCounters(harness::fleet& fleet, run_result& result) {
  for (const std::string& entry : fleet.Entries()) {
    const auto read = fleet.calls().Call("GET", entry + "/metrics");
    if (!read.answer || read.answer->status != 200) {
      result.error = "an entry did not answer for its counters";
      continue;
    }
    const std::string& text = read.answer->body;
    std::ofstream(fleet.directory() / "counters", std::ios::app) << "# " << entry << "\n" << text;
    Add(result.task_outcomes, SumCounter(text, "coltsfoot_tasks_ended_total", "code"));
    Add(result.evictions, SumCounter(text, "coltsfoot_evictions_total", "reason"));
    for (const auto& [key, count] : SumCounter(text, "coltsfoot_tasks_lost_total", "")) {
      result.tasks_lost += count;
    }
  }
}

std::vector<std::string> CheckHistory(const harness::fleet& fleet,
                                      const std::filesystem::path& load_history) {
  std::vector<std::string> lines = fleet.Truth({});
  for (const auto& file : {fleet.directory() / "callers.history", load_history}) {
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) lines.push_back(line);
  }
  history::bounds limits;
  limits.departure = fleet.timings().DepartureBound();
  return history::Check(lines, limits);
}

}  // namespace

double run_result::TasksPerSecond() const {
  const auto found = task_outcomes.find("ok");
  return found == task_outcomes.end() || seconds <= 0
             ? 0
             : static_cast<double>(found->second) / seconds;
}

std::uint64_t run_result::Evictions() const {
  std::uint64_t sum = 0;
  for (const auto& [reason, count] : evictions) sum += count;
  return sum;
}

run_result Run(const deployment& setup, const scenario& spec, const std::string& policy,
               milliseconds duration) {
  run_result result{.scenario = spec.name, .policy = policy};
  harness::fleet fleet(FleetOptions(setup));
  if (!fleet.WaitReady(kReadyTimeout)) {
    result.error = "the fleet was not ready in time";
    return result;
  }
  if (!Configure(fleet, setup, policy)) {
    result.error = "policy and weights were not in force in time";
    return result;
  }
  const auto load_history = fleet.directory() / "load.history";
  {
    std::ofstream out(load_history);
    const core::system_clock time;
    load::history log(&out, time);
    const auto start = std::chrono::steady_clock::now();
    const auto entries = fleet.Entries();
    std::vector<std::future<load::load_report>> reports;
    reports.reserve(spec.phases.size());
    for (const load_phase& phase : spec.phases) {
      reports.push_back(std::async(std::launch::async, [&phase, &entries, start, &log] {
        return SendPhase(phase, entries, start, log);
      }));
    }
    for (const fault_step& step : spec.faults) {
      std::this_thread::sleep_until(start + step.at);
      step.apply(fleet);
    }
    std::this_thread::sleep_until(start + duration);
    ReadCounters(fleet, result);
    result.seconds = std::chrono::duration<double>(duration).count();
    for (std::size_t index = 0; index < reports.size(); ++index) {
      load::load_report report = reports[index].get();
      result.wrong_answers += report.mismatched + report.truncated;
      for (const auto& [code, count] : report.submit_outcomes) {
        result.submissions[std::string(ToString(code))] += count;
      }
      if (index == 0) result.service = std::move(report);
    }
  }
  result.violations = CheckHistory(fleet, load_history);
  return result;
}

std::map<std::string, std::uint64_t> SumCounter(const std::string& text, const std::string& name,
                                                const std::string& label) {
  std::map<std::string, std::uint64_t> sums;
  std::istringstream lines(text);
  const std::string label_start = label + "=\"";
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(name)) continue;
    const char after = line.size() > name.size() ? line[name.size()] : ' ';
    if (after != '{' && after != ' ') continue;
    std::string key;
    if (!label.empty()) {
      const std::size_t found = line.find(label_start);
      if (found == std::string::npos) continue;
      const std::size_t begin = found + label_start.size();
      key = line.substr(begin, line.find('"', begin) - begin);
    }
    sums[key] += std::strtoull(line.c_str() + line.rfind(' ') + 1, nullptr, 10);
  }
  return sums;
}

}  // namespace coltsfoot::measure

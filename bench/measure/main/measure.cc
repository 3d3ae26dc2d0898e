#include <absl/flags/flag.h>
#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>

#include "measure/report.h"
#include "program/command_line.h"

ABSL_FLAG(std::vector<std::string>, deployment, {}, "deployments to measure; empty: all");
ABSL_FLAG(std::vector<std::string>, scenario, {}, "scenarios to run; empty: all");
ABSL_FLAG(std::vector<std::string>, policy, {}, "policies to compare; empty: all");
ABSL_FLAG(std::int64_t, seconds, 22, "length of each run");
ABSL_FLAG(std::vector<std::string>, seed, {"1"},
          "seeds, one set of runs each; the same seed draws the same calls");
ABSL_FLAG(std::string, output, "docs/measurements", "directory for tables and plots");
ABSL_FLAG(std::string, label, "", "added to the names of the written files");
ABSL_FLAG(std::string, revision, "unknown", "revision that is measured, for the table");

namespace {

namespace measure = coltsfoot::measure;

constexpr int kExitBadRun = 1;
constexpr int kExitUsage = 2;
constexpr std::chrono::seconds kTimeLimit{1800};
constexpr std::string_view kHelp =
    R"(coltsfoot-measure runs fleets of the built programs under load and faults and compares policies.

The policies of a scenario run side by side, each on its own fleet with the same calls, so that
other load on the machine affects all of them equally. Run it through tools/measure.

Exit codes
  0  done
  1  a run was invalid, an answer was wrong, or the history checker found a violation
  2  error in the command line

Flags
)";

/// @return whether all words are seeds.
bool AreSeeds(const std::vector<std::string>& words) {
  std::uint64_t seed = 0;
  return !words.empty() && std::all_of(words.begin(), words.end(), [&](const std::string& word) {
    return absl::SimpleAtoi(word, &seed);
  });
}

bool IsWanted(const std::vector<std::string>& names, const std::string& name) {
  return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

double LoadAverage() {
  double value = 0;
  return getloadavg(&value, 1) == 1 ? value : 0;
}

std::vector<measure::run_result> RunSideBySide(const measure::deployment& setup,
                                               const measure::scenario& spec,
                                               const std::vector<std::string>& policies) {
  const std::chrono::seconds duration{absl::GetFlag(FLAGS_seconds)};
  std::vector<std::future<measure::run_result>> runs;
  runs.reserve(policies.size());
  for (const std::string& policy : policies) {
    runs.push_back(std::async(std::launch::async, [&setup, &spec, policy, duration] {
      return measure::Run(setup, spec, policy, duration);
    }));
  }
  std::vector<measure::run_result> results;
  results.reserve(runs.size());
  for (auto& run : runs) results.push_back(run.get());
  return results;
}

void Print(const measure::run_result& run) {
  const auto& all = run.service.all;
  std::cout << fmt::format(
                   "{:<14} {:<13} seed {:3}  p50 {:6.1f}  p99 {:7.1f}  p99.9 {:7.1f} ms  tasks/s "
                   "{:6.2f}  "
                   "evictions {:4}  requests ok {} of {}  wrong {}  violations {}  {}\n",
                   run.scenario, run.policy, run.seed, all.p50_ms, all.p99_ms, all.p999_ms,
                   run.TasksPerSecond(), run.Evictions(), run.service.answered.count, all.count,
                   run.wrong_answers, run.violations.size(), run.error)
            << std::flush;
}

std::string CommandText(int argc, char** argv) {
  std::string text = "tools/measure";
  for (int index = 1; index < argc; ++index) {
    const std::string argument = argv[index];
    if (!argument.starts_with("--revision")) text += " " + argument;
  }
  return text;
}

std::vector<measure::scenario> WantedScenarios(const measure::deployment& setup,
                                               std::uint64_t seed) {
  std::vector<measure::scenario> scenarios =
      measure::Scenarios(setup.service, std::chrono::seconds{absl::GetFlag(FLAGS_seconds)}, seed);
  std::erase_if(scenarios, [](const measure::scenario& spec) {
    return !IsWanted(absl::GetFlag(FLAGS_scenario), spec.name);
  });
  return scenarios;
}

bool Measure(const measure::deployment& setup, const std::string& command) {
  std::vector<std::string> policies = absl::GetFlag(FLAGS_policy);
  if (policies.empty()) policies = {"weighted", "random", "round_robin", "least_loaded"};
  measure::report_context context{.setup = setup,
                                  .command = command,
                                  .revision = absl::GetFlag(FLAGS_revision),
                                  .date = absl::FormatTime(absl::Now(), absl::UTCTimeZone()),
                                  .load_before = LoadAverage()};
  std::cout << setup.name << "\n";
  std::vector<measure::scenario> scenarios;
  std::vector<measure::run_result> results;
  for (const std::string& seed : absl::GetFlag(FLAGS_seed)) {
    scenarios = WantedScenarios(setup, std::strtoull(seed.c_str(), nullptr, 10));
    for (const measure::scenario& spec : scenarios) {
      for (measure::run_result& run : RunSideBySide(setup, spec, policies)) {
        run.seed = std::strtoull(seed.c_str(), nullptr, 10);
        Print(run);
        results.push_back(std::move(run));
      }
    }
  }
  const bool all_valid =
      !results.empty() &&
      std::all_of(results.begin(), results.end(), [](const measure::run_result& run) {
        return run.error.empty() && run.wrong_answers == 0 && run.violations.empty();
      });
  context.load_after = LoadAverage();
  const std::filesystem::path directory = absl::GetFlag(FLAGS_output);
  std::filesystem::create_directories(directory);
  const std::string label = absl::GetFlag(FLAGS_label);
  const std::string name = label.empty() ? setup.name : setup.name + "-" + label;
  std::ofstream(directory / (name + ".md")) << measure::ToMarkdown(context, scenarios, results);
  std::ofstream(directory / (name + ".svg")) << measure::ToSvg(context, results);
  return all_valid;
}

}  // namespace

int main(int argc, char** argv) {
  std::string error;
  const auto line = coltsfoot::program::ParseCommandLine(argc, argv, error);
  if (!line || !line->words.empty()) {
    std::cerr << (line ? "coltsfoot-measure takes only flags." : error) << "\n";
    return kExitUsage;
  }
  if (line->help) {
    std::cout << kHelp << coltsfoot::program::DescribeFlags(__FILE__);
    return 0;
  }
  if (!AreSeeds(absl::GetFlag(FLAGS_seed))) {
    std::cerr << "--seed takes whole numbers, separated by commas.\n";
    return kExitUsage;
  }
  coltsfoot::harness::SetTimeLimit(kTimeLimit);
  bool all_valid = true;
  for (const measure::deployment& setup : measure::Deployments()) {
    if (!IsWanted(absl::GetFlag(FLAGS_deployment), setup.name)) continue;
    all_valid = Measure(setup, CommandText(argc, argv)) && all_valid;
  }
  return all_valid ? 0 : kExitBadRun;
}

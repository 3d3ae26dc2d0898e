#include "load/options.h"

#include <fmt/format.h>

#include <algorithm>

namespace coltsfoot::load {
namespace {

constexpr double kMaxRate = 100'000;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::size_t kMaxBodyBytes = 1U << 20U;

bool AllPositive(const std::vector<std::int64_t>& values) {
  return !values.empty() &&
         std::all_of(values.begin(), values.end(), [](std::int64_t value) { return value > 0; });
}

bool IsRate(double rate) { return rate >= 0 && rate <= kMaxRate; }

}  // namespace

std::vector<std::string> ValidateOptions(const load_options& options) {
  std::vector<std::string> errors;
  const auto require = [&](bool holds, std::string_view text) {
    if (!holds) errors.emplace_back(text);
  };
  require(!options.entries.empty(), "--entry=http://IP:PORT is missing");
  for (const std::string& entry : options.entries) {
    require(entry.starts_with("http://"), fmt::format("\"{}\" is not http://IP:PORT", entry));
  }
  require(IsRate(options.request_rate) && IsRate(options.task_rate),
          "rates are numbers from 0 to 100000");
  require(options.request_rate > 0 || options.task_rate > 0,
          "--rate or --task_rate must be above 0");
  require(options.request_rate == 0 || !options.service.empty(), "--service=NAME is missing");
  require(options.duration.count() > 0, "--duration_ms must be above 0");
  require(options.max_calls > 0, "--max_calls must be above 0");
  require(options.max_in_flight > 0, "--max_in_flight must be above 0");
  require(options.timeout.count() > 0, "--timeout_ms must be above 0");
  require(options.non_idempotent_percent >= 0 && options.non_idempotent_percent <= 100,
          "--non_idempotent_percent is a number from 0 to 100");
  require(!options.teams.empty(), "--teams needs a name");
  require(options.deadline_ms >= 0 && options.deadline_ms <= kMaxDeadlineMs,
          "--deadline_ms is a number from 0 to 600000");
  require(options.body_bytes <= kMaxBodyBytes, "--body_bytes is at most 1 MiB");
  require(options.task_kind == "batch" || options.task_kind == "latency_critical",
          "--task_kind is batch or latency_critical");
  require(AllPositive(options.task_cpu_millis) && AllPositive(options.task_expected_ms),
          "--task_cpu_millis and --task_expected_ms are lists of numbers above 0");
  require(AllPositive(options.task_work_percent) && AllPositive(options.task_use_percent),
          "--task_work_percent and --task_use_percent are lists of numbers above 0");
  return errors;
}

}  // namespace coltsfoot::load

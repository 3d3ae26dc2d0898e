#include "config/settings_catalogue.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace coltsfoot::config {
namespace {

using core::result_code;
using enum setting_id;

constexpr scope_set kTopology = ScopeSetOf(scope_kind::worker) | ScopeSetOf(scope_kind::rack) |
                                ScopeSetOf(scope_kind::zone) | ScopeSetOf(scope_kind::region);
constexpr scope_set kZoneAndRegion = ScopeSetOf(scope_kind::zone) | ScopeSetOf(scope_kind::region);
constexpr scope_set kClass = ScopeSetOf(scope_kind::task_class);
constexpr scope_set kService = ScopeSetOf(scope_kind::service);
constexpr scope_set kTeam = ScopeSetOf(scope_kind::team);
constexpr scope_set kAll = kTopology | kClass | kService | kTeam;

constexpr double kMaxWeight = 10;
constexpr double kHourMs = 3'600'000;
constexpr bool kFleetWide = true;
constexpr bool kExceptionsOnly = false;

constexpr std::array<std::string_view, 4> kPolicies = {"weighted", "random", "round_robin",
                                                       "least_loaded"};

constexpr setting_info Flag(setting_id id, std::string_view name, bool initial, scope_set scopes,
                            bool fleet_wide, std::string_view description) {
  return {id, name, setting_type::flag, 0, 0, {}, initial, scopes, fleet_wide, description};
}

template <class Initial>
constexpr setting_info Integer(setting_id id, std::string_view name, double min, double max,
                               Initial initial, scope_set scopes, std::string_view description) {
  return {id, name, setting_type::integer, min, max, {}, initial, scopes, kFleetWide, description};
}

constexpr setting_info Decimal(setting_id id, std::string_view name, double min, double max,
                               double initial, scope_set scopes, std::string_view description) {
  return {id, name, setting_type::decimal, min, max, {}, initial, scopes, kFleetWide, description};
}

constexpr std::array kCatalogue = {
    setting_info{placement_policy, "placement.policy", setting_type::choice, 0, 0, kPolicies,
                 std::string_view("weighted"), kAll, kFleetWide,
                 "How a worker is chosen among those that fit; all but weighted are baselines."},
    Decimal(weight_tail_latency, "weights.tail_latency", 0, kMaxWeight, 1, kAll,
            "Weight of tail latency of services in the placement score."),
    Decimal(weight_throughput, "weights.throughput", 0, kMaxWeight, 1, kAll,
            "Weight of batch throughput in the placement score."),
    Decimal(weight_evictions, "weights.evictions", 0, kMaxWeight, 1, kAll,
            "Weight of avoiding evictions in the placement score."),
    Integer(headroom_latency_critical_percent, "headroom.latency_critical_percent", 0, 90,
            std::int64_t{20}, kTopology,
            "Percent of a worker that batch work gives back when latency-critical work needs it."),
    Integer(evictions_budget_per_minute, "evictions.budget_per_minute", 0, 10'000, std::int64_t{60},
            kTopology, "Most evictions per minute that the system causes to reclaim headroom."),
    Integer(requests_queue_limit, "requests.queue_limit", 0, 100'000, std::int64_t{64},
            kTopology | kService, "Most requests of a service that wait for a place."),
    Integer(requests_default_deadline_ms, "requests.default_deadline_ms", 1, kHourMs,
            std::int64_t{2000}, kZoneAndRegion | kService | kTeam,
            "Time to answer a request whose caller names no deadline, in ms."),
    Decimal(retry_budget_percent, "retry.budget_percent", 0, 100, 10, kZoneAndRegion | kService,
            "Retries and hedges per hundred successful requests of a service."),
    Flag(hedge_enabled, "hedge.enabled", true, kZoneAndRegion | kService | kTeam, kFleetWide,
         "Whether slow idempotent latency-critical requests get a second attempt."),
    Decimal(hedge_after_percentile, "hedge.after_percentile", 50, 99.99, 95,
            kZoneAndRegion | kService | kTeam,
            "Percentile of the latency after which a request is hedged."),
    Integer(quarantine_failures, "quarantine.failures", 1, 1000, std::int64_t{5}, kTopology,
            "Different tasks that must fail fast on a worker before it is quarantined."),
    Integer(quarantine_probe_ms, "quarantine.probe_ms", 100, kHourMs, std::int64_t{30'000},
            kTopology, "Time between probes of a quarantined worker, in ms."),
    Integer(tasks_max_worker_failures, "tasks.max_worker_failures", 1, 100, std::int64_t{3},
            kClass | kTeam, "Healthy workers on which a task may fail before it is given up."),
    Integer(team_cpu_quota_millis, "team.cpu_quota_millis", 0, 1e9, std::monostate{}, kTeam,
            "Processors that a team's tasks may use, in thousandths; unset means no quota."),
    Decimal(team_request_share, "team.request_share", 0, 1000, 1, kTeam,
            "Relative share of a team in an overloaded service."),
    Flag(worker_drain, "worker.drain", false, kTopology, kExceptionsOnly,
         "Whether workers get no new work and hand over their tasks."),
    Flag(worker_lost, "worker.lost", false, kTopology, kExceptionsOnly,
         "States that workers are gone, so that their tasks resume elsewhere without waiting."),
    Flag(interference_enabled, "interference.enabled", true, kTopology | kClass, kFleetWide,
         "Whether placement uses the interference estimates."),
    Flag(sizes_correction, "sizes.correction", true, kClass | kTeam, kFleetWide,
         "Whether observed usage corrects declared sizes and run times."),
    Integer(tasks_checkpoint_interval_ms, "tasks.checkpoint_interval_ms", 1000, kHourMs,
            std::int64_t{30'000}, kClass | kTeam,
            "Time between checkpoints of a running task, in ms; bounds the work that a lost worker "
            "costs."),
};

constexpr bool IsInIdOrder() {
  for (std::size_t index = 0; index < kCatalogue.size(); ++index) {
    if (static_cast<std::size_t>(kCatalogue[index].id) != index) return false;
  }
  return true;
}
static_assert(IsInIdOrder(), "InfoOf uses the id as index");

std::string AllowedRange(const setting_info& info) {
  switch (info.type) {
    case setting_type::flag:
      return "true or false";
    case setting_type::integer:
      return fmt::format("a whole number from {} to {}", static_cast<std::int64_t>(info.min),
                         static_cast<std::int64_t>(info.max));
    case setting_type::decimal:
      return fmt::format("a number from {} to {}", info.min, info.max);
    case setting_type::choice:
      return fmt::format("one of {}", fmt::join(info.choices, ", "));
  }
  return "";
}

std::nullopt_t SetRangeError(const setting_info& info, core::last_error& error) {
  return error.Set(result_code::invalid_argument,
                   fmt::format("{} must be {}", info.name, AllowedRange(info)));
}

// Also false for NaN.
bool IsInRange(const setting_info& info, double value) {
  return value >= info.min && value <= info.max;
}

template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [parsed, failure] = std::from_chars(text.data(), end, value);
  if (failure != std::errc{} || parsed != end) return std::nullopt;
  return value;
}

}  // namespace

std::optional<setting_value> setting_info::InitialValue() const {
  if (const auto* flag = std::get_if<bool>(&initial)) return *flag;
  if (const auto* integer = std::get_if<std::int64_t>(&initial)) return *integer;
  if (const auto* decimal = std::get_if<double>(&initial)) return *decimal;
  if (const auto* text = std::get_if<std::string_view>(&initial)) return std::string(*text);
  return std::nullopt;
}

std::span<const setting_info> Catalogue() noexcept { return kCatalogue; }

const setting_info& InfoOf(setting_id id) noexcept {
  return kCatalogue[static_cast<std::size_t>(id)];
}

const setting_info* FindSetting(std::string_view name) noexcept {
  const auto* const row = std::find_if(kCatalogue.begin(), kCatalogue.end(),
                                       [&](const setting_info& info) { return info.name == name; });
  return row == kCatalogue.end() ? nullptr : row;
}

std::optional<setting_value> CheckValue(const setting_info& info, const setting_value& value,
                                        core::last_error& error) {
  const auto* integer = std::get_if<std::int64_t>(&value);
  const auto* decimal = std::get_if<double>(&value);
  switch (info.type) {
    case setting_type::flag:
      if (std::holds_alternative<bool>(value)) return value;
      break;
    case setting_type::integer:
      if (integer != nullptr && IsInRange(info, static_cast<double>(*integer))) return value;
      break;
    case setting_type::decimal:
      if (integer != nullptr && IsInRange(info, static_cast<double>(*integer))) {
        return static_cast<double>(*integer);
      }
      if (decimal != nullptr && IsInRange(info, *decimal)) return value;
      break;
    case setting_type::choice: {
      const auto* text = std::get_if<std::string>(&value);
      const bool known = text != nullptr && std::find(info.choices.begin(), info.choices.end(),
                                                      *text) != info.choices.end();
      if (known) return value;
      break;
    }
  }
  return SetRangeError(info, error);
}

std::optional<setting_value> ParseValueText(const setting_info& info, std::string_view text,
                                            core::last_error& error) {
  switch (info.type) {
    case setting_type::flag:
      if (text == "true") return true;
      if (text == "false") return false;
      break;
    case setting_type::integer:
      if (const auto value = ParseNumber<std::int64_t>(text)) {
        return CheckValue(info, *value, error);
      }
      break;
    case setting_type::decimal:
      if (const auto value = ParseNumber<double>(text)) {
        return CheckValue(info, *value, error);
      }
      break;
    case setting_type::choice:
      return CheckValue(info, std::string(text), error);
  }
  return SetRangeError(info, error);
}

std::string ToText(const setting_value& value) {
  if (const auto* flag = std::get_if<bool>(&value)) return *flag ? "true" : "false";
  if (const auto* integer = std::get_if<std::int64_t>(&value)) return fmt::format("{}", *integer);
  if (const auto* decimal = std::get_if<double>(&value)) return fmt::format("{}", *decimal);
  return std::get<std::string>(value);
}

std::string_view ToString(setting_type type) noexcept {
  constexpr std::array<std::string_view, 4> kNames = {"flag", "integer", "decimal", "choice"};
  return kNames[static_cast<std::size_t>(type)];
}

std::string_view ToString(scope_kind kind) noexcept {
  constexpr std::array<std::string_view, kScopeKindCount> kNames = {
      "worker", "rack", "zone", "region", "class", "service", "team"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace coltsfoot::config

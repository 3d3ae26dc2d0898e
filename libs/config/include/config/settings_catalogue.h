#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "core/error.h"

namespace coltsfoot::config {

/// Index of a fleet setting in the catalogue.
enum class setting_id : std::uint8_t {
  placement_policy,
  weight_tail_latency,
  weight_throughput,
  weight_evictions,
  headroom_latency_critical_percent,
  evictions_budget_per_minute,
  requests_queue_limit,
  requests_default_deadline_ms,
  retry_budget_percent,
  hedge_enabled,
  hedge_after_percentile,
  quarantine_failures,
  quarantine_probe_ms,
  tasks_max_worker_failures,
  team_cpu_quota_millis,
  team_request_share,
  worker_drain,
  worker_lost,
  interference_enabled,
  sizes_correction,
  tasks_checkpoint_interval_ms,
};

/// Type of a setting's value.
enum class setting_type : std::uint8_t { flag, integer, decimal, choice };

/// Value of a setting; the alternative matches the setting's type in the order of `setting_type`.
using setting_value = std::variant<bool, std::int64_t, double, std::string>;

/// What an exception applies to, from the most to the least specific.
enum class scope_kind : std::uint8_t { worker, rack, zone, region, task_class, service, team };

inline constexpr std::size_t kScopeKindCount = 7;

/// Set of scope kinds, one bit per kind.
using scope_set = std::uint8_t;

/// @return the set that holds only `kind`.
constexpr scope_set ScopeSetOf(scope_kind kind) noexcept {
  return static_cast<scope_set>(1U << static_cast<unsigned>(kind));
}

/// One row of the catalogue.
struct setting_info {
  setting_id id;
  std::string_view name;  ///< as used in the API, for example "retry.budget_percent"
  setting_type type;
  double min;                                 ///< smallest number; 0 for flags and choices
  double max;                                 ///< largest number; 0 for flags and choices
  std::span<const std::string_view> choices;  ///< allowed texts of a choice
  std::variant<std::monostate, bool, std::int64_t, double, std::string_view> initial;
  scope_set scopes;  ///< scopes in which an exception has an effect
  bool fleet_wide;   ///< false if only an exception may set it
  std::string_view description;

  /// @return the value that holds while no default is set; nothing if the setting is then unset.
  std::optional<setting_value> InitialValue() const;
};

/// @return all settings in the order of `setting_id`.
std::span<const setting_info> Catalogue() noexcept;

/// @return the row of a setting.
const setting_info& InfoOf(setting_id id) noexcept;

/// @return the row of the setting with this name, or null.
const setting_info* FindSetting(std::string_view name) noexcept;

/// Checks the type and range of a value. A whole number is accepted for a decimal setting.
/// @return the value in the setting's type; on failure nothing, with `invalid_argument`.
std::optional<setting_value> CheckValue(const setting_info& info, const setting_value& value,
                                        core::last_error& error);

/// Reads a value as an operator types it, for example "true", "250" or "weighted".
/// @return the checked value; on failure nothing, with `invalid_argument`.
std::optional<setting_value> ParseValueText(const setting_info& info, std::string_view text,
                                            core::last_error& error);

/// @return the value as an operator types it.
std::string ToText(const setting_value& value);

/// @return "flag", "integer", "decimal" or "choice".
std::string_view ToString(setting_type type) noexcept;

/// @return the text before the colon of a scope, for example "worker" or "class".
std::string_view ToString(scope_kind kind) noexcept;

}  // namespace coltsfoot::config

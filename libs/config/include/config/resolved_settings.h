#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "config/fleet_config.h"
#include "wire/messages.h"

namespace coltsfoot::config {

/// Values of `placement.policy`.
enum class placement_policy : std::uint8_t { weighted, random, round_robin, least_loaded };

/// All settings in force for one subject, as typed values.
struct resolved_settings {
  placement_policy policy = placement_policy::weighted;
  double tail_latency_weight = 0;
  double throughput_weight = 0;
  double evictions_weight = 0;
  std::int64_t latency_critical_headroom_percent = 0;
  std::int64_t evictions_per_minute = 0;
  std::int64_t queue_limit = 0;
  core::milliseconds default_deadline{0};
  double retry_budget_percent = 0;
  bool hedge_enabled = false;
  double hedge_after_percentile = 0;
  std::int64_t quarantine_failures = 0;
  core::milliseconds quarantine_probe{0};
  std::int64_t max_worker_failures = 0;
  std::optional<std::int64_t> team_cpu_quota_millis;  ///< nothing: no quota; 0: no processor
  double team_request_share = 0;
  bool worker_drain = false;
  bool worker_lost = false;
  bool interference_enabled = false;
  bool sizes_correction = false;
  core::milliseconds checkpoint_interval{0};

  bool operator==(const resolved_settings&) const = default;
};

/// Resolves all settings for one subject without a cache.
resolved_settings Resolve(const fleet_config& config, const subject& about);

/// @return the values of one worker that its agent acts on. A worker that is declared lost gets no
/// new work either, in case it is still alive.
wire::agent_policy DeriveAgentPolicy(const fleet_config& config, const subject& worker);

/// Resolved settings of one configuration version, cheap enough to look up for each request: names
/// that no exception mentions share one result, so that the cache holds only subjects for which
/// exceptions exist. Use a view from one thread only, and create a new one for each version.
class settings_view {
 public:
  explicit settings_view(fleet_config_ptr config);

  /// @return the settings in force for a subject; valid until the next call.
  const resolved_settings& For(const subject& about);
  /// @return the settings in force where no exception applies.
  const resolved_settings& fleet_wide() const noexcept { return fleet_wide_; }
  const fleet_config_ptr& config() const noexcept { return config_; }
  core::config_version version() const noexcept { return config_->version(); }

 private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept {
      return std::hash<std::string_view>{}(text);
    }
  };
  using name_set = std::unordered_set<std::string, text_hash, std::equal_to<>>;

  fleet_config_ptr config_;
  resolved_settings fleet_wide_;
  std::array<name_set, kScopeKindCount> exception_names_;
  std::unordered_map<std::string, resolved_settings> cache_;
};

}  // namespace coltsfoot::config

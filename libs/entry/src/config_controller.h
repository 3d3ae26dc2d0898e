#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/changes.h"
#include "config/fleet_config.h"
#include "config/resolved_settings.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/random_source.h"
#include "metrics/registry.h"
#include "store/kv_client.h"

namespace coltsfoot::entry {

/// Holds the fleet configuration that is in force at this entry, follows the key-value service and
/// writes changes with compare-and-swap. The version in force never decreases.
class config_controller {
 public:
  /// Derives the next configuration from the current one, or sets the error.
  using change_function = std::function<std::optional<config::fleet_config>(
      const config::fleet_config& base, const config::change_stamp& stamp,
      core::last_error& error)>;
  /// Receives `ok` and the new version, or the reason for a refusal. `outcome_unknown` means that
  /// the change may still take effect.
  using change_handler =
      std::function<void(core::error_reason reason, core::config_version version)>;

  config_controller(store::kv_client& kv, const core::clock& time, core::random_source& random,
                    metrics::registry& metrics);

  /// Reads the configuration when due: at startup, after each change that the watch reports, and
  /// periodically.
  void Tick();

  /// Changes the configuration with compare-and-swap.
  /// @param base version that the change is based on; a mismatch is a `conflict`.
  void Change(std::optional<core::config_version> base, const std::string& author,
              const change_function& change, change_handler done);

  /// Puts a configuration in force that another entry sent, if it is newer.
  void OnPeerConfig(const std::string& document);

  /// @return the version in force; 0 before one is known.
  core::config_version version() const noexcept { return history_.version(); }
  /// @return true once a configuration is in force.
  bool is_known() const noexcept { return history_.current() != nullptr; }
  /// @return settings in force. Requires `is_known()`.
  config::settings_view& view() { return *view_; }
  /// @return the configuration in force, or null.
  const config::fleet_config_ptr& current() const noexcept { return history_.current(); }
  /// @return the JSON document of the configuration in force; empty before one is known.
  std::string Document() const;
  /// Sets the function that is called whenever a new version is in force.
  void OnNewVersion(std::function<void()> listener) { listener_ = std::move(listener); }

 private:
  void Read();
  void OnRead(const store::get_result& result);
  void CreateInitialConfig();
  void StartWatch();
  void PutInForce(const std::string& document, store::key_version key);
  bool Advance(config::fleet_config next);
  void Write(config::fleet_config next, change_handler done);
  void OnWritten(const store::write_result& result, const config::fleet_config& next,
                 const change_handler& done);
  void ResolveUnknown(const config::fleet_config& next, const change_handler& done,
                      int attempts_left);
  void ReportConflict(const config::fleet_config& next, const change_handler& done);

  store::kv_client& kv_;
  const core::clock& time_;
  core::random_source& random_;
  metrics::registry& metrics_;
  config::version_history history_;
  std::unique_ptr<config::settings_view> view_;
  std::function<void()> listener_;
  store::key_version key_version_ = 0;  ///< of the newest document that was read or written
  core::config_version read_config_version_ = 0;
  core::mono_time next_read_{};
  bool reading_ = false;
  bool watching_ = false;
  bool writing_ = false;
  core::mono_time next_watch_{};
  std::uint64_t watched_revision_ = 0;
};

}  // namespace coltsfoot::entry

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"

/// Changes of the fleet configuration. Each returns a new value with the next version number and
/// leaves its input unchanged; the caller writes the new value with compare-and-swap. A repeated
/// change that is already in force gives `base` itself, with the same version: there is nothing to
/// write. A change that would make the document larger than the key-value service accepts fails
/// with `invalid_argument`.
namespace coltsfoot::config {

/// Who changes the configuration and when.
struct change_stamp {
  std::string token;   ///< unique; tells whether a write with a lost answer took effect
  std::string author;  ///< must not be empty
  core::wall_time at;

  bool operator==(const change_stamp&) const = default;
};

/// Changes of defaults that take effect together.
struct defaults_change {
  std::map<std::string, setting_value> set;
  std::vector<std::string> unset;
  std::string author;
  std::optional<core::config_version> if_version;

  bool operator==(const defaults_change&) const = default;
};

/// An operator's request to add an exception.
struct exception_request {
  std::string id;
  scope applies_to;
  std::string setting;
  setting_value value;
  std::string author;
  std::string reason;
  std::optional<core::config_version> if_version;

  bool operator==(const exception_request&) const = default;
};

/// An operator's request to challenge an exception.
struct challenge_request {
  std::string author;
  std::string text;

  bool operator==(const challenge_request&) const = default;
};

/// Sets and removes defaults.
/// @return the next version; on failure nothing, with `unknown_field` for an unknown setting,
/// `invalid_argument` for a bad value, a missing author, a change that is empty or a setting that
/// only exceptions may set.
std::optional<fleet_config> ChangeDefaults(const fleet_config& base, const defaults_change& change,
                                           const change_stamp& stamp, core::last_error& error);

/// Adds an exception.
/// @return the next version; on failure nothing, with `missing_reason`, `unknown_field` for an
/// unknown setting, `invalid_argument`, or `conflict` if the id is in use for something else.
std::optional<fleet_config> AddException(const fleet_config& base, const exception_request& request,
                                         const change_stamp& stamp, core::last_error& error);

/// Removes an exception.
/// @return the next version; on failure nothing, with `not_found`.
std::optional<fleet_config> RemoveException(const fleet_config& base, std::string_view id,
                                            const change_stamp& stamp, core::last_error& error);

/// Adds a challenge to an exception.
/// @return the next version; on failure nothing, with `not_found` or `invalid_argument`.
std::optional<fleet_config> AddChallenge(const fleet_config& base, std::string_view id,
                                         const challenge_request& request,
                                         const change_stamp& stamp, core::last_error& error);

/// @return the differences between two versions, one sentence each; empty if there are none.
std::vector<std::string> DescribeChanges(const fleet_config& older, const fleet_config& newer);

/// The newest configuration that a process has and some earlier versions, so that the refusal of a
/// change can say what changed since the version that the change is based on.
class version_history {
 public:
  /// Puts a configuration into force if its version is higher than the one in force.
  /// @return false if it is not; the version in force never decreases.
  bool Advance(fleet_config_ptr next);

  /// @return the configuration in force, or null before the first.
  const fleet_config_ptr& current() const noexcept { return current_; }
  /// @return the version in force; 0 before the first.
  core::config_version version() const noexcept { return current_ ? current_->version() : 0; }

  /// Checks the version that a change is based on.
  /// @return true if it is absent or in force. Otherwise sets `conflict`, with a description of
  /// what changed since then.
  bool CheckBase(std::optional<core::config_version> if_version, core::last_error& error) const;

 private:
  fleet_config_ptr current_;
  std::deque<fleet_config_ptr> earlier_;
};

}  // namespace coltsfoot::config

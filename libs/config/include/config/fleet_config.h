#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings_catalogue.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"

namespace coltsfoot::config {

/// Part of the fleet that an exception applies to, written "kind:name".
struct scope {
  scope_kind kind = scope_kind::worker;
  std::string name;

  auto operator<=>(const scope&) const = default;
  /// @return for example "zone:bulacan-a".
  std::string ToText() const;
  /// @return the scope in `text`; on failure nothing, with `invalid_argument`.
  static std::optional<scope> Parse(std::string_view text, core::last_error& error);
};

/// What a setting is looked up for, such as a worker or a request of a team. Members that do not
/// apply stay empty and match no exception.
struct subject {
  std::string worker;
  std::string rack;
  std::string zone;
  std::string region;
  std::string task_class;
  std::string service;
  std::string team;

  bool operator==(const subject&) const = default;
  /// @return the member that a scope kind refers to; empty if it does not apply.
  const std::string& NameIn(scope_kind kind) const noexcept;
};

/// An operator's objection to an exception.
struct challenge {
  std::string author;
  std::string text;
  core::wall_time at;

  bool operator==(const challenge&) const = default;
};

/// Deviation from the defaults for one scope and one setting.
struct config_exception {
  std::string id;
  scope applies_to;
  setting_id setting = setting_id::placement_policy;
  setting_value value;
  std::string author;
  std::string reason;
  core::wall_time created_at;
  std::vector<challenge> challenges;

  bool operator==(const config_exception&) const = default;
};

using defaults_map = std::map<setting_id, setting_value>;

/// One version of the fleet configuration. Immutable: a change creates a new version.
class fleet_config {
 public:
  /// The parts of a configuration.
  struct parts {
    core::config_version version = 0;
    std::string token;   ///< unique text of the change that made this version
    std::string author;  ///< who made that change
    defaults_map defaults;
    std::vector<config_exception> exceptions;

    bool operator==(const parts&) const = default;
  };

  /// Creates version 0, which means that no configuration is known.
  fleet_config() = default;
  explicit fleet_config(parts content) : content_(std::move(content)) {}

  core::config_version version() const noexcept { return content_.version; }
  const std::string& token() const noexcept { return content_.token; }
  const std::string& author() const noexcept { return content_.author; }
  const defaults_map& defaults() const noexcept { return content_.defaults; }
  const std::vector<config_exception>& exceptions() const noexcept { return content_.exceptions; }

  /// @return the exception with this id, or null.
  const config_exception* FindException(std::string_view id) const noexcept;

  /// @return the value in force for a subject: of the most specific matching exception, else the
  /// default, else the initial value of the catalogue; nothing if the setting is unset.
  std::optional<setting_value> Effective(setting_id setting, const subject& about) const;

  /// @return the exception that decides a setting for a subject, or null. Of several exceptions
  /// with the same scope the one added last decides.
  const config_exception* DecidingException(setting_id setting, const subject& about) const;

  bool operator==(const fleet_config&) const = default;

 private:
  parts content_;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

/// Where the value of a setting comes from.
struct explanation {
  setting_id setting = setting_id::placement_policy;
  std::optional<setting_value> value;         ///< nothing if the setting is unset
  bool from_default = false;                  ///< a fleet-wide default is set and decides
  std::optional<config_exception> exception;  ///< the exception that decides

  bool operator==(const explanation&) const = default;
  /// @return one or more sentences for an operator, with author, reason and challenges.
  std::string ToText() const;
};

/// @return which default or exception decides a setting for a subject.
explanation ExplainSetting(const fleet_config& config, setting_id setting, const subject& about);

}  // namespace coltsfoot::config

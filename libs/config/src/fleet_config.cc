#include "config/fleet_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "names.h"
#include "time_format.h"

namespace coltsfoot::config {
namespace {

bool Matches(const scope& applies_to, const subject& about) {
  return about.NameIn(applies_to.kind) == applies_to.name;
}

}  // namespace

std::string scope::ToText() const { return fmt::format("{}:{}", ToString(kind), name); }

std::optional<scope> scope::Parse(std::string_view text, core::last_error& error) {
  const std::size_t colon = text.find(':');
  if (colon != std::string_view::npos && IsValidName(text.substr(colon + 1))) {
    for (std::size_t index = 0; index < kScopeKindCount; ++index) {
      const auto kind = static_cast<scope_kind>(index);
      if (text.substr(0, colon) == ToString(kind)) {
        return scope{kind, std::string(text.substr(colon + 1))};
      }
    }
  }
  return error.Set(core::result_code::invalid_argument,
                   fmt::format("\"{}\" is not a valid scope; expected worker, rack, zone, region, "
                               "class, service or team, followed by a colon and a name",
                               text));
}

const std::string& subject::NameIn(scope_kind kind) const noexcept {
  switch (kind) {
    case scope_kind::worker:
      return worker;
    case scope_kind::rack:
      return rack;
    case scope_kind::zone:
      return zone;
    case scope_kind::region:
      return region;
    case scope_kind::task_class:
      return task_class;
    case scope_kind::service:
      return service;
    case scope_kind::team:
      break;
  }
  return team;
}

const config_exception* fleet_config::FindException(std::string_view id) const noexcept {
  const auto found =
      std::find_if(content_.exceptions.begin(), content_.exceptions.end(),
                   [&](const config_exception& exception) { return exception.id == id; });
  return found == content_.exceptions.end() ? nullptr : &*found;
}

const config_exception* fleet_config::DecidingException(setting_id setting,
                                                        const subject& about) const {
  const config_exception* best = nullptr;
  for (const config_exception& exception : content_.exceptions) {
    if (exception.setting != setting || !Matches(exception.applies_to, about)) continue;
    if (best == nullptr || exception.applies_to.kind <= best->applies_to.kind) best = &exception;
  }
  return best;
}

std::optional<setting_value> fleet_config::Effective(setting_id setting,
                                                     const subject& about) const {
  if (const config_exception* exception = DecidingException(setting, about)) {
    return exception->value;
  }
  const auto found = content_.defaults.find(setting);
  if (found != content_.defaults.end()) return found->second;
  return InfoOf(setting).InitialValue();
}

explanation ExplainSetting(const fleet_config& config, setting_id setting, const subject& about) {
  explanation out;
  out.setting = setting;
  out.value = config.Effective(setting, about);
  if (const config_exception* exception = config.DecidingException(setting, about)) {
    out.exception = *exception;
  } else {
    out.from_default = config.defaults().contains(setting);
  }
  return out;
}

std::string explanation::ToText() const {
  const std::string shown = value ? config::ToText(*value) : "unset";
  const std::string_view name = InfoOf(setting).name;
  if (!exception) {
    return fmt::format("{} is {}: {}.", name, shown,
                       from_default ? "the fleet-wide default is set to this value"
                                    : "no default is set, so the built-in value applies");
  }
  std::string text =
      fmt::format("{} is {}: exception {} for {}, added by {} at {}. Reason: {}", name, shown,
                  exception->id, exception->applies_to.ToText(), exception->author,
                  FormatTime(exception->created_at), exception->reason);
  for (const challenge& objection : exception->challenges) {
    text += fmt::format("\nChallenged by {} at {}: {}", objection.author, FormatTime(objection.at),
                        objection.text);
  }
  return text;
}

}  // namespace coltsfoot::config

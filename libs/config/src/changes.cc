#include "config/changes.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "config/json_format.h"
#include "names.h"

namespace coltsfoot::config {
namespace {

using core::result_code;

// Earlier versions that are kept to explain conflicts. At 1,200 changes a day, fewer than one a
// minute, they cover the time that an operator takes to edit.
constexpr std::size_t kMaxEarlierVersions = 64;
// The key-value service holds values up to 1 MB.
constexpr std::size_t kMaxDocumentBytes = 900'000;

fleet_config::parts PartsOf(const fleet_config& config) {
  return {config.version(), config.token(), config.author(), config.defaults(),
          config.exceptions()};
}

std::optional<fleet_config> NextVersion(fleet_config::parts content, const change_stamp& stamp,
                                        core::last_error& error) {
  content.version += 1;
  content.token = stamp.token;
  content.author = stamp.author;
  fleet_config next(std::move(content));
  if (ToJson(next).size() > kMaxDocumentBytes) {
    return error.Set(result_code::invalid_argument,
                     "the configuration would not fit into the key-value service; remove "
                     "exceptions that are no longer needed");
  }
  return next;
}

bool CheckAuthor(const change_stamp& stamp, core::last_error& error) {
  if (HasText(stamp.author)) return true;
  error.Set(result_code::invalid_argument, "a change needs an author");
  return false;
}

const setting_info* RequireSetting(std::string_view name, core::last_error& error) {
  const setting_info* info = FindSetting(name);
  if (info == nullptr) {
    error.Set(result_code::unknown_field, fmt::format("there is no setting \"{}\"", name));
  }
  return info;
}

bool ApplySet(const defaults_change& change, defaults_map& defaults, core::last_error& error) {
  for (const auto& [name, value] : change.set) {
    const setting_info* info = RequireSetting(name, error);
    if (info == nullptr) return false;
    if (!info->fleet_wide) {
      error.Set(result_code::invalid_argument,
                fmt::format("{} has no fleet-wide default; add an exception", name));
      return false;
    }
    auto checked = CheckValue(*info, value, error);
    if (!checked) return false;
    defaults.insert_or_assign(info->id, std::move(*checked));
  }
  return true;
}

bool ApplyUnset(const defaults_change& change, defaults_map& defaults, core::last_error& error) {
  for (const std::string& name : change.unset) {
    const setting_info* info = RequireSetting(name, error);
    if (info == nullptr) return false;
    if (change.set.contains(name)) {
      error.Set(result_code::invalid_argument, fmt::format("{} is both set and unset", name));
      return false;
    }
    defaults.erase(info->id);
  }
  return true;
}

bool IsSameRequest(const config_exception& present, const config_exception& requested) {
  return present.applies_to == requested.applies_to && present.setting == requested.setting &&
         present.value == requested.value && present.author == requested.author &&
         present.reason == requested.reason;
}

std::vector<config_exception>::iterator FindById(std::vector<config_exception>& exceptions,
                                                 std::string_view id) {
  return std::find_if(exceptions.begin(), exceptions.end(),
                      [&](const config_exception& exception) { return exception.id == id; });
}

std::nullopt_t NoSuchException(std::string_view id, core::last_error& error) {
  return error.Set(result_code::not_found, fmt::format("there is no exception \"{}\"", id));
}

std::optional<config_exception> CheckException(const exception_request& request,
                                               const change_stamp& stamp, core::last_error& error) {
  const setting_info* info = RequireSetting(request.setting, error);
  if (info == nullptr) return std::nullopt;
  if (!HasText(request.reason)) {
    return error.Set(result_code::missing_reason, "an exception needs a written reason");
  }
  if (!IsValidName(request.id) || !IsValidName(request.applies_to.name)) {
    return error.Set(
        result_code::invalid_argument,
        "the id and the name in the scope must have 1 to 128 bytes, without control characters "
        "and without \"/\"");
  }
  if ((info->scopes & ScopeSetOf(request.applies_to.kind)) == 0) {
    return error.Set(result_code::invalid_argument,
                     fmt::format("{} has no effect in the scope of a {}", request.setting,
                                 ToString(request.applies_to.kind)));
  }
  auto checked = CheckValue(*info, request.value, error);
  if (!checked) return std::nullopt;
  return config_exception{request.id,   request.applies_to, info->id, std::move(*checked),
                          stamp.author, request.reason,     stamp.at, {}};
}

void DescribeDefaults(const fleet_config& older, const fleet_config& newer,
                      std::vector<std::string>& out) {
  for (const setting_info& info : Catalogue()) {
    const auto before = older.defaults().find(info.id);
    const auto after = newer.defaults().find(info.id);
    const bool had = before != older.defaults().end();
    const bool has = after != newer.defaults().end();
    if (had && !has) {
      out.push_back(
          fmt::format("default {} was unset (it was {})", info.name, ToText(before->second)));
    } else if (has && !had) {
      out.push_back(fmt::format("default {} was set to {}", info.name, ToText(after->second)));
    } else if (has && before->second != after->second) {
      out.push_back(fmt::format("default {} was changed from {} to {}", info.name,
                                ToText(before->second), ToText(after->second)));
    }
  }
}

std::string DescribeAdded(const config_exception& exception) {
  return fmt::format("exception {} was added by {}: {} = {} for {} (reason: {})", exception.id,
                     exception.author, InfoOf(exception.setting).name, ToText(exception.value),
                     exception.applies_to.ToText(), exception.reason);
}

void DescribeChallenges(const config_exception& before, const config_exception& after,
                        std::vector<std::string>& out) {
  for (std::size_t index = before.challenges.size(); index < after.challenges.size(); ++index) {
    const challenge& added = after.challenges[index];
    out.push_back(
        fmt::format("exception {} was challenged by {}: {}", after.id, added.author, added.text));
  }
}

}  // namespace

std::optional<fleet_config> ChangeDefaults(const fleet_config& base, const defaults_change& change,
                                           const change_stamp& stamp, core::last_error& error) {
  if (!CheckAuthor(stamp, error)) return std::nullopt;
  if (change.set.empty() && change.unset.empty()) {
    return error.Set(result_code::invalid_argument, "the change neither sets nor unsets a setting");
  }
  fleet_config::parts content = PartsOf(base);
  if (!ApplySet(change, content.defaults, error)) return std::nullopt;
  if (!ApplyUnset(change, content.defaults, error)) return std::nullopt;
  if (content.defaults == base.defaults() && base.version() != 0) return base;
  return NextVersion(std::move(content), stamp, error);
}

std::optional<fleet_config> AddException(const fleet_config& base, const exception_request& request,
                                         const change_stamp& stamp, core::last_error& error) {
  if (!CheckAuthor(stamp, error)) return std::nullopt;
  auto added = CheckException(request, stamp, error);
  if (!added) return std::nullopt;
  if (const config_exception* present = base.FindException(request.id)) {
    if (IsSameRequest(*present, *added)) return base;
    return error.Set(result_code::conflict,
                     fmt::format("the id is in use: {}", DescribeAdded(*present)));
  }
  fleet_config::parts content = PartsOf(base);
  content.exceptions.push_back(std::move(*added));
  return NextVersion(std::move(content), stamp, error);
}

std::optional<fleet_config> RemoveException(const fleet_config& base, std::string_view id,
                                            const change_stamp& stamp, core::last_error& error) {
  if (!CheckAuthor(stamp, error)) return std::nullopt;
  fleet_config::parts content = PartsOf(base);
  const auto found = FindById(content.exceptions, id);
  if (found == content.exceptions.end()) return NoSuchException(id, error);
  content.exceptions.erase(found);
  return NextVersion(std::move(content), stamp, error);
}

std::optional<fleet_config> AddChallenge(const fleet_config& base, std::string_view id,
                                         const challenge_request& request,
                                         const change_stamp& stamp, core::last_error& error) {
  if (!CheckAuthor(stamp, error)) return std::nullopt;
  if (!HasText(request.text)) {
    return error.Set(result_code::invalid_argument, "the text of the challenge is empty");
  }
  fleet_config::parts content = PartsOf(base);
  const auto found = FindById(content.exceptions, id);
  if (found == content.exceptions.end()) return NoSuchException(id, error);
  const bool repeated = std::any_of(
      found->challenges.begin(), found->challenges.end(), [&](const challenge& present) {
        return present.author == stamp.author && present.text == request.text;
      });
  if (repeated) return base;
  found->challenges.push_back({stamp.author, request.text, stamp.at});
  return NextVersion(std::move(content), stamp, error);
}

std::vector<std::string> DescribeChanges(const fleet_config& older, const fleet_config& newer) {
  std::vector<std::string> out;
  DescribeDefaults(older, newer, out);
  for (const config_exception& before : older.exceptions()) {
    if (newer.FindException(before.id) == nullptr) {
      out.push_back(fmt::format("exception {} was removed", before.id));
    }
  }
  for (const config_exception& after : newer.exceptions()) {
    const config_exception* before = older.FindException(after.id);
    if (before == nullptr) {
      out.push_back(DescribeAdded(after));
    } else if (!IsSameRequest(*before, after) || before->created_at != after.created_at) {
      out.push_back(fmt::format("exception {} was removed", after.id));
      out.push_back(DescribeAdded(after));
    } else {
      DescribeChallenges(*before, after, out);
    }
  }
  return out;
}

bool version_history::Advance(fleet_config_ptr next) {
  if (!next || next->version() <= version()) return false;
  if (current_) earlier_.push_back(std::move(current_));
  if (earlier_.size() > kMaxEarlierVersions) earlier_.pop_front();
  current_ = std::move(next);
  return true;
}

bool version_history::CheckBase(std::optional<core::config_version> if_version,
                                core::last_error& error) const {
  if (!if_version || *if_version == version()) return true;
  if (*if_version > version()) {
    error.Set(result_code::conflict,
              fmt::format("the change is based on version {}, but this entry has version {}; try "
                          "again in a few seconds",
                          *if_version, version()));
    return false;
  }
  std::string message = fmt::format(
      "the change is based on version {}; version {} by {} is in "
      "force",
      *if_version, version(), current_->author());
  const auto base = std::find_if(
      earlier_.begin(), earlier_.end(),
      [&](const fleet_config_ptr& earlier) { return earlier->version() == *if_version; });
  if (base == earlier_.end()) {
    message += "; this entry does not have the older version";
  } else {
    const std::vector<std::string> changes = DescribeChanges(**base, *current_);
    message += changes.empty() ? "; the values are the same"
                               : fmt::format("; since then: {}", fmt::join(changes, "; "));
  }
  error.Set(result_code::conflict, std::move(message));
  return false;
}

}  // namespace coltsfoot::config

#include "config/json_format.h"

#include <fmt/format.h>

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "names.h"
#include "time_format.h"

namespace coltsfoot::config {
namespace {

using core::result_code;
using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::string_view kBody = "the body";

/// Reads the fields of one JSON object strictly. The first error is kept; later reads return
/// empty values.
class object_reader {
 public:
  /// @param where name of the object in errors.
  object_reader(const json& object, std::string where, core::last_error& error)
      : object_(object), where_(std::move(where)), error_(error) {
    if (!object.is_object()) Fail(result_code::malformed_request, "must be an object");
  }

  /// Reports fields that are not in `names`.
  void AllowOnly(std::initializer_list<std::string_view> names) {
    if (!valid_) return;
    for (const auto& [name, value] : object_.items()) {
      if (std::find(names.begin(), names.end(), name) == names.end()) {
        Fail(result_code::unknown_field, fmt::format("has the unknown field \"{}\"", name));
        return;
      }
    }
  }

  /// @return the field, or null; a missing required field is an error.
  const json* Find(std::string_view name, bool required) {
    if (!valid_) return nullptr;
    const auto found = object_.find(name);
    if (found != object_.end()) return &*found;
    if (required) {
      Fail(result_code::malformed_request, fmt::format("lacks the field \"{}\"", name));
    }
    return nullptr;
  }

  std::string Text(std::string_view name, bool required = true) {
    const json* field = Find(name, required);
    if (field == nullptr) return "";
    if (field->is_string()) return field->get<std::string>();
    FailType(name, "a text");
    return "";
  }

  std::optional<core::config_version> Version(std::string_view name, bool required) {
    const json* field = Find(name, required);
    if (field == nullptr) return std::nullopt;
    if (field->is_number_unsigned()) return field->get<core::config_version>();
    FailType(name, "a version number");
    return std::nullopt;
  }

  const json* Array(std::string_view name, bool required) {
    const json* field = Find(name, required);
    if (field == nullptr || field->is_array()) return field;
    FailType(name, "a list");
    return nullptr;
  }

  core::wall_time Time(std::string_view name) {
    const std::string text = Text(name);
    if (!valid_) return {};
    const auto time = ParseTime(text);
    if (!time) FailType(name, "a time in UTC");
    return time.value_or(core::wall_time{});
  }

  std::optional<setting_value> Value(std::string_view name) {
    const json* field = Find(name, true);
    return field == nullptr ? std::nullopt : ToValue(name, *field);
  }

  std::optional<setting_value> ToValue(std::string_view name, const json& field) {
    if (field.is_boolean()) return field.get<bool>();
    if (field.is_string()) return field.get<std::string>();
    if (field.is_number_float()) return field.get<double>();
    const bool fits = field.is_number_integer() &&
                      (!field.is_number_unsigned() ||
                       field.get<std::uint64_t>() <=
                           static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    if (fits) return field.get<std::int64_t>();
    FailType(name, "true, false, a number or a text");
    return std::nullopt;
  }

  void FailType(std::string_view name, std::string_view expected) {
    Fail(result_code::invalid_argument, fmt::format("field \"{}\" must be {}", name, expected));
  }
  void Fail(result_code code, const std::string& message) {
    if (valid_) error_.Set(code, fmt::format("{}: {}", where_, message));
    valid_ = false;
  }
  bool valid() const noexcept { return valid_; }

 private:
  const json& object_;
  std::string where_;
  core::last_error& error_;
  bool valid_ = true;
};

/// Parses text into a JSON value. An object with a repeated field is refused, because the author of
/// the text cannot know which one takes effect.
std::optional<json> ParseStrict(std::string_view text, core::last_error& error) {
  std::vector<std::set<std::string>> open_objects;
  std::string repeated;
  const auto callback = [&](int /*depth*/, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) open_objects.emplace_back();
    if (event == json::parse_event_t::object_end) open_objects.pop_back();
    if (event == json::parse_event_t::key) {
      auto name = parsed.get<std::string>();
      if (!open_objects.back().insert(name).second) repeated = std::move(name);
    }
    return true;
  };
  json value = json::parse(text, callback, false);
  if (value.is_discarded()) return error.Set(result_code::malformed_request, "this is not JSON");
  if (!repeated.empty()) {
    return error.Set(result_code::malformed_request,
                     fmt::format("the field \"{}\" appears twice", repeated));
  }
  return value;
}

ordered_json ValueJson(const setting_value& value) {
  return std::visit([](const auto& held) { return ordered_json(held); }, value);
}

ordered_json OptionalJson(const std::optional<setting_value>& value) {
  return value ? ValueJson(*value) : ordered_json(nullptr);
}

ordered_json ExceptionJson(const config_exception& exception) {
  ordered_json challenges = ordered_json::array();
  for (const challenge& objection : exception.challenges) {
    challenges.push_back({{"author", objection.author},
                          {"text", objection.text},
                          {"time", FormatTime(objection.at)}});
  }
  return {{"id", exception.id},
          {"scope", exception.applies_to.ToText()},
          {"setting", InfoOf(exception.setting).name},
          {"value", ValueJson(exception.value)},
          {"author", exception.author},
          {"reason", exception.reason},
          {"created_at", FormatTime(exception.created_at)},
          {"challenges", std::move(challenges)}};
}

ordered_json DocumentJson(const fleet_config& config) {
  ordered_json defaults = ordered_json::object();
  for (const auto& [setting, value] : config.defaults()) {
    defaults[std::string(InfoOf(setting).name)] = ValueJson(value);
  }
  ordered_json exceptions = ordered_json::array();
  for (const config_exception& exception : config.exceptions()) {
    exceptions.push_back(ExceptionJson(exception));
  }
  return {{"version", config.version()},
          {"author", config.author()},
          {"defaults", std::move(defaults)},
          {"exceptions", std::move(exceptions)}};
}

const setting_info* ReadSetting(object_reader& fields, std::string_view name) {
  const setting_info* info = FindSetting(name);
  if (info == nullptr && fields.valid()) {
    fields.Fail(result_code::unknown_field, fmt::format("there is no setting \"{}\"", name));
  }
  return info;
}

// Text from outside JSON, such as the author in an HTTP header, may hold bytes that are not UTF-8.
// They are replaced, because a C++ exception here would end the process.
std::string Dump(const ordered_json& value) {
  return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::optional<setting_value> ReadChecked(object_reader& fields, const setting_info& info,
                                         const std::optional<setting_value>& value) {
  if (!value) return std::nullopt;
  core::last_error reason;
  auto checked = CheckValue(info, *value, reason);
  if (!checked) fields.Fail(reason.reason().code, reason.reason().message);
  return checked;
}

void ReadDefaults(object_reader& document, defaults_map& out, core::last_error& error) {
  const json* object = document.Find("defaults", true);
  if (object == nullptr) return;
  object_reader fields(*object, "defaults", error);
  if (!fields.valid()) return document.Fail(error.reason().code, error.reason().message);
  for (const auto& [name, field] : object->items()) {
    const setting_info* info = ReadSetting(fields, name);
    if (info != nullptr && !info->fleet_wide) {
      fields.Fail(result_code::invalid_argument, name + " has no fleet-wide default");
    }
    const auto checked =
        fields.valid() ? ReadChecked(fields, *info, fields.ToValue(name, field)) : std::nullopt;
    if (!checked) return document.Fail(error.reason().code, error.reason().message);
    out.emplace(info->id, *checked);
  }
}

std::optional<challenge> ReadChallenge(const json& object, core::last_error& error) {
  object_reader fields(object, "challenge", error);
  fields.AllowOnly({"author", "text", "time"});
  challenge out{fields.Text("author"), fields.Text("text"), fields.Time("time")};
  if (!fields.valid()) return std::nullopt;
  return out;
}

std::optional<scope> ReadScope(object_reader& fields) {
  const std::string text = fields.Text("scope");
  if (!fields.valid()) return std::nullopt;
  core::last_error reason;
  auto parsed = scope::Parse(text, reason);
  if (!parsed) fields.Fail(reason.reason().code, reason.reason().message);
  return parsed;
}

std::optional<config_exception> ReadException(const json& object, core::last_error& error) {
  object_reader fields(object, "exception", error);
  fields.AllowOnly(
      {"id", "scope", "setting", "value", "author", "reason", "created_at", "challenges"});
  config_exception out;
  out.id = fields.Text("id");
  const auto applies_to = ReadScope(fields);
  const setting_info* info = ReadSetting(fields, fields.Text("setting"));
  const auto value =
      info == nullptr ? std::nullopt : ReadChecked(fields, *info, fields.Value("value"));
  out.author = fields.Text("author");
  out.reason = fields.Text("reason");
  out.created_at = fields.Time("created_at");
  const json* challenges = fields.Array("challenges", true);
  if (fields.valid() && !IsValidName(out.id)) fields.FailType("id", "a name without \"/\"");
  if (fields.valid() && !HasText(out.reason)) {
    fields.Fail(result_code::missing_reason, out.id + " has no written reason");
  }
  if (fields.valid() && (info->scopes & ScopeSetOf(applies_to->kind)) == 0) {
    fields.FailType("scope", "a scope in which the setting has an effect");
  }
  if (!fields.valid()) return std::nullopt;
  out.applies_to = *applies_to;
  out.setting = info->id;
  out.value = *value;
  for (const json& item : *challenges) {
    auto objection = ReadChallenge(item, error);
    if (!objection) return std::nullopt;
    out.challenges.push_back(std::move(*objection));
  }
  return out;
}

bool ReadExceptions(object_reader& document, std::vector<config_exception>& out,
                    core::last_error& error) {
  const json* list = document.Array("exceptions", true);
  if (list == nullptr) return false;
  std::set<std::string> ids;
  for (const json& item : *list) {
    auto exception = ReadException(item, error);
    if (!exception) return false;
    if (!ids.insert(exception->id).second) {
      document.Fail(result_code::invalid_argument, exception->id + " is the id of two exceptions");
      return false;
    }
    out.push_back(std::move(*exception));
  }
  return true;
}

enum class document_kind : std::uint8_t { stored, answer };

std::optional<fleet_config> ReadDocument(std::string_view text, document_kind kind,
                                         core::last_error& error) {
  const auto value = ParseStrict(text, error);
  if (!value) return std::nullopt;
  object_reader document(*value, "configuration", error);
  const bool stored = kind == document_kind::stored;
  document.AllowOnly(
      {"version", "author", "defaults", "exceptions", stored ? "token" : "settings"});
  fleet_config::parts out;
  out.version = document.Version("version", true).value_or(0);
  if (stored) out.token = document.Text("token");
  out.author = document.Text("author");
  ReadDefaults(document, out.defaults, error);
  if (!document.valid() || !ReadExceptions(document, out.exceptions, error)) return std::nullopt;
  return fleet_config(std::move(out));
}

void ReadSet(object_reader& fields, defaults_change& out, core::last_error& error) {
  const json* object = fields.Find("set", false);
  if (object == nullptr) return;
  object_reader values(*object, "set", error);
  if (!values.valid()) return fields.Fail(error.reason().code, error.reason().message);
  for (const auto& [name, field] : object->items()) {
    const auto value = values.ToValue(name, field);
    if (!value) return fields.Fail(error.reason().code, error.reason().message);
    out.set.emplace(name, *value);
  }
}

void ReadUnset(object_reader& fields, defaults_change& out) {
  const json* list = fields.Array("unset", false);
  if (list == nullptr) return;
  for (const json& item : *list) {
    if (!item.is_string()) return fields.FailType("unset", "a list of setting names");
    out.unset.push_back(item.get<std::string>());
  }
}

}  // namespace

std::string ToJson(const fleet_config& config) {
  ordered_json document = DocumentJson(config);
  document["token"] = config.token();
  return Dump(document);
}

std::optional<fleet_config> ParseFleetConfig(std::string_view json, core::last_error& error) {
  return ReadDocument(json, document_kind::stored, error);
}

std::optional<fleet_config> ParseConfigAnswer(std::string_view json, core::last_error& error) {
  return ReadDocument(json, document_kind::answer, error);
}

std::string RenderConfig(const fleet_config& config) {
  ordered_json answer = DocumentJson(config);
  ordered_json rows = ordered_json::array();
  for (const setting_info& info : Catalogue()) {
    rows.push_back({{"name", info.name},
                    {"type", ToString(info.type)},
                    {"default", OptionalJson(info.InitialValue())},
                    {"value", OptionalJson(config.Effective(info.id, {}))},
                    {"description", info.description}});
  }
  answer["settings"] = std::move(rows);
  return Dump(answer);
}

std::string RenderException(const config_exception& exception) {
  return Dump(ExceptionJson(exception));
}

std::optional<defaults_change> ParseDefaultsChange(std::string_view json, core::last_error& error) {
  const auto value = ParseStrict(json, error);
  if (!value) return std::nullopt;
  object_reader fields(*value, std::string(kBody), error);
  fields.AllowOnly({"if_version", "set", "unset", "author"});
  defaults_change out;
  out.if_version = fields.Version("if_version", false);
  out.author = fields.Text("author");
  ReadSet(fields, out, error);
  ReadUnset(fields, out);
  if (!fields.valid()) return std::nullopt;
  return out;
}

std::optional<exception_request> ParseExceptionRequest(std::string_view json,
                                                       core::last_error& error) {
  const auto value = ParseStrict(json, error);
  if (!value) return std::nullopt;
  object_reader fields(*value, std::string(kBody), error);
  fields.AllowOnly({"id", "scope", "setting", "value", "author", "reason", "if_version"});
  exception_request out;
  out.id = fields.Text("id", false);
  out.setting = fields.Text("setting");
  const auto applies_to = ReadScope(fields);
  const auto requested_value = fields.Value("value");
  out.author = fields.Text("author");
  out.reason = fields.Text("reason", false);
  out.if_version = fields.Version("if_version", false);
  if (!fields.valid()) return std::nullopt;
  out.applies_to = *applies_to;
  out.value = *requested_value;
  if (out.id.empty()) out.id = fmt::format("{}@{}", out.setting, out.applies_to.ToText());
  return out;
}

std::optional<challenge_request> ParseChallengeRequest(std::string_view json,
                                                       core::last_error& error) {
  const auto value = ParseStrict(json, error);
  if (!value) return std::nullopt;
  object_reader fields(*value, std::string(kBody), error);
  fields.AllowOnly({"author", "text"});
  challenge_request out{fields.Text("author"), fields.Text("text")};
  if (!fields.valid()) return std::nullopt;
  return out;
}

}  // namespace coltsfoot::config

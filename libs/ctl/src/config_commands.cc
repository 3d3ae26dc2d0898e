#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "config/json_format.h"
#include "http/client.h"
#include "session.h"
#include "text_table.h"

namespace coltsfoot::ctl {
namespace {

using config::fleet_config;
using config::setting_info;
using nlohmann::json;

constexpr std::string_view kExceptionsPath = "/v1/config/exceptions";

json ToJsonValue(const config::setting_value& value) {
  return std::visit([](const auto& held) { return json(held); }, value);
}

std::string TextOrUnset(const std::optional<config::setting_value>& value) {
  return value ? config::ToText(*value) : "unset";
}

const setting_info* FindSettingOrReport(session& run, const std::string& name) {
  const setting_info* info = config::FindSetting(name);
  if (info == nullptr) {
    run.Usage(fmt::format("There is no setting \"{}\"; `config get` lists all.", name));
  }
  return info;
}

std::optional<config::setting_value> ParseValueOrReport(session& run, const setting_info& info,
                                                        const std::string& text) {
  core::last_error error;
  auto value = config::ParseValueText(info, text, error);
  if (!value) run.Usage(error.reason().message + ".");
  return value;
}

bool HasAuthor(session& run) {
  if (!run.flags.author.empty()) return true;
  run.Usage("A change needs --author=NAME.");
  return false;
}

/// Prints the new version, or what went wrong.
exit_code ReportChange(session& run, const api_outcome& outcome, std::string_view done) {
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (run.PrintedJson(outcome)) return exit_code::ok;
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  run.around.out << done;
  if (answer.is_object() && answer.contains("version")) {
    run.around.out << fmt::format(" (version {})", answer.at("version").dump());
  }
  run.around.out << ".\n";
  return exit_code::ok;
}

/// Sends a change of one default. If the outcome is unknown, the configuration is read back: a
/// change is never sent twice, because it could undo what another operator did in between.
exit_code ChangeDefault(session& run, const setting_info& info,
                        const std::optional<config::setting_value>& value) {
  if (!HasAuthor(run)) return exit_code::usage;
  json body = {{"author", run.flags.author}, {"set", json::object()}, {"unset", json::array()}};
  if (value) {
    body["set"][std::string(info.name)] = ToJsonValue(*value);
  } else {
    body["unset"].push_back(info.name);
  }
  if (run.flags.if_version >= 0) body["if_version"] = run.flags.if_version;
  const api_outcome outcome = run.Call(
      {.method = "PATCH", .path = "/v1/config/defaults", .body = body.dump(), .repeatable = false});
  const std::string done = fmt::format("{} is now {}", info.name, TextOrUnset(value));
  if (outcome.code != exit_code::unknown) return ReportChange(run, outcome, done);

  run.Report(outcome);
  api_outcome read;
  exit_code code = exit_code::unknown;
  const auto present = run.ReadConfig(read, code);
  if (!present) return exit_code::unknown;
  const auto found = present->defaults().find(info.id);
  const bool has = found != present->defaults().end();
  const bool in_force = value ? has && found->second == *value : !has;
  run.around.err << fmt::format("Read back version {}: {} is {}.\n", present->version(), info.name,
                                has ? config::ToText(found->second) : "unset");
  return in_force ? exit_code::ok : exit_code::unknown;
}

void PrintSettings(session& run, const fleet_config& present, const std::string& only) {
  text_table table({"SETTING", "VALUE", "SET", "BUILT-IN", "EXCEPTIONS", "DESCRIPTION"});
  for (const setting_info& info : config::Catalogue()) {
    if (!only.empty() && info.name != only) continue;
    const auto exceptions =
        std::count_if(present.exceptions().begin(), present.exceptions().end(),
                      [&](const auto& exception) { return exception.setting == info.id; });
    table.Add({std::string(info.name), TextOrUnset(present.Effective(info.id, {})),
               present.defaults().contains(info.id) ? "yes" : "no",
               TextOrUnset(info.InitialValue()), std::to_string(exceptions),
               std::string(info.description)});
  }
  run.around.out << fmt::format("Version {}, last changed by {}.\n{}", present.version(),
                                present.author(), table.Render());
}

/// Fills the member of a subject that a scope names.
void Apply(const config::scope& part, config::subject& about) {
  using enum config::scope_kind;
  switch (part.kind) {
    case worker:
      about.worker = part.name;
      return;
    case rack:
      about.rack = part.name;
      return;
    case zone:
      about.zone = part.name;
      return;
    case region:
      about.region = part.name;
      return;
    case task_class:
      about.task_class = part.name;
      return;
    case service:
      about.service = part.name;
      return;
    case team:
      about.team = part.name;
      return;
  }
}

struct wanted_exception {
  std::string id;  ///< empty: the entry derives it from setting and scope
  std::string scope;
  std::string setting;
  config::setting_value value;
};

exit_code PostException(session& run, const wanted_exception& wanted, const std::string& done) {
  if (!HasAuthor(run)) return exit_code::usage;
  if (run.flags.reason.empty()) {
    return run.Usage("An exception needs --reason=TEXT, which other operators will read.");
  }
  json body = {{"scope", wanted.scope},
               {"setting", wanted.setting},
               {"value", ToJsonValue(wanted.value)},
               {"author", run.flags.author},
               {"reason", run.flags.reason}};
  if (!wanted.id.empty()) body["id"] = wanted.id;
  const bool bound = run.flags.if_version >= 0;
  if (bound) body["if_version"] = run.flags.if_version;
  // The same exception added twice is one exception, but a version can be used only once.
  return ReportChange(run,
                      run.Call({.method = "POST",
                                .path = std::string(kExceptionsPath),
                                .body = body.dump(),
                                .repeatable = !bound}),
                      done);
}

exit_code DeleteException(session& run, const std::string& id, const std::string& done) {
  if (!HasAuthor(run)) return exit_code::usage;
  const api_outcome outcome =
      run.Call({.method = "DELETE",
                .path = fmt::format("{}/{}", kExceptionsPath, http::UrlEncode(id)),
                .headers = {{"X-Author", run.flags.author}}});
  if (outcome.maybe_repeated && outcome.reason.code == core::result_code::not_found) {
    run.around.out << done << " (by an earlier try whose answer was lost).\n";
    return exit_code::ok;
  }
  return ReportChange(run, outcome, done);
}

/// @return "worker:NAME" or "zone:NAME" for a name as an operator gives it; empty on failure.
std::string ResolvePlace(session& run, const std::string& name, exit_code& code) {
  if (name.find(':') != std::string::npos) return name;
  const api_outcome outcome = run.Get("/v1/workers");
  if (outcome.code != exit_code::ok) {
    code = run.Report(outcome);
    return "";
  }
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  for (const json& row : answer.value("workers", json::array())) {
    for (const char* kind : {"worker", "zone"}) {
      if (row.value(kind, "") == name) return fmt::format("{}:{}", kind, name);
    }
  }
  code = run.Usage(fmt::format(
      "The entry knows no worker or zone \"{}\"; name it as worker:{} or zone:{} to be sure.", name,
      name, name));
  return "";
}

}  // namespace

exit_code ConfigGet(session& run) {
  const std::string only = run.arguments.empty() ? "" : run.arguments[0];
  if (!only.empty() && FindSettingOrReport(run, only) == nullptr) return exit_code::usage;
  api_outcome outcome;
  exit_code code = exit_code::ok;
  const auto present = run.ReadConfig(outcome, code);
  if (present && !run.PrintedJson(outcome)) PrintSettings(run, *present, only);
  return code;
}

exit_code ConfigSet(session& run) {
  const setting_info* info = FindSettingOrReport(run, run.arguments[0]);
  if (info == nullptr) return exit_code::usage;
  const auto value = ParseValueOrReport(run, *info, run.arguments[1]);
  return value ? ChangeDefault(run, *info, value) : exit_code::usage;
}

exit_code ConfigUnset(session& run) {
  const setting_info* info = FindSettingOrReport(run, run.arguments[0]);
  return info == nullptr ? exit_code::usage : ChangeDefault(run, *info, std::nullopt);
}

exit_code ConfigStatus(session& run) {
  const api_outcome outcome = run.Get("/v1/config/status");
  if (outcome.code != exit_code::ok) return run.Report(outcome);
  if (run.PrintedJson(outcome)) return exit_code::ok;
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  const auto newest = answer.value("version", std::uint64_t{0});
  text_table table({"PROCESS", "KIND", "VERSION", "SEEN"});
  std::size_t behind = 0;
  for (const json& row : answer.value("processes", json::array())) {
    const auto version = row.value("version", std::uint64_t{0});
    behind += version < newest ? 1 : 0;
    table.Add({row.value("process", ""), row.value("kind", ""), std::to_string(version),
               fmt::format("{} ms ago", row.value("seen_ms_ago", std::int64_t{0}))});
  }
  run.around.out << table.Render()
                 << fmt::format("Version {}; {} processes behind.\n", newest, behind);
  return exit_code::ok;
}

exit_code ConfigExplain(session& run) {
  const setting_info* info = FindSettingOrReport(run, run.arguments[0]);
  if (info == nullptr) return exit_code::usage;
  config::subject about;
  for (const std::string& text : run.flags.scopes) {
    core::last_error error;
    const auto part = config::scope::Parse(text, error);
    if (!part) return run.Usage(error.reason().message + ".");
    Apply(*part, about);
  }
  api_outcome outcome;
  exit_code code = exit_code::ok;
  const auto present = run.ReadConfig(outcome, code);
  if (!present) return code;
  const config::explanation why = ExplainSetting(*present, info->id, about);
  if (run.flags.json) {
    json body = {{"setting", info->name}, {"value", nullptr}, {"text", why.ToText()}};
    if (why.value) body["value"] = ToJsonValue(*why.value);
    if (why.exception) body["exception"] = json::parse(RenderException(*why.exception));
    run.around.out << body.dump() << '\n';
  } else {
    run.around.out << why.ToText() << '\n';
  }
  return exit_code::ok;
}

exit_code ExceptionAdd(session& run) {
  const setting_info* info = FindSettingOrReport(run, run.arguments[0]);
  if (info == nullptr) return exit_code::usage;
  const auto value = ParseValueOrReport(run, *info, run.arguments[1]);
  if (!value) return exit_code::usage;
  if (run.flags.scopes.size() != 1) return run.Usage("An exception needs one --scope=KIND:NAME.");
  core::last_error error;
  if (!config::scope::Parse(run.flags.scopes[0], error)) {
    return run.Usage(error.reason().message + ".");
  }
  return PostException(
      run, {run.flags.id, run.flags.scopes[0], run.arguments[0], *value},
      fmt::format("{} is now {} for {}", info->name, config::ToText(*value), run.flags.scopes[0]));
}

exit_code ExceptionList(session& run) {
  api_outcome outcome;
  exit_code code = exit_code::ok;
  const auto present = run.ReadConfig(outcome, code);
  if (!present) return code;
  if (run.flags.json) {
    run.around.out << json::parse(outcome.answer->body).at("exceptions").dump() << '\n';
    return exit_code::ok;
  }
  text_table table({"ID", "SCOPE", "SETTING", "VALUE", "AUTHOR", "CHALLENGES", "REASON"});
  for (const auto& exception : present->exceptions()) {
    table.Add({exception.id, exception.applies_to.ToText(),
               std::string(config::InfoOf(exception.setting).name), config::ToText(exception.value),
               exception.author, std::to_string(exception.challenges.size()), exception.reason});
  }
  run.around.out << table.Render();
  return exit_code::ok;
}

exit_code ExceptionShow(session& run) {
  api_outcome outcome;
  exit_code code = exit_code::ok;
  const auto present = run.ReadConfig(outcome, code);
  if (!present) return code;
  const auto* exception = present->FindException(run.arguments[0]);
  if (exception == nullptr) {
    run.around.err << fmt::format("There is no exception \"{}\".\n", run.arguments[0]);
    return exit_code::failed;
  }
  if (run.flags.json) {
    run.around.out << RenderException(*exception) << '\n';
  } else {
    const config::explanation why{exception->setting, exception->value, false, *exception};
    run.around.out << why.ToText() << '\n';
  }
  return exit_code::ok;
}

exit_code ExceptionChallenge(session& run) {
  if (!HasAuthor(run)) return exit_code::usage;
  const json body = {{"author", run.flags.author}, {"text", run.arguments[1]}};
  return ReportChange(run,
                      run.Call({.method = "POST",
                                .path = fmt::format("{}/{}/challenges", kExceptionsPath,
                                                    http::UrlEncode(run.arguments[0])),
                                .body = body.dump()}),
                      fmt::format("Challenged {}", run.arguments[0]));
}

exit_code ExceptionRemove(session& run) {
  return DeleteException(run, run.arguments[0], fmt::format("Removed {}", run.arguments[0]));
}

exit_code Drain(session& run) {
  const std::string& worker = run.arguments[0];
  const std::string place = fmt::format("worker:{}", worker);
  return PostException(run, {"worker.drain@" + place, place, "worker.drain", true},
                       fmt::format("{} gets no new work and hands over its tasks", worker));
}

exit_code Undrain(session& run) {
  const std::string& worker = run.arguments[0];
  return DeleteException(run, fmt::format("worker.drain@worker:{}", worker),
                         fmt::format("{} gets work again", worker));
}

exit_code WorkerLost(session& run) {
  exit_code code = exit_code::ok;
  const std::string place = ResolvePlace(run, run.arguments[0], code);
  if (place.empty()) return code;
  const std::string id = "worker.lost@" + place;
  return PostException(run, {id, place, "worker.lost", true},
                       fmt::format("{} is declared lost; its tasks resume elsewhere. When it is "
                                   "back, run: coltsfootctl exception remove {}",
                                   place, id));
}

}  // namespace coltsfoot::ctl

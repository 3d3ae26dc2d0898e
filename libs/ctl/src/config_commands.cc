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
  return std::visit([](const auto& alternative) { return json(alternative); }, value);
}

std::string TextOrUnset(const std::optional<config::setting_value>& value) {
  return value ? config::ToText(*value) : "unset";
}

const setting_info* FindSettingOrReport(session& ctx, const std::string& name) {
  const setting_info* info = config::FindSetting(name);
  if (info == nullptr) {
    ctx.Usage(fmt::format("There is no setting \"{}\"; `config get` lists all.", name));
  }
  return info;
}

std::optional<config::setting_value> ParseValueOrReport(session& ctx, const setting_info& info,
                                                        const std::string& text) {
  core::last_error error;
  auto value = config::ParseValueText(info, text, error);
  if (!value) ctx.Usage(error.reason().message + ".");
  return value;
}

bool RequireAuthor(session& ctx) {
  if (!ctx.flags.author.empty()) return true;
  ctx.Usage("A change needs --author=NAME.");
  return false;
}

/// Prints the new configuration version, or the error.
/// @param success_text printed before the version.
exit_code ReportChange(session& ctx, const api_outcome& outcome, std::string_view success_text) {
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (ctx.PrintAsJson(outcome)) return exit_code::ok;
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  ctx.env.out << success_text;
  if (answer.is_object() && answer.contains("version")) {
    ctx.env.out << fmt::format(" (version {})", answer.at("version").dump());
  }
  ctx.env.out << ".\n";
  return exit_code::ok;
}

/// Changes one fleet-wide default. If the outcome is unknown, reads the configuration back instead
/// of repeating the change, because a second change could undo what another operator did in
/// between.
/// @param value empty removes the default.
exit_code ChangeDefault(session& ctx, const setting_info& info,
                        const std::optional<config::setting_value>& value) {
  if (!RequireAuthor(ctx)) return exit_code::usage;
  json body = {{"author", ctx.flags.author}, {"set", json::object()}, {"unset", json::array()}};
  if (value) {
    body["set"][std::string(info.name)] = ToJsonValue(*value);
  } else {
    body["unset"].push_back(info.name);
  }
  if (ctx.flags.if_version >= 0) body["if_version"] = ctx.flags.if_version;
  const api_outcome outcome = ctx.Call(
      {.method = "PATCH", .path = "/v1/config/defaults", .body = body.dump(), .repeatable = false});
  const std::string success_text = fmt::format("{} is now {}", info.name, TextOrUnset(value));
  if (outcome.code != exit_code::unknown) return ReportChange(ctx, outcome, success_text);

  ctx.Report(outcome);
  api_outcome read;
  exit_code code = exit_code::unknown;
  const auto current = ctx.ReadConfig(read, code);
  if (!current) return exit_code::unknown;
  const auto found = current->defaults().find(info.id);
  const bool has = found != current->defaults().end();
  const bool in_force = value ? has && found->second == *value : !has;
  ctx.env.err << fmt::format("Read back version {}: {} is {}.\n", current->version(), info.name,
                             has ? config::ToText(found->second) : "unset");
  return in_force ? exit_code::ok : exit_code::unknown;
}

void PrintSettings(session& ctx, const fleet_config& current, const std::string& filter) {
  text_table table({"SETTING", "VALUE", "SET", "BUILT-IN", "EXCEPTIONS", "DESCRIPTION"});
  for (const setting_info& info : config::Catalogue()) {
    if (!filter.empty() && info.name != filter) continue;
    const auto exceptions =
        std::count_if(current.exceptions().begin(), current.exceptions().end(),
                      [&](const auto& exception) { return exception.setting == info.id; });
    table.AddRow({std::string(info.name), TextOrUnset(current.Effective(info.id, {})),
                  current.defaults().contains(info.id) ? "yes" : "no",
                  TextOrUnset(info.InitialValue()), std::to_string(exceptions),
                  std::string(info.description)});
  }
  ctx.env.out << fmt::format("Version {}, last changed by {}.\n{}", current.version(),
                             current.author(), table.Render());
}

/// Sets the field of `subject` that corresponds to the kind of `scope`.
void SetSubjectField(const config::scope& scope, config::subject& subject) {
  using enum config::scope_kind;
  switch (scope.kind) {
    case worker:
      subject.worker = scope.name;
      return;
    case rack:
      subject.rack = scope.name;
      return;
    case zone:
      subject.zone = scope.name;
      return;
    case region:
      subject.region = scope.name;
      return;
    case task_class:
      subject.task_class = scope.name;
      return;
    case service:
      subject.service = scope.name;
      return;
    case team:
      subject.team = scope.name;
      return;
  }
}

/// Configuration exception to create.
struct exception_spec {
  std::string id;  ///< empty: the entry derives the id from setting and scope
  std::string scope;
  std::string setting;
  config::setting_value value;
};

exit_code PostException(session& ctx, const exception_spec& spec, const std::string& success_text) {
  if (!RequireAuthor(ctx)) return exit_code::usage;
  if (ctx.flags.reason.empty()) {
    return ctx.Usage("An exception needs --reason=TEXT, which other operators will read.");
  }
  json body = {{"scope", spec.scope},
               {"setting", spec.setting},
               {"value", ToJsonValue(spec.value)},
               {"author", ctx.flags.author},
               {"reason", ctx.flags.reason}};
  if (!spec.id.empty()) body["id"] = spec.id;
  const bool is_conditional = ctx.flags.if_version >= 0;
  if (is_conditional) body["if_version"] = ctx.flags.if_version;
  // Adding the same exception twice has the effect of adding it once. A conditional change cannot
  // be repeated: the first attempt changes the version, so the second would be refused.
  return ReportChange(ctx,
                      ctx.Call({.method = "POST",
                                .path = std::string(kExceptionsPath),
                                .body = body.dump(),
                                .repeatable = !is_conditional}),
                      success_text);
}

exit_code DeleteException(session& ctx, const std::string& id, const std::string& success_text) {
  if (!RequireAuthor(ctx)) return exit_code::usage;
  const api_outcome outcome =
      ctx.Call({.method = "DELETE",
                .path = fmt::format("{}/{}", kExceptionsPath, http::UrlEncode(id)),
                .headers = {{"X-Author", ctx.flags.author}}});
  if (outcome.maybe_repeated && outcome.reason.code == core::result_code::not_found) {
    ctx.env.out << success_text << " (by an earlier try whose answer was lost).\n";
    return exit_code::ok;
  }
  return ReportChange(ctx, outcome, success_text);
}

/// Finds out whether a name given by the operator is a worker or a zone.
/// @param code is set to the exit code on failure.
/// @return "worker:NAME" or "zone:NAME"; empty on failure. A name with a colon is returned as it
/// is.
std::string ResolveScope(session& ctx, const std::string& name, exit_code& code) {
  if (name.find(':') != std::string::npos) return name;
  const api_outcome outcome = ctx.Get("/v1/workers");
  if (outcome.code != exit_code::ok) {
    code = ctx.Report(outcome);
    return "";
  }
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  for (const json& row : answer.value("workers", json::array())) {
    for (const char* kind : {"worker", "zone"}) {
      if (row.value(kind, "") == name) return fmt::format("{}:{}", kind, name);
    }
  }
  code = ctx.Usage(fmt::format(
      "The entry knows no worker or zone \"{}\"; name it as worker:{} or zone:{} to be sure.", name,
      name, name));
  return "";
}

}  // namespace

exit_code ConfigGet(session& ctx) {
  const std::string filter = ctx.arguments.empty() ? "" : ctx.arguments[0];
  if (!filter.empty() && FindSettingOrReport(ctx, filter) == nullptr) return exit_code::usage;
  api_outcome outcome;
  exit_code code = exit_code::ok;
  const auto current = ctx.ReadConfig(outcome, code);
  if (current && !ctx.PrintAsJson(outcome)) PrintSettings(ctx, *current, filter);
  return code;
}

exit_code ConfigSet(session& ctx) {
  const setting_info* info = FindSettingOrReport(ctx, ctx.arguments[0]);
  if (info == nullptr) return exit_code::usage;
  const auto value = ParseValueOrReport(ctx, *info, ctx.arguments[1]);
  return value ? ChangeDefault(ctx, *info, value) : exit_code::usage;
}

exit_code ConfigUnset(session& ctx) {
  const setting_info* info = FindSettingOrReport(ctx, ctx.arguments[0]);
  return info == nullptr ? exit_code::usage : ChangeDefault(ctx, *info, std::nullopt);
}

exit_code ConfigStatus(session& ctx) {
  const api_outcome outcome = ctx.Get("/v1/config/status");
  if (outcome.code != exit_code::ok) return ctx.Report(outcome);
  if (ctx.PrintAsJson(outcome)) return exit_code::ok;
  const json answer = json::parse(outcome.answer->body, nullptr, false);
  const auto newest = answer.value("version", std::uint64_t{0});
  text_table table({"PROCESS", "KIND", "VERSION", "SEEN"});
  std::size_t outdated = 0;
  for (const json& row : answer.value("processes", json::array())) {
    const auto version = row.value("version", std::uint64_t{0});
    outdated += version < newest ? 1 : 0;
    table.AddRow({row.value("process", ""), row.value("kind", ""), std::to_string(version),
                  fmt::format("{} ms ago", row.value("seen_ms_ago", std::int64_t{0}))});
  }
  ctx.env.out << table.Render()
              << fmt::format("Version {}; {} processes behind.\n", newest, outdated);
  return exit_code::ok;
}

exit_code ConfigExplain(session& ctx) {
  const setting_info* info = FindSettingOrReport(ctx, ctx.arguments[0]);
  if (info == nullptr) return exit_code::usage;
  config::subject subject;
  for (const std::string& text : ctx.flags.scopes) {
    core::last_error error;
    const auto scope = config::scope::Parse(text, error);
    if (!scope) return ctx.Usage(error.reason().message + ".");
    SetSubjectField(*scope, subject);
  }
  api_outcome outcome;
  exit_code code = exit_code::ok;
  const auto current = ctx.ReadConfig(outcome, code);
  if (!current) return code;
  const config::explanation explained = ExplainSetting(*current, info->id, subject);
  if (ctx.flags.json) {
    json body = {{"setting", info->name}, {"value", nullptr}, {"text", explained.ToText()}};
    if (explained.value) body["value"] = ToJsonValue(*explained.value);
    if (explained.exception) body["exception"] = json::parse(RenderException(*explained.exception));
    ctx.env.out << body.dump() << '\n';
  } else {
    ctx.env.out << explained.ToText() << '\n';
  }
  return exit_code::ok;
}

exit_code ExceptionAdd(session& ctx) {
  const setting_info* info = FindSettingOrReport(ctx, ctx.arguments[0]);
  if (info == nullptr) return exit_code::usage;
  const auto value = ParseValueOrReport(ctx, *info, ctx.arguments[1]);
  if (!value) return exit_code::usage;
  if (ctx.flags.scopes.size() != 1) return ctx.Usage("An exception needs one --scope=KIND:NAME.");
  core::last_error error;
  if (!config::scope::Parse(ctx.flags.scopes[0], error)) {
    return ctx.Usage(error.reason().message + ".");
  }
  return PostException(
      ctx, {ctx.flags.id, ctx.flags.scopes[0], ctx.arguments[0], *value},
      fmt::format("{} is now {} for {}", info->name, config::ToText(*value), ctx.flags.scopes[0]));
}

exit_code ExceptionList(session& ctx) {
  api_outcome outcome;
  exit_code code = exit_code::ok;
  const auto current = ctx.ReadConfig(outcome, code);
  if (!current) return code;
  if (ctx.flags.json) {
    ctx.env.out << json::parse(outcome.answer->body).at("exceptions").dump() << '\n';
    return exit_code::ok;
  }
  text_table table({"ID", "SCOPE", "SETTING", "VALUE", "AUTHOR", "CHALLENGES", "REASON"});
  for (const auto& exception : current->exceptions()) {
    table.AddRow({exception.id, exception.applies_to.ToText(),
                  std::string(config::InfoOf(exception.setting).name),
                  config::ToText(exception.value), exception.author,
                  std::to_string(exception.challenges.size()), exception.reason});
  }
  ctx.env.out << table.Render();
  return exit_code::ok;
}

exit_code ExceptionShow(session& ctx) {
  api_outcome outcome;
  exit_code code = exit_code::ok;
  const auto current = ctx.ReadConfig(outcome, code);
  if (!current) return code;
  const auto* exception = current->FindException(ctx.arguments[0]);
  if (exception == nullptr) {
    ctx.env.err << fmt::format("There is no exception \"{}\".\n", ctx.arguments[0]);
    return exit_code::failed;
  }
  if (ctx.flags.json) {
    ctx.env.out << RenderException(*exception) << '\n';
  } else {
    const config::explanation explained{exception->setting, exception->value, false, *exception};
    ctx.env.out << explained.ToText() << '\n';
  }
  return exit_code::ok;
}

exit_code ExceptionChallenge(session& ctx) {
  if (!RequireAuthor(ctx)) return exit_code::usage;
  const json body = {{"author", ctx.flags.author}, {"text", ctx.arguments[1]}};
  return ReportChange(ctx,
                      ctx.Call({.method = "POST",
                                .path = fmt::format("{}/{}/challenges", kExceptionsPath,
                                                    http::UrlEncode(ctx.arguments[0])),
                                .body = body.dump()}),
                      fmt::format("Challenged {}", ctx.arguments[0]));
}

exit_code ExceptionRemove(session& ctx) {
  return DeleteException(ctx, ctx.arguments[0], fmt::format("Removed {}", ctx.arguments[0]));
}

exit_code Drain(session& ctx) {
  const std::string& worker = ctx.arguments[0];
  const std::string scope = fmt::format("worker:{}", worker);
  return PostException(ctx, {"worker.drain@" + scope, scope, "worker.drain", true},
                       fmt::format("{} gets no new work and hands over its tasks", worker));
}

exit_code Undrain(session& ctx) {
  const std::string& worker = ctx.arguments[0];
  return DeleteException(ctx, fmt::format("worker.drain@worker:{}", worker),
                         fmt::format("{} gets work again", worker));
}

exit_code WorkerLost(session& ctx) {
  exit_code code = exit_code::ok;
  const std::string scope = ResolveScope(ctx, ctx.arguments[0], code);
  if (scope.empty()) return code;
  const std::string id = "worker.lost@" + scope;
  return PostException(ctx, {id, scope, "worker.lost", true},
                       fmt::format("{} is declared lost; its tasks resume elsewhere. When it is "
                                   "back, run: coltsfootctl exception remove {}",
                                   scope, id));
}

}  // namespace coltsfoot::ctl

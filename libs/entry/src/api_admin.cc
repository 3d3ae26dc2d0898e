// API calls for operators: workers, teams and the fleet configuration.
#include <map>
#include <utility>

#include "api.h"
#include "api_error.h"
#include "config/json_format.h"
#include "json_text.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;
using nlohmann::json;

std::string_view StateName(membership::worker_state state) {
  switch (state) {
    case membership::worker_state::live:
      return "live";
    case membership::worker_state::recovering:
      return "recovering";
    case membership::worker_state::draining:
      return "draining";
    case membership::worker_state::silent:
      return "silent";
    case membership::worker_state::gone:
      break;
  }
  return "gone";
}

/// Sums the rows of the same team over the answers of several entries.
http::response MergeTeams(const std::vector<std::string>& bodies) {
  std::map<std::string, json> teams;
  for (const std::string& body : bodies) {
    const json part = json::parse(body, nullptr, false);
    if (!part.is_object() || !part.contains("teams")) continue;
    for (const json& item : part.at("teams")) {
      json& sum = teams[item.at("team").get<std::string>()];
      if (sum.is_null()) {
        sum = item;
        continue;
      }
      for (const char* field : {"cpu_millis", "queued", "running"}) {
        sum[field] = sum.at(field).get<std::int64_t>() + item.at(field).get<std::int64_t>();
      }
    }
  }
  json all = json::array();
  for (auto& [team, row] : teams) all.push_back(std::move(row));
  return http::JsonResponse(200, Dump({{"teams", std::move(all)}}));
}

}  // namespace

// Workers and teams.

void api::ListWorkers(const http::responder& respond) {
  json workers = json::array();
  const core::mono_time now = deps_.time.Now();
  const auto& table = deps_.workers;
  for (membership::worker_index index = 0; index < table.size(); ++index) {
    const auto& identity = table.identity(index);
    if (identity.id.empty()) continue;
    json services = json::array();
    for (const auto& row : table.services(index)) {
      services.push_back({{"service", table.service_names().Name(row.service)},
                          {"in_flight", row.in_flight},
                          {"queued", row.queued},
                          {"average_us", row.average_us}});
    }
    const core::resources& total = table.total()[index];
    const core::resources& free = table.available()[index];
    workers.push_back({{"worker", identity.id},
                       {"region", table.place_names().Name(table.region()[index])},
                       {"zone", table.place_names().Name(table.zone()[index])},
                       {"rack", table.place_names().Name(table.rack()[index])},
                       {"state", std::string(StateName(table.State(index, now)))},
                       {"config_version", identity.config},
                       {"running_tasks", identity.running_tasks},
                       {"cpu_millis", total.cpu_millis},
                       {"cpu_millis_free", free.cpu_millis},
                       {"memory_mb", total.memory_mb},
                       {"memory_mb_free", free.memory_mb},
                       {"accelerators", total.accelerators},
                       {"accelerators_free", free.accelerators},
                       {"slots", table.slots_total()[index]},
                       {"slots_free", table.slots_free()[index]},
                       {"heard_ms_ago", core::ToMs(now - table.last_heartbeat_at(index))},
                       {"services", std::move(services)}});
  }
  respond(http::JsonResponse(200, Dump({{"workers", std::move(workers)}})));
}

void api::ListTeams(call_context& context) {
  struct team_counts {
    std::int64_t cpu_millis = 0;
    std::int64_t queued = 0;
    std::int64_t running = 0;
  };
  std::map<std::string, team_counts> counts;
  for (const core::shard_index shard : deps_.ledger.OwnedShards()) {
    const ledger::shard_table& table = *deps_.ledger.Table(shard);
    // Teams whose tasks have all ended are listed as long as the log keeps any of those tasks.
    for (const auto& [team, ended] : table.ended().count_by_team()) counts.try_emplace(team);
    for (const auto& [task, entry] : table.tasks()) {
      team_counts& row = counts[entry.spec.team];
      row.queued += entry.state == ledger::task_state::queued ? 1 : 0;
      row.running += entry.state == ledger::task_state::assigned ? 1 : 0;
    }
  }
  for (const auto& usage : deps_.tasks.OwnUsage()) {
    counts[usage.team].cpu_millis = usage.used.cpu_millis;
  }
  json teams = json::array();
  for (const auto& [team, row] : counts) {
    json quota;
    if (deps_.config.is_known()) {
      const auto limit = deps_.config.view().For({.team = team}).team_cpu_quota_millis;
      if (limit) quota = *limit;
    }
    teams.push_back({{"team", team},
                     {"cpu_millis", row.cpu_millis},
                     {"quota", std::move(quota)},
                     {"queued", row.queued},
                     {"running", row.running}});
  }
  FanOut(context, Dump({{"teams", std::move(teams)}}), MergeTeams);
}

// Configuration.

void api::RouteConfig(call_context& context) {
  const std::string& method = context.call.method;
  const auto& path = context.path;
  const http::responder& respond = context.respond;
  if (!deps_.config.is_known()) {
    Refuse(context, result_code::no_configuration, "no fleet configuration has been loaded yet");
    return;
  }
  core::last_error error;
  const auto fail = [&] { Refuse(context, error.reason().code, error.reason().message); };
  if (path.size() == 1 && method == "GET") {
    respond(http::JsonResponse(200, config::RenderConfig(*deps_.config.current())));
  } else if (path.size() == 2 && path[1] == "status" && method == "GET") {
    ConfigStatus(respond);
  } else if (path.size() == 2 && path[1] == "defaults" && method == "PATCH") {
    const auto change = config::ParseDefaultsChange(context.call.body, error);
    if (!change) return fail();
    ChangeConfig(
        change->if_version, change->author,
        [change](const config::fleet_config& base, const config::change_stamp& stamp,
                 core::last_error& why) {
          return config::ChangeDefaults(base, *change, stamp, why);
        },
        respond);
  } else if (path.size() == 2 && path[1] == "exceptions" && method == "POST") {
    const auto wanted = config::ParseExceptionRequest(context.call.body, error);
    if (!wanted) return fail();
    ChangeConfig(
        wanted->if_version, wanted->author,
        [wanted](const config::fleet_config& base, const config::change_stamp& stamp,
                 core::last_error& why) { return config::AddException(base, *wanted, stamp, why); },
        respond);
  } else if (path.size() == 3 && path[1] == "exceptions" && method == "DELETE") {
    ChangeConfig(
        std::nullopt, context.call.FindHeader("X-Author").value_or("unknown"),
        [id = std::string(path[2])](const config::fleet_config& base,
                                    const config::change_stamp& stamp, core::last_error& why) {
          return config::RemoveException(base, id, stamp, why);
        },
        respond);
  } else if (path.size() == 4 && path[1] == "exceptions" && path[3] == "challenges" &&
             method == "POST") {
    const auto wanted = config::ParseChallengeRequest(context.call.body, error);
    if (!wanted) return fail();
    ChangeConfig(
        std::nullopt, wanted->author,
        [wanted, id = std::string(path[2])](
            const config::fleet_config& base, const config::change_stamp& stamp,
            core::last_error& why) { return config::AddChallenge(base, id, *wanted, stamp, why); },
        respond);
  } else {
    Refuse(context, result_code::method_not_allowed,
           "the configuration API has no such path or method");
  }
}

void api::ChangeConfig(std::optional<core::config_version> base, const std::string& author,
                       const config_controller::change_function& change, http::responder respond) {
  deps_.config.Change(base, author, change,
                      [this, respond = std::move(respond)](const core::error_reason& reason,
                                                           core::config_version version) {
                        if (reason.code == result_code::ok) {
                          respond(http::JsonResponse(200, Dump({{"version", version}})));
                          return;
                        }
                        deps_.metrics.CountRefusal("config", reason.code);
                        respond(ErrorResponse(reason.code, reason.message));
                      });
}

void api::ConfigStatus(const http::responder& respond) {
  const core::mono_time now = deps_.time.Now();
  json processes = json::array();
  const auto add = [&](const std::string& process, const char* kind, core::config_version version,
                       core::nanoseconds age) {
    processes.push_back({{"process", process},
                         {"kind", kind},
                         {"version", version},
                         {"seen_ms_ago", core::ToMs(age)}});
  };
  add(deps_.options.id, "entry", deps_.config.version(), {});
  for (const auto& [peer, state] : deps_.peers.peers()) {
    add(peer, "entry", state.config, now - state.seen);
  }
  for (membership::worker_index index = 0; index < deps_.workers.size(); ++index) {
    const auto& identity = deps_.workers.identity(index);
    if (identity.id.empty()) continue;
    add(identity.id, "agent", identity.config, now - deps_.workers.last_heartbeat_at(index));
  }
  respond(http::JsonResponse(
      200, Dump({{"version", deps_.config.version()}, {"processes", std::move(processes)}})));
}

}  // namespace coltsfoot::entry

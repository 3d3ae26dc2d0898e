#include "api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "api_error.h"
#include "core/ids.h"
#include "json_text.h"
#include "task_json.h"
#include "wire/transport.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;
using nlohmann::json;

constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr core::milliseconds kAdminDeadline{10'000};
constexpr core::milliseconds kMaxWait{60'000};
/// Calls that wait for the end of a task may take this part of the requests in progress, in
/// percent. Waits last up to a minute, so more of them would keep other callers out for that long.
constexpr std::size_t kTaskWaitPercent = 50;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kListLimit = 1000;
constexpr std::string_view kDefaultTeam = "default";

std::vector<std::string_view> Segments(std::string_view path) {
  std::vector<std::string_view> out;
  while (!path.empty()) {
    path.remove_prefix(path.front() == '/' ? 1 : 0);
    const std::size_t end = path.find('/');
    const std::string_view segment = path.substr(0, end);
    if (!segment.empty()) out.push_back(segment);
    if (end == std::string_view::npos) break;
    path.remove_prefix(end);
  }
  return out;
}

std::optional<std::int64_t> ParseNumber(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, failure] = std::from_chars(text.data(), end, value);
  if (text.empty() || failure != std::errc{} || parsed != end) return std::nullopt;
  return value;
}

http::response OutcomeResponse(const request_outcome& outcome) {
  if (outcome.code != result_code::ok) return ErrorResponse(outcome.code, outcome.reason);
  return {200,
          {{"Content-Type", "application/octet-stream"},
           {"X-Result-Code", "0"},
           {"X-Not-Run", "false"},
           {"X-Digest", std::to_string(core::StableHash(outcome.body))}},
          outcome.body};
}

/// Concatenates the arrays `field` of several JSON objects, up to `kListLimit` items.
http::response MergeArrays(const std::vector<std::string>& bodies, const char* field) {
  json all = json::array();
  for (const std::string& body : bodies) {
    const json part = json::parse(body, nullptr, false);
    if (!part.is_object() || !part.contains(field)) continue;
    for (const json& item : part.at(field)) {
      if (all.size() < kListLimit) all.push_back(item);
    }
  }
  return http::JsonResponse(200, Dump({{field, std::move(all)}}));
}

}  // namespace

void api::Handle(const http::request& call, bool forwarded, http::responder respond) {
  Dispatch({call, forwarded, std::move(respond), Segments(call.path)});
}

void api::Dispatch(call_context context) {
  const http::request& call = context.call;
  if (call.path == "/healthz") {
    context.respond(http::JsonResponse(200, R"({"status":"ok"})"));
  } else if (call.path == "/readyz") {
    context.respond(Readiness());
  } else if (call.path == "/metrics") {
    context.respond({200,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     deps_.metrics.Render() + wire::RenderTraffic()});
  } else if (context.path.size() >= 2 && context.path[0] == "v1") {
    context.path.erase(context.path.begin());
    Route(context);
  } else {
    Refuse(context, result_code::not_found, "no such path");
  }
}

http::response api::Readiness() const {
  const bool ready = !shutting_down_ && deps_.config.is_known() && deps_.ledger.ready();
  const json body = {{"ready", ready},
                     {"shutting_down", shutting_down_},
                     {"config_version", deps_.config.version()},
                     {"shards", deps_.ledger.OwnedShards()},
                     {"entries", deps_.ledger.Entries().size()},
                     {"workers", deps_.workers.CountDispatchable(deps_.time.Now())},
                     {"store_reachable", deps_.ledger.store_reachable()}};
  return http::JsonResponse(ready ? 200 : 503, Dump(body));
}

void api::Refuse(const call_context& context, result_code code, const std::string& reason) {
  deps_.metrics.CountRefusal("api", code);
  context.respond(ErrorResponse(code, reason));
}

void api::Route(call_context& context) {
  const std::string_view root = context.path[0];
  const std::string& method = context.call.method;
  const bool reads = method == "GET";
  // Another entry has already accepted a forwarded call, so it is handled even during a shutdown.
  if (shutting_down_ && !context.forwarded && !reads) {
    Refuse(context, result_code::shutting_down, "the entry is shutting down");
    return;
  }
  const auto wrong_method = [&] {
    Refuse(context, result_code::method_not_allowed, "method not allowed here");
  };
  if (root == "services" && context.path.size() == 3 && context.path[2] == "requests") {
    method == "POST" ? HandleServiceRequest(context) : wrong_method();
  } else if (root == "tasks") {
    RouteTasks(context);
  } else if (root == "config") {
    RouteConfig(context);
  } else if (root == "workers" && context.path.size() == 1) {
    reads ? ListWorkers(context.respond) : wrong_method();
  } else if (root == "teams" && context.path.size() == 1) {
    reads ? ListTeams(context) : wrong_method();
  } else {
    Refuse(context, result_code::not_found, "no such path");
  }
}

void api::RouteTasks(call_context& context) {
  const std::string& method = context.call.method;
  const std::size_t depth = context.path.size();
  if (depth == 1 && method == "POST") {
    SubmitTask(context);
  } else if (depth == 1 && method == "GET") {
    ListTasks(context);
  } else if ((depth == 2 && method == "GET") ||
             (depth == 3 && context.path[2] == "cancel" && method == "POST") ||
             (depth == 3 && context.path[2] == "explain" && method == "GET")) {
    HandleTaskCall(context);
  } else if (depth <= 2 || context.path[2] == "cancel" || context.path[2] == "explain") {
    Refuse(context, result_code::method_not_allowed, "method not allowed here");
  } else {
    Refuse(context, result_code::not_found, "no such path");
  }
}

std::optional<core::milliseconds> api::DeadlineOf(const http::request& call,
                                                  core::last_error& error) {
  const auto text = call.FindHeader("X-Deadline-Ms");
  if (!text) return deps_.config.view().fleet_wide().default_deadline;
  const auto value = ParseNumber(*text);
  if (!value || *value < 1 || *value > kMaxDeadlineMs) {
    return error.Set(result_code::invalid_argument,
                     "X-Deadline-Ms must be a whole number from 1 to 600000");
  }
  return core::milliseconds{*value};
}

// Requests to services.

void api::HandleServiceRequest(call_context& context) {
  if (!deps_.config.is_known()) {
    Refuse(context, result_code::no_configuration, "no fleet configuration has been loaded yet");
    return;
  }
  core::last_error error;
  const auto deadline = DeadlineOf(context.call, error);
  const std::string idempotent = context.call.FindHeader("X-Idempotent").value_or("true");
  if (deadline && idempotent != "true" && idempotent != "false") {
    error.Set(result_code::invalid_argument, "X-Idempotent must be true or false");
  }
  const std::string key = context.call.FindHeader("Idempotency-Key").value_or("");
  if (idempotent == "false" && (key.empty() || key.size() > kMaxKeyBytes)) {
    error.Set(result_code::missing_idempotency_key,
              "a non-idempotent request needs an Idempotency-Key of at most 256 bytes");
  }
  if (error.reason().code != result_code::ok) {
    Refuse(context, error.reason().code, error.reason().message);
    return;
  }
  service_request request;
  request.service = std::string(context.path[1]);
  request.team = context.call.FindHeader("X-Team").value_or(std::string(kDefaultTeam));
  request.idempotent = idempotent == "true";
  request.deadline = deps_.time.Now() + *deadline;
  request.body = context.call.body;
  request.done = [respond = context.respond](const request_outcome& outcome) {
    respond(OutcomeResponse(outcome));
  };
  if (request.idempotent) {
    deps_.router.Submit(std::move(request));
    return;
  }
  const std::string full_key = request.team + ":" + key;
  RunNonIdempotent(context, std::move(request), full_key);
}

void api::RunNonIdempotent(call_context& context, service_request request, const std::string& key) {
  const core::shard_index shard = core::ShardOfKey(key, deps_.options.shard_count);
  if (deps_.ledger.Fence(shard)) {
    deps_.claims.Submit(shard, key, std::move(request));
    return;
  }
  ForwardToOwner(context, shard, request.deadline);
}

void api::ForwardToOwner(call_context& context, core::shard_index shard, core::mono_time deadline) {
  if (context.forwarded) {
    Refuse(context, result_code::not_owner, "the shard moved to another entry");
    return;
  }
  const core::mono_time now = deps_.time.Now();
  if (!HasReachableOwner(shard)) {
    // A takeover takes about as long as the lease in the key-value service; the call waits for it,
    // so that callers need not retry.
    const core::mono_time until = std::min(deadline, now + 2 * deps_.options.store_lease_ttl);
    deps_.metrics.GetCounter("coltsfoot_calls_held_total").Add();
    pending_forwards_.push_back(
        {context.call, context.respond, shard, deadline, until, context.waits});
    return;
  }
  http::request call = context.call;
  const auto left = std::max<std::int64_t>(core::ToMs(deadline - now), 1);
  call.headers["X-Deadline-Ms"] = std::to_string(std::min(left, kMaxDeadlineMs));
  // Lets the owner answer at its deadline before the forwarding entry times out.
  constexpr core::milliseconds kGrace{200};
  deps_.peers.Forward(deps_.ledger.OwnerOf(shard)->entry, call, deadline + kGrace, context.respond);
}

bool api::HasReachableOwner(core::shard_index shard) const {
  const auto owner = deps_.ledger.OwnerOf(shard);
  return owner && owner->entry != deps_.options.id && deps_.peers.CanReach(owner->entry);
}

void api::RetryPendingForwards() {
  const core::mono_time now = deps_.time.Now();
  std::list<pending_forward> due;
  for (auto item = pending_forwards_.begin(); item != pending_forwards_.end();) {
    const auto next = std::next(item);
    const bool retry = deps_.ledger.Fence(item->shard) || HasReachableOwner(item->shard);
    if (retry || item->until <= now) due.splice(due.end(), pending_forwards_, item);
    item = next;
  }
  for (pending_forward& item : due) {
    if (item.until <= now) {
      deps_.metrics.CountRefusal("forward", result_code::not_owner);
      item.respond(ErrorResponse(result_code::not_owner, "the shard has no reachable owner"));
      continue;
    }
    const auto left = std::max<std::int64_t>(core::ToMs(item.deadline - now), 1);
    item.call.headers["X-Deadline-Ms"] = std::to_string(std::min(left, kMaxDeadlineMs));
    Dispatch({item.call, false, item.respond, Segments(item.call.path), item.waits});
  }
}

// Tasks.

void api::SubmitTask(call_context& context) {
  core::last_error error;
  auto spec = ParseTaskSpec(context.call.body, error);
  const std::string key = context.call.FindHeader("Idempotency-Key").value_or("");
  if (spec && key.size() > kMaxKeyBytes) {
    spec = error.Set(result_code::invalid_argument, "Idempotency-Key is longer than 256 bytes");
  }
  if (!spec) {
    Refuse(context, error.reason().code, error.reason().message);
    return;
  }
  const std::uint32_t shards = deps_.options.shard_count;
  if (key.empty()) {
    // Without a key the task may go to any shard; an owned one needs no forwarding.
    const auto owned = deps_.ledger.OwnedShards();
    const auto shard = owned.empty() ? static_cast<core::shard_index>(deps_.random.Below(shards))
                                     : owned[deps_.random.Below(owned.size())];
    spec->task = core::MakeTaskId(shard, deps_.random.Next());
  } else {
    spec->task = core::TaskIdForKey(spec->team, key, shards);
  }
  const core::shard_index shard = *core::ShardOfTask(spec->task);
  if (!deps_.ledger.Fence(shard)) {
    ForwardToOwner(context, shard, deps_.time.Now() + kAdminDeadline);
    return;
  }
  spec->submitted_wall_ms = deps_.time.WallNow().time_since_epoch().count();
  const std::string task = spec->task;
  deps_.tasks.Submit(shard, std::move(*spec),
                     [task, respond = context.respond](const core::error_reason& reason) {
                       if (reason.code == result_code::ok) {
                         respond(http::JsonResponse(202, Dump({{"task", task}})));
                       } else {
                         respond(ErrorResponse(reason.code, reason.message));
                       }
                     });
}

void api::HandleTaskCall(call_context& context) {
  const std::string task(context.path[1]);
  const auto shard = core::ShardOfTask(task);
  if (!shard || *shard >= deps_.options.shard_count) {
    Refuse(context, result_code::not_found, "no such task");
    return;
  }
  const auto wait = ParseNumber(context.call.FindParameter("wait_ms").value_or("0"));
  if (!wait || *wait < 0 || *wait > kMaxWait.count()) {
    Refuse(context, result_code::invalid_argument, "wait_ms must be from 0 to 60000");
    return;
  }
  if (*wait > 0 && !context.forwarded && !context.waits && !CountWait(context)) {
    http::request at_once = context.call;
    at_once.query.erase("wait_ms");
    call_context shortened{at_once, false, context.respond, context.path};
    HandleTaskCall(shortened);
    return;
  }
  if (!deps_.ledger.Fence(*shard)) {
    ForwardToOwner(context, *shard, deps_.time.Now() + core::milliseconds{*wait} + kAdminDeadline);
    return;
  }
  if (deps_.tasks.Find(*shard, task).entry == nullptr) {
    Refuse(context, result_code::not_found, "no such task");
  } else if (context.path.size() == 2) {
    ShowTask(task, *shard, core::milliseconds{*wait}, context.respond);
  } else if (context.path[2] == "cancel") {
    deps_.tasks.Cancel(*shard, task, [respond = context.respond](const core::error_reason& reason) {
      if (reason.code == result_code::ok) {
        respond(http::JsonResponse(200, R"({"cancel_requested":true})"));
      } else {
        respond(ErrorResponse(reason.code, reason.message));
      }
    });
  } else {
    const json view = json::parse(RenderTask(deps_.tasks.Find(*shard, task)));
    context.respond(http::JsonResponse(200, Dump({{"task", task},
                                                  {"state", view.at("state")},
                                                  {"owner", deps_.options.id},
                                                  {"lines", deps_.tasks.Explain(*shard, task)}})));
  }
}

bool api::CountWait(call_context& context) {
  if (task_waits_ >= deps_.max_requests_in_progress * kTaskWaitPercent / 100) {
    deps_.metrics.GetCounter("coltsfoot_task_waits_shortened_total").Add();
    return false;
  }
  ++task_waits_;
  context.waits = true;
  context.respond = [this, open = std::make_shared<bool>(true),
                     respond = std::move(context.respond)](http::response answer) {
    if (std::exchange(*open, false)) --task_waits_;
    respond(std::move(answer));
  };
  return true;
}

void api::ShowTask(const std::string& task, core::shard_index shard, core::milliseconds wait,
                   const http::responder& respond) {
  const auto answer = [this, task, shard, respond] {
    const task_view view = deps_.tasks.Find(shard, task);
    if (view.entry == nullptr) {
      respond(ErrorResponse(result_code::not_owner, "the shard moved to another entry"));
    } else {
      respond(http::JsonResponse(200, RenderTask(view)));
    }
  };
  const task_view view = deps_.tasks.Find(shard, task);
  if (view.entry->state == ledger::task_state::ended || wait.count() == 0 || shutting_down_) {
    answer();
    return;
  }
  // The end of the task and the end of the wait both call `answer`; the responder ignores the
  // second call.
  const core::mono_time until = deps_.time.Now() + wait;
  long_polls_.push_back({until, answer});
  deps_.tasks.WaitForEnd(task, until, answer);
}

void api::ListTasks(call_context& context) {
  const std::string team = context.call.FindParameter("team").value_or("");
  const std::string state = context.call.FindParameter("state").value_or("");
  const auto limit = ParseNumber(context.call.FindParameter("limit").value_or("100"));
  if (!limit || *limit < 1 || *limit > static_cast<std::int64_t>(kListLimit)) {
    Refuse(context, result_code::invalid_argument, "limit must be from 1 to 1000");
    return;
  }
  json tasks = json::array();
  const auto is_full = [&] { return static_cast<std::int64_t>(tasks.size()) >= *limit; };
  const auto add = [&](const task_view& task) {
    if (!team.empty() && task.entry->spec.team != team) return;
    if (!state.empty() && TaskStateName(task) != state) return;
    json view = json::parse(RenderTask(task));
    view.erase("result");
    tasks.push_back(std::move(view));
  };
  for (const core::shard_index shard : deps_.ledger.OwnedShards()) {
    const ledger::shard_table& table = *deps_.ledger.Table(shard);
    for (const auto& [task, entry] : table.tasks()) {
      if (is_full()) break;
      add(deps_.tasks.Find(shard, task));
    }
    const bool wants_ended = (state.empty() || state == "ended") &&
                             (team.empty() || table.ended().count_by_team().contains(team));
    if (!wants_ended) continue;
    // Newest first: callers want the tasks that ended last.
    for (std::size_t position = table.ended().size(); position > 0 && !is_full(); --position) {
      const ledger::task_entry entry = table.ended().At(position - 1);
      add({&entry, false});
    }
  }
  FanOut(context, Dump({{"tasks", std::move(tasks)}}),
         [](const std::vector<std::string>& bodies) { return MergeArrays(bodies, "tasks"); });
}

void api::FanOut(call_context& context, std::string own, merge_function merge) {
  if (context.forwarded) {
    context.respond(http::JsonResponse(200, std::move(own)));
    return;
  }
  struct collection {
    std::vector<std::string> bodies;
    std::size_t missing = 0;
    std::size_t failed = 0;
  };
  auto collected = std::make_shared<collection>();
  collected->bodies.push_back(std::move(own));
  std::vector<std::string> others;
  for (const auto& peer : deps_.ledger.Entries()) {
    if (peer.entry != deps_.options.id) others.push_back(peer.entry);
  }
  collected->missing = others.size();
  if (others.empty()) {
    context.respond(merge(collected->bodies));
    return;
  }
  for (const std::string& peer : others) {
    deps_.peers.Forward(peer, context.call, deps_.time.Now() + kAdminDeadline,
                        [collected, merge, respond = context.respond](http::response answer) {
                          if (answer.status == 200) {
                            collected->bodies.push_back(std::move(answer.body));
                          } else {
                            collected->failed += 1;
                          }
                          if (--collected->missing > 0) return;
                          http::response merged = merge(collected->bodies);
                          if (collected->failed > 0) {
                            // Mark a list that lacks the shards of some entries as incomplete.
                            json body = json::parse(merged.body);
                            body["missing_entries"] = collected->failed;
                            merged.body = Dump(body);
                          }
                          respond(std::move(merged));
                        });
  }
}

// Periodic work and shutdown.

void api::Tick() {
  const core::mono_time now = deps_.time.Now();
  std::vector<std::function<void()>> due;
  long_polls_.remove_if([&](long_poll& waiting) {
    if (waiting.until > now && !shutting_down_) return false;
    due.push_back(std::move(waiting.answer));
    return true;
  });
  for (const auto& answer : due) answer();
  RetryPendingForwards();
}

void api::StartShutdown() { shutting_down_ = true; }

}  // namespace coltsfoot::entry

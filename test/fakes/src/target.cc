#include "target.h"

#include <absl/strings/escaping.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoot::fakes {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kFailed = 500;
constexpr int kRefused = 503;
constexpr double kThrottledSpeed = 0.25;
constexpr double kMinServiceMs = 0.1;
constexpr core::milliseconds kUsagePeriod{1000};
// Bounds the progress in one step: a paused process does no work.
constexpr core::milliseconds kMaxStep{200};
constexpr std::size_t kKeptUsageEvents = 20;
constexpr std::size_t kKeptTerminalEvents = 2000;
constexpr std::string_view kTasksPath = "/tasks/";
constexpr std::string_view kRequestsPath = "/requests/";
constexpr std::string_view kKeyMark = "key=";

double Milliseconds(core::nanoseconds duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

core::mono_time FromNs(std::int64_t count) { return core::mono_time{core::nanoseconds{count}}; }

json ToJson(const core::resources& amount) {
  return {{"cpu_millis", amount.cpu_millis},
          {"memory_mb", amount.memory_mb},
          {"accelerators", amount.accelerators}};
}

core::resources ResourcesFrom(const json& body, const char* name, core::resources fallback) {
  const auto found = body.find(name);
  if (found == body.end() || !found->is_object()) return fallback;
  return {found->value("cpu_millis", fallback.cpu_millis),
          found->value("memory_mb", fallback.memory_mb),
          found->value("accelerators", fallback.accelerators)};
}

std::string Decoded(const json& body, const char* name) {
  std::string out;
  absl::Base64Unescape(body.value(name, ""), &out);
  return out;
}

std::string CheckpointOf(double progress_ms) {
  return std::to_string(static_cast<std::int64_t>(progress_ms));
}

http::response Plain(int status) { return http::JsonResponse(status, "{}"); }

http::response Refusal(int status, std::string_view reason) {
  return http::JsonResponse(status, json{{"reason", reason}}.dump());
}

std::uint64_t Number(const http::request& received, std::string_view name) {
  return std::strtoull(received.FindParameter(name).value_or("0").c_str(), nullptr, 10);
}

// A caller names its idempotency key at the start of the body as "key=K;".
std::string KeyOf(const std::string& body) {
  const std::size_t end = body.find(';');
  if (!body.starts_with(kKeyMark) || end == std::string::npos) return "";
  return body.substr(kKeyMark.size(), end - kKeyMark.size());
}

// The members of `object` without the braces.
std::string Members(const json& object) {
  const std::string text = object.dump();
  return text.substr(1, text.size() - 2);
}

}  // namespace

target::target(const core::clock& time, target_options options, target_faults faults,
               truth_sink truth)
    : time_(time),
      options_(std::move(options)),
      faults_(faults),
      truth_(std::move(truth)),
      random_(options_.seed),
      advanced_to_(time.Now()),
      last_usage_(time.Now()) {
  json line{{"wall_ms", time_.WallNow().time_since_epoch().count()},
            {"mono_ns", advanced_to_.time_since_epoch().count()},
            {"worker", options_.id},
            {"instance", options_.instance},
            {"event", "target_start"},
            {"capacity", ToJson(options_.capacity)},
            {"slots", options_.slots}};
  truth_(line.dump());
}

void target::Handle(const http::request& received, responder respond) {
  Advance();
  const std::string& path = received.path;
  if (path.starts_with(kRequestsPath)) {
    HandleServiceRequest(received, std::move(respond));
  } else if (path == "/events") {
    HandleEvents(received, std::move(respond));
  } else if (path == "/tasks") {
    respond(received.method == "POST" ? StartTask(received) : ListTasks());
  } else if (path.starts_with(kTasksPath)) {
    respond(ControlTask(received));
  } else if (path == "/leases") {
    respond(RenewLeases(received));
  } else if (path == "/admin/faults") {
    respond(SetFaults(received));
  } else {
    respond(Plain(kNotFound));
  }
  AnswerDuePolls();
}

void target::Tick() {
  Advance();
  AnswerDuePolls();
}

std::string target::AnnounceBody(std::string_view address, std::uint16_t port) const {
  return json{{"target", options_.id},
              {"instance", options_.instance},
              {"address", address},
              {"port", port},
              {"services", options_.services},
              {"resources", ToJson(options_.capacity)},
              {"slots", options_.slots},
              {"connections", options_.connections}}
      .dump();
}

void target::Drain() {
  Advance();
  draining_ = true;
  while (!running_.empty()) {
    const std::string id = running_.begin()->first;
    EndTask(id, "lapsed", "task_stop", "drain", time_.Now());
  }
  AnswerDuePolls();
}

http::response target::StartTask(const http::request& received) {
  const json body = json::parse(received.body, nullptr, false);
  if (!body.is_object() || !body.contains("task") || !body.contains("epoch")) {
    return Plain(kBadRequest);
  }
  task_run run;
  run.id = body.value("task", "");
  run.epoch = body.value("epoch", core::epoch_number{0});
  if (known_epochs_.contains(run.id) && known_epochs_[run.id] >= run.epoch) return Plain(kConflict);
  if (draining_) return Refusal(kUnprocessable, "draining");
  const core::mono_time now = time_.Now();
  run.lease_until = FromNs(body.value("lease_until_ns", std::int64_t{0}));
  if (run.lease_until <= now) return Refusal(kUnprocessable, "the lease has passed");
  if (running_.contains(run.id)) return Refusal(kUnprocessable, "an earlier epoch is running");
  run.shard = body.value("shard", core::shard_index{0});
  run.fence = body.value("fence", core::fencing_token{0});
  run.team = body.value("team", "");
  run.task_class = body.value("task_class", "");
  run.kind = body.value("kind", "batch");
  run.need = ResourcesFrom(body, "resources", {});
  run.expected_ms = body.value("expected_ms", std::int64_t{0});
  run.payload = Decoded(body, "payload");
  run.checkpoint = Decoded(body, "checkpoint");
  const json payload = json::parse(run.payload, nullptr, false);
  const json details = payload.is_object() ? payload : json::object();
  run.work_ms = details.value("work_ms", static_cast<double>(run.expected_ms));
  run.key = details.value("key", "");
  run.used = ResourcesFrom(details, "use", run.need);
  run.must_fail = faults_.fail_every_task || details.value("fail", false);
  run.progress_ms = std::strtod(run.checkpoint.c_str(), nullptr);
  run.started = now;
  known_epochs_[run.id] = run.epoch;
  const auto [position, added] = running_.insert_or_assign(run.id, run);
  TaskTruth(run.checkpoint.empty() ? "task_start" : "task_resume", position->second, "", now);
  return Plain(kOk);
}

http::response target::ListTasks() const {
  json tasks = json::array();
  const auto add = [&tasks](const task_run& run, std::string_view state) {
    tasks.push_back({{"task", run.id},
                     {"epoch", run.epoch},
                     {"shard", run.shard},
                     {"fence", run.fence},
                     {"team", run.team},
                     {"task_class", run.task_class},
                     {"kind", run.kind},
                     {"resources", ToJson(run.need)},
                     {"expected_ms", run.expected_ms},
                     {"checkpoint", absl::Base64Escape(run.checkpoint)},
                     {"lease_until_ns", run.lease_until.time_since_epoch().count()},
                     {"state", state}});
  };
  for (const auto& [id, run] : running_) {
    add(run, run.state == run_state::throttled ? "throttled" : "running");
  }
  for (const task_run& run : ended_) add(run, "ended");
  return http::JsonResponse(
      kOk, json{{"instance", options_.instance}, {"tasks", std::move(tasks)}}.dump());
}

http::response target::ControlTask(const http::request& received) {
  const std::string rest = received.path.substr(kTasksPath.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) return Plain(kNotFound);
  const std::string id = rest.substr(0, slash);
  const std::string action = rest.substr(slash + 1);
  const auto found = running_.find(id);
  if (found == running_.end() || found->second.epoch != Number(received, "epoch")) {
    return Plain(kNotFound);
  }
  task_run& run = found->second;
  if (action == "throttle") {
    run.state = run_state::throttled;
  } else if (action == "unthrottle") {
    run.state = run_state::running;
  } else if (action != "checkpoint" && action != "stop") {
    return Plain(kBadRequest);
  }
  const std::string checkpoint = CheckpointOf(run.progress_ms);
  if (action == "checkpoint") {
    run.checkpoint = checkpoint;
    TaskTruth("task_checkpoint", run, "", time_.Now());
  }
  if (action == "stop") EndTask(id, "", "task_stop", "asked", time_.Now());
  return http::JsonResponse(kOk, json{{"checkpoint", absl::Base64Escape(checkpoint)}}.dump());
}

http::response target::RenewLeases(const http::request& received) {
  const json body = json::parse(received.body, nullptr, false);
  if (!body.is_object() || !body.contains("leases")) return Plain(kBadRequest);
  for (const json& lease : body["leases"]) {
    const auto found = running_.find(lease.value("task", ""));
    if (found == running_.end()) continue;
    if (found->second.epoch != lease.value("epoch", core::epoch_number{0})) continue;
    found->second.lease_until = FromNs(lease.value("lease_until_ns", std::int64_t{0}));
  }
  return Plain(kOk);
}

http::response target::SetFaults(const http::request& received) {
  const json body = json::parse(received.body, nullptr, false);
  if (!body.is_object()) return Plain(kBadRequest);
  faults_.fail_every_task = body.value("fail_every_task", faults_.fail_every_task);
  faults_.fail_requests = body.value("fail_requests", faults_.fail_requests);
  faults_.slow_factor = std::max(0.01, body.value("slow_factor", faults_.slow_factor));
  faults_.noise = body.value("noise", faults_.noise);
  faults_.usage_delay_ms = body.value("usage_delay_ms", faults_.usage_delay_ms);
  return Plain(kOk);
}

void target::HandleServiceRequest(const http::request& received, responder respond) {
  service_request item;
  item.service = received.path.substr(kRequestsPath.size());
  item.id = received.FindHeader("X-Request-Id").value_or("");
  item.key = KeyOf(received.body);
  item.body = received.body;
  item.respond = std::move(respond);
  const std::string deadline = received.FindHeader("X-Deadline-Ms").value_or("3600000");
  item.deadline = time_.Now() + core::milliseconds{std::strtoll(deadline.c_str(), nullptr, 10)};
  const bool known = std::find(options_.services.begin(), options_.services.end(), item.service) !=
                     options_.services.end();
  if (!known || draining_) {
    item.respond(Refusal(kRefused, draining_ ? "draining" : "unknown service"));
    return;
  }
  if (serving_.size() + queued_.size() >= options_.slots + options_.connections) {
    RequestTruth("request_refused", item);
    item.respond(Refusal(kRefused, "all slots and connections are in use"));
    return;
  }
  queued_.push_back(std::move(item));
  StartQueued(time_.Now());
}

void target::StartQueued(core::mono_time now) {
  while (!queued_.empty() && serving_.size() < options_.slots) {
    service_request item = std::move(queued_.front());
    queued_.pop_front();
    if (item.deadline <= now) {
      item.respond(Refusal(kRefused, "the deadline passed in the queue"));
      continue;
    }
    const double offset = (2 * random_.Uniform() - 1) * options_.service_spread_ms;
    const double prolongation = 1 + faults_.noise / 100 * random_.Uniform();
    item.remaining_ms = std::max(kMinServiceMs, options_.service_ms + offset) * prolongation;
    serving_.push_back(std::move(item));
    RequestTruth("request_start", serving_.back());
  }
}

void target::FinishRequest(service_request& item) {
  RequestTruth("request_finish", item);
  if (faults_.fail_requests) {
    item.respond(Refusal(kFailed, "fault switch"));
    return;
  }
  http::response answer{kOk, {}, item.body + std::string(kAnswerMark) + options_.id + ";"};
  answer.headers["X-Digest"] = std::to_string(core::StableHash(answer.body));
  item.respond(std::move(answer));
}

void target::Advance() {
  const core::mono_time now = time_.Now();
  AdvanceTasks(now);
  AdvanceRequests(now);
  advanced_to_ = now;
  if (now - last_usage_ >= kUsagePeriod) SampleUsage(now);
}

void target::AdvanceTasks(core::mono_time now) {
  // Leases are checked first: after a pause, no task may finish whose lease expired meanwhile.
  struct ending {
    std::string id;
    std::string_view type;
    std::string_view truth;
    std::string_view reason;
    core::mono_time at;
  };
  std::vector<ending> endings;
  for (auto& [id, run] : running_) {
    const core::mono_time end = std::min(now, run.lease_until);
    const core::nanoseconds step =
        std::min<core::nanoseconds>(end - std::max(advanced_to_, run.started), kMaxStep);
    const double speed = run.state == run_state::throttled ? kThrottledSpeed : 1.0;
    const double gain = std::max(0.0, Milliseconds(step)) * speed * Speed(run.task_class, &run);
    run.progress_ms = std::min(run.work_ms, run.progress_ms + gain);
    if (now >= run.lease_until) {
      endings.push_back({id, "lapsed", "task_stop", "lapse", run.lease_until});
    } else if (run.must_fail) {
      endings.push_back({id, "failed", "task_fail", "", now});
    } else if (run.progress_ms >= run.work_ms) {
      endings.push_back({id, "finished", "task_finish", "", now});
    }
  }
  for (const ending& each : endings) {
    EndTask(each.id, each.type, each.truth, each.reason, each.at);
  }
}

void target::AdvanceRequests(core::mono_time now) {
  const double step = Milliseconds(std::min<core::nanoseconds>(now - advanced_to_, kMaxStep));
  std::vector<service_request> finished;
  std::vector<service_request> rest;
  for (service_request& item : serving_) {
    item.remaining_ms -= step * Speed(item.service, nullptr);
    (item.remaining_ms <= 0 ? finished : rest).push_back(std::move(item));
  }
  serving_ = std::move(rest);
  for (service_request& item : finished) FinishRequest(item);
  StartQueued(now);
}

void target::EndTask(const std::string& id, std::string_view event_type,
                     std::string_view truth_event, std::string_view reason, core::mono_time at) {
  auto node = running_.extract(id);
  task_run run = std::move(node.mapped());
  run.state = run_state::ended;
  if (truth_event == "task_stop") run.checkpoint = CheckpointOf(run.progress_ms);
  TaskTruth(truth_event, run, reason, at);
  if (!event_type.empty()) {
    const std::string result = event_type == "finished"
                                   ? fmt::format("task={} payload={}", id, run.payload)
                                   : (event_type == "failed" ? "task failed" : "");
    AddEvent({.at = at,
              .body = Members({{"type", event_type},
                               {"task", id},
                               {"epoch", run.epoch},
                               {"result", absl::Base64Escape(result)},
                               {"checkpoint", absl::Base64Escape(run.checkpoint)},
                               {"run_ms", core::ToMs(at - run.started)},
                               {"observed", ToJson(run.used)}})});
  }
  run.payload.clear();
  ended_.push_back(std::move(run));
  if (ended_.size() > kKeptTerminalEvents) ended_.pop_front();
}

void target::SampleUsage(core::mono_time now) {
  last_usage_ = now;
  json samples = json::array();
  const auto add = [&samples](const std::string& work_class, const std::string& task,
                              const core::resources& used, double speed) {
    json sample = ToJson(used);
    sample["task_class"] = work_class;
    sample["task"] = task;
    sample["slowdown_permille"] = std::lround(1000 / speed);
    samples.push_back(std::move(sample));
  };
  for (const auto& [id, run] : running_) {
    add(run.task_class, id, run.used, Speed(run.task_class, &run));
  }
  for (const std::string& service : options_.services) {
    const double load = LoadOf(service, nullptr);
    const auto cpu = static_cast<double>(options_.capacity.cpu_millis) * load;
    if (load > 0) add(service, "", {std::lround(cpu), 0, 0}, Speed(service, nullptr));
  }
  if (samples.empty()) return;
  delayed_usage_.push_back({.is_usage = true,
                            .at = now,
                            .body = Members({{"type", "usage"}, {"samples", std::move(samples)}})});
}

void target::AddEvent(event item) {
  const bool is_usage = item.is_usage;
  item.id = next_event_++;
  if (!is_usage) last_terminal_event_ = item.id;
  events_.push_back(std::move(item));
  const std::size_t limit = is_usage ? kKeptUsageEvents : kKeptTerminalEvents;
  const auto same = [is_usage](const event& each) { return each.is_usage == is_usage; };
  if (static_cast<std::size_t>(std::count_if(events_.begin(), events_.end(), same)) > limit) {
    events_.erase(std::find_if(events_.begin(), events_.end(), same));
  }
}

void target::HandleEvents(const http::request& received, responder respond) {
  const std::uint64_t since = Number(received, "since");
  acknowledged_ = std::max(acknowledged_, since);
  const core::milliseconds timeout{static_cast<std::int64_t>(Number(received, "timeout_ms"))};
  polls_.push_back({since, time_.Now() + timeout, std::move(respond)});
}

std::string target::EventsSince(std::uint64_t since) const {
  const core::mono_time now = time_.Now();
  std::uint64_t next = std::min(since, next_event_ - 1);
  std::string list;
  for (const event& each : events_) {
    if (each.id <= since) continue;
    next = std::max(next, each.id);
    list += fmt::format(R"({}{{"id":{},"age_ms":{},{}}})", list.empty() ? "" : ",", each.id,
                        core::ToMs(now - each.at), each.body);
  }
  return fmt::format(R"({{"instance":"{}","next":{},"events":[{}]}})", options_.instance, next,
                     list);
}

void target::AnswerDuePolls() {
  const core::mono_time now = time_.Now();
  // A usage event gets its id after the delay, so that a reader that has seen later ids does not
  // miss it.
  const core::milliseconds delay{faults_.usage_delay_ms};
  while (!delayed_usage_.empty() && delayed_usage_.front().at + delay <= now) {
    AddEvent(std::move(delayed_usage_.front()));
    delayed_usage_.pop_front();
  }
  std::vector<event_poll> rest;
  std::vector<event_poll> due;
  for (event_poll& poll : polls_) {
    const bool answer = poll.expires <= now || poll.since >= next_event_ ||
                        (!events_.empty() && events_.back().id > poll.since);
    (answer ? due : rest).push_back(std::move(poll));
  }
  polls_ = std::move(rest);
  for (event_poll& poll : due) {
    poll.respond(http::JsonResponse(kOk, EventsSince(poll.since)));
  }
}

void target::AnswerAllPolls() {
  for (event_poll& poll : std::exchange(polls_, {})) {
    poll.respond(http::JsonResponse(kOk, EventsSince(poll.since)));
  }
}

double target::LoadOf(const std::string& work_class, const task_run* self) const {
  double cpu = 0;
  for (const auto& [id, run] : running_) {
    if (&run == self || run.task_class != work_class) continue;
    const double share = run.state == run_state::throttled ? kThrottledSpeed : 1.0;
    cpu += static_cast<double>(run.used.cpu_millis) * share;
  }
  const auto total = static_cast<double>(std::max<std::int64_t>(1, options_.capacity.cpu_millis));
  const auto requests =
      static_cast<double>(std::count_if(serving_.begin(), serving_.end(), [&](const auto& item) {
        return item.service == work_class;
      }));
  return cpu / total + requests / static_cast<double>(std::max<std::size_t>(1, options_.slots));
}

double target::Speed(const std::string& work_class, const task_run* self) const {
  double slowdown = 1;
  for (const interference_rule& rule : options_.interference) {
    if (rule.victim != work_class) continue;
    slowdown += static_cast<double>(rule.permille) / 1000 * LoadOf(rule.aggressor, self);
  }
  return 1 / (slowdown * faults_.slow_factor);
}

core::resources target::Committed() const {
  core::resources sum;
  for (const auto& [id, run] : running_) sum += run.need;
  return sum;
}

void target::TaskTruth(std::string_view name, const task_run& run, std::string_view reason,
                       core::mono_time at) {
  json line{{"wall_ms", time_.WallNow().time_since_epoch().count()},
            {"mono_ns", at.time_since_epoch().count()},
            {"worker", options_.id},
            {"instance", options_.instance},
            {"event", name},
            {"task", run.id},
            {"epoch", run.epoch},
            {"progress", static_cast<std::int64_t>(run.progress_ms)},
            {"resources", ToJson(run.need)},
            {"committed", ToJson(Committed())},
            {"requests", serving_.size()}};
  if (!reason.empty()) line["reason"] = reason;
  if (!run.key.empty()) line["key"] = run.key;
  truth_(line.dump());
}

void target::RequestTruth(std::string_view name, const service_request& item) {
  json line{{"wall_ms", time_.WallNow().time_since_epoch().count()},
            {"mono_ns", time_.Now().time_since_epoch().count()},
            {"worker", options_.id},
            {"instance", options_.instance},
            {"event", name},
            {"service", item.service},
            {"request", item.id},
            {"digest", core::StableHash(item.body)},
            {"committed", ToJson(Committed())},
            {"requests", serving_.size()}};
  if (!item.key.empty()) line["key"] = item.key;
  truth_(line.dump());
}

}  // namespace coltsfoot::fakes

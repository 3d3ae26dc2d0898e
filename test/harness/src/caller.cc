#include "harness/caller.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/ids.h"

namespace coltsfoot::harness {
namespace {

using nlohmann::json;

// Separates the echoed body from the rest of an answer, as in test/fakes/src/target.h.
constexpr std::string_view kAnswerMark = "#answered-by=";
constexpr core::milliseconds kPollPause{50};
constexpr core::milliseconds kTaskWait{500};
// An entry may delay an answer for seconds while a shard changes its owner. A shorter limit leaves
// time to try again within the bounds of the tests.
constexpr core::milliseconds kTaskAnswerLimit{1000};

core::result_code CodeFrom(const std::string& text) {
  std::uint16_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return static_cast<core::result_code>(number);
}

json Outcome(const std::string& op, const std::string& key, const outcome& observed) {
  return {{"op", op}, {"key", key}, {"code", static_cast<int>(observed.code)}};
}

std::string Members(const json& object) {
  const std::string text = object.dump();
  return text.substr(1, text.size() - 2);
}

// Describes an answer: whether its end has arrived, and the digest of the echoed request body.
json AnswerMembers(const std::string& answer) {
  const std::size_t mark = answer.rfind(kAnswerMark);
  const bool whole = mark != std::string::npos && answer.ends_with(';');
  return {{"answer_whole", whole}, {"answer_digest", core::StableHash(answer.substr(0, mark))}};
}

}  // namespace

void history_log::Add(const std::string& event, const std::string& members) {
  const core::system_clock time;
  const std::string line =
      fmt::format(R"({{"wall_ms":{},"mono_ns":{},"event":"{}"{}{}}})",
                  time.WallNow().time_since_epoch().count(), time.Now().time_since_epoch().count(),
                  event, members.empty() ? "" : ",", members);
  const std::lock_guard lock(mutex_);
  out_ << line << "\n" << std::flush;
}

outcome OutcomeOf(const http::call_result& result) {
  if (!result.answer) return {result.reason.code, 0, result.reason.message};
  const auto code = result.answer->FindHeader("X-Result-Code");
  const bool good = result.answer->status < 300;
  const auto fallback = good ? core::result_code::ok : core::result_code::internal_error;
  return {code ? CodeFrom(*code) : fallback, result.answer->status, result.answer->body};
}

caller::caller(history_log& history) : history_(history), client_(http::MakeCurlClient()) {}

std::future<outcome> caller::Request(const std::string& entry, const std::string& service,
                                     const std::string& key, const request_options& options) {
  const std::string body = "key=" + key + ";" + std::string(options.padding, 'x');
  http::call call{.method = "POST",
                  .url = entry + "/v1/services/" + service + "/requests",
                  .headers = {{"X-Deadline-Ms", std::to_string(options.deadline.count())},
                              {"X-Team", options.team}},
                  .body = body,
                  .timeout = options.timeout};
  if (!options.idempotent) {
    call.headers["X-Idempotent"] = "false";
    call.headers["Idempotency-Key"] = key;
  }
  history_.Add("invoke", Members({{"op", "request"},
                                  {"key", key},
                                  {"idempotent", options.idempotent},
                                  {"digest", core::StableHash(body)}}));
  auto promise = std::make_shared<std::promise<outcome>>();
  auto future = promise->get_future();
  client_->Send(std::move(call), [this, promise, key](const http::call_result& result) {
    outcome observed = OutcomeOf(result);
    json members = Outcome("request", key, observed);
    if (observed.ok()) members.update(AnswerMembers(observed.body));
    history_.Add("outcome", Members(members));
    promise->set_value(std::move(observed));
  });
  return future;
}

std::optional<std::string> caller::Submit(const std::string& entry, const task_spec& spec,
                                          outcome* observed) {
  const json payload = {{"key", spec.key}, {"work_ms", spec.work_ms}, {"fail", spec.fail}};
  const json body = {{"team", spec.team},
                     {"task_class", spec.task_class},
                     {"kind", spec.kind},
                     {"urgent", spec.urgent},
                     {"resources",
                      {{"cpu_millis", spec.cpu_millis},
                       {"memory_mb", spec.memory_mb},
                       {"accelerators", spec.accelerators}}},
                     {"expected_ms", spec.expected_ms},
                     {"payload", payload.dump()}};
  history_.Add("invoke", Members({{"op", "task"}, {"key", spec.key}, {"idempotent", false}}));
  const outcome result =
      OutcomeOf(Call("POST", entry + "/v1/tasks", body.dump(), {{"Idempotency-Key", spec.key}}));
  if (observed != nullptr) *observed = result;
  std::optional<std::string> id;
  json members = Outcome("task", spec.key, result);
  const json answer = json::parse(result.body, nullptr, false);
  if (result.ok() && answer.is_object()) {
    id = answer.value("task", "");
    members["task"] = *id;
  }
  history_.Add("outcome", Members(members));
  return id;
}

task_view caller::Task(const std::string& entry, const std::string& id, core::milliseconds wait) {
  const auto result = Call("GET", fmt::format("{}/v1/tasks/{}?wait_ms={}", entry, id, wait.count()),
                           "", {}, wait + kTaskAnswerLimit);
  if (!result.answer || result.answer->status != 200) return {};
  const json body = json::parse(result.answer->body, nullptr, false);
  if (!body.is_object()) return {};
  task_view view;
  view.state = body.value("state", "");
  view.code = static_cast<core::result_code>(body.value("code", 0));
  view.epoch = body.value("epoch", std::uint64_t{0});
  view.worker = body.value("worker", "");
  view.evictions = body.value("evictions", std::int64_t{0});
  view.result = body.value("result", "");
  if (view.state == "ended") {
    history_.Add("task_ended", Members({{"task", id}, {"code", static_cast<int>(view.code)}}));
  }
  return view;
}

task_view caller::WaitForEnd(const std::vector<std::string>& entries, const std::string& id,
                             core::milliseconds bound) {
  task_view view;
  std::size_t turn = 0;
  WaitUntil(bound, [&] {
    task_view next = Task(entries[turn++ % entries.size()], id, kTaskWait);
    if (!next.state.empty()) view = std::move(next);
    return view.state == "ended";
  });
  return view;
}

task_view caller::WaitForRun(const std::vector<std::string>& entries, const std::string& id,
                             std::uint64_t epoch, core::milliseconds bound) {
  task_view view;
  std::size_t turn = 0;
  WaitUntil(bound, [&] {
    task_view next = Task(entries[turn++ % entries.size()], id);
    if (!next.state.empty()) view = std::move(next);
    if (view.state == "ended" || (view.state == "running" && view.epoch > epoch)) return true;
    std::this_thread::sleep_for(kPollPause);
    return false;
  });
  return view;
}

http::call_result caller::Call(const std::string& method, const std::string& url,
                               const std::string& body, const http::header_map& headers,
                               core::milliseconds timeout) {
  return http::CallAndWait(
      *client_,
      {.method = method, .url = url, .headers = headers, .body = body, .timeout = timeout});
}

}  // namespace coltsfoot::harness

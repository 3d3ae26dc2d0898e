#include "agent/http_target_client.h"

#include <fmt/format.h>

#include <asio/post.hpp>
#include <utility>

#include "core/ids.h"
#include "target_json.h"
#include "wire/frame.h"

namespace coltsfoot::agent {
namespace {

using core::result_code;

constexpr core::milliseconds kCallTimeout{5000};
constexpr core::milliseconds kPollSlack{5000};
// Limits on answers of the target. Parsed JSON may take 30 times the size of its text. The body of
// an answer to a request is sent on in one frame.
constexpr std::size_t kMaxJsonAnswerBytes = 2U << 20U;
constexpr std::size_t kMaxServiceAnswerBytes = wire::kMaxFrameBytes;

std::string_view NameOf(target_action action) {
  switch (action) {
    case target_action::checkpoint:
      return "checkpoint";
    case target_action::throttle:
      return "throttle";
    case target_action::unthrottle:
      return "unthrottle";
    case target_action::stop:
      return "stop";
  }
  return "";
}

start_result ToStartResult(const http::call_result& result) {
  if (!result.answer) {
    const bool sent = result.reason.code != result_code::connect_failed;
    return {sent ? start_outcome::unknown : start_outcome::not_sent, result.reason.message};
  }
  const std::string reason = ParseReason(result.answer->body);
  switch (result.answer->status) {
    case 200:
      return {start_outcome::started, ""};
    case 409:
      return {start_outcome::epoch_known, reason};
    case 422:
      return {start_outcome::refused, reason};
    default:
      return {start_outcome::unknown, fmt::format("status {}", result.answer->status)};
  }
}

control_result ToControlResult(const http::call_result& result) {
  if (!result.answer) return {control_outcome::failed, ""};
  if (result.answer->status == 404) return {control_outcome::not_running, ""};
  if (result.answer->status != 200) return {control_outcome::failed, ""};
  core::last_error error;
  // The action took effect even if its checkpoint cannot be parsed.
  return {control_outcome::done, ParseCheckpoint(result.answer->body, error).value_or("")};
}

service_answer ToServiceAnswer(http::call_result result) {
  if (!result.answer) return {result.reason.code, std::move(result.reason.message), ""};
  http::response& answer = *result.answer;
  if (answer.status == 503) return {result_code::no_capacity, "the target refused the request", ""};
  if (answer.status != 200) {
    return {result_code::target_error,
            fmt::format("the target answered with status {}", answer.status),
            std::move(answer.body)};
  }
  if (answer.FindHeader("X-Digest") != std::to_string(core::StableHash(answer.body))) {
    return {result_code::answer_truncated, "the X-Digest header does not match the response body",
            ""};
  }
  return {result_code::ok, "", std::move(answer.body)};
}

class http_target_client final : public target_client {
 public:
  http_target_client(http::client& via, asio::io_context& control) : via_(via), control_(control) {}

  void SetTarget(const wire::endpoint& address) override {
    const bool is_v6 = address.ip.find(':') != std::string::npos;
    base_ = is_v6 ? fmt::format("http://[{}]:{}", address.ip, address.port)
                  : fmt::format("http://{}:{}", address.ip, address.port);
  }

  void Start(const task_spec& task, std::function<void(start_result)> done) override {
    http::call call = Post("/tasks", StartBody(task));
    // The target answers a repeated start with 409 (epoch known). If the HTTP client sent the call
    // twice, that answer would be taken as proof that the task does not run.
    call.at_most_once = true;
    Call(std::move(call), ToStartResult, std::move(done));
  }

  void List(std::function<void(std::optional<task_listing>)> done) override {
    Call(
        {.method = "GET",
         .url = base_ + "/tasks",
         .timeout = kCallTimeout,
         .body_limit = kMaxJsonAnswerBytes},
        [](const http::call_result& result) -> std::optional<task_listing> {
          if (!result.answer || result.answer->status != 200) return std::nullopt;
          core::last_error error;
          return ParseListing(result.answer->body, error);
        },
        std::move(done));
  }

  void Control(const std::string& task, core::epoch_number epoch, target_action action,
               std::function<void(control_result)> done) override {
    Call(Post(fmt::format("/tasks/{}/{}?epoch={}", http::UrlEncode(task), NameOf(action), epoch),
              ""),
         ToControlResult, std::move(done));
  }

  void PushLeases(const std::vector<lease_deadline>& leases,
                  std::function<void(bool)> done) override {
    Call(
        Post("/leases", LeasesBody(leases)),
        [](const http::call_result& result) {
          return result.answer && result.answer->status == 200;
        },
        std::move(done));
  }

  void PollEvents(std::uint64_t since, core::milliseconds timeout,
                  std::function<void(std::optional<event_batch>)> done) override {
    Call(
        {.method = "GET",
         .url = fmt::format("{}/events?since={}&timeout_ms={}", base_, since, timeout.count()),
         .timeout = timeout + kPollSlack,
         .body_limit = kMaxJsonAnswerBytes},
        [](const http::call_result& result) -> std::optional<event_batch> {
          if (!result.answer || result.answer->status != 200) return std::nullopt;
          core::last_error error;
          return ParseEvents(result.answer->body, error);
        },
        std::move(done));
  }

  void Run(const service_request& request, std::function<void(service_answer)> done) override {
    http::call call = Post("/requests/" + http::UrlEncode(request.service), request.body);
    call.headers = {{"X-Request-Id", request.id},
                    {"X-Team", request.team},
                    {"X-Deadline-Ms", std::to_string(request.time_left.count())},
                    {"Content-Type", "application/octet-stream"}};
    call.timeout = request.timeout;
    call.body_limit = kMaxServiceAnswerBytes;
    call.at_most_once = !request.idempotent;
    Call(std::move(call), ToServiceAnswer, std::move(done));
  }

 private:
  http::call Post(const std::string& path, std::string body) const {
    return {.method = "POST",
            .url = base_ + path,
            .headers = {{"Content-Type", "application/json"}},
            .body = std::move(body),
            .timeout = kCallTimeout,
            .body_limit = kMaxJsonAnswerBytes};
  }

  template <class Parse, class Done>
  void Call(http::call call, Parse parse, Done done) {
    // Does not capture `this`: calls may end after the client is destroyed.
    via_.Send(std::move(call),
              [&control = control_, parse, done = std::move(done)](http::call_result result) {
                asio::post(control, [done, value = parse(std::move(result))] { done(value); });
              });
  }

  http::client& via_;
  asio::io_context& control_;
  std::string base_;
};

}  // namespace

std::unique_ptr<target_client> MakeHttpTargetClient(http::client& via, asio::io_context& control) {
  return std::make_unique<http_target_client>(via, control);
}

}  // namespace coltsfoot::agent

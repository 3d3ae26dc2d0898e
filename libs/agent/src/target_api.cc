#include "agent/target_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "target_json.h"
#include "wire/transport.h"

namespace coltsfoot::agent {
namespace {

using core::result_code;

http::response ErrorResponse(const core::error_reason& reason) {
  const auto number = static_cast<int>(reason.code);
  const bool not_run = core::IsNotRun(reason.code);
  http::response out =
      http::JsonResponse(core::HttpStatus(reason.code),
                         nlohmann::json{{"code", number},
                                        {"name", core::ToString(reason.code)},
                                        {"reason", reason.message},
                                        {"not_run", not_run}}
                             .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  out.headers["X-Result-Code"] = std::to_string(number);
  out.headers["X-Not-Run"] = not_run ? "true" : "false";
  return out;
}

http::response Announce(const target_api_handlers& handlers, const std::string& body) {
  core::last_error error;
  auto announcement = ParseAnnouncement(body, error);
  if (!announcement) return ErrorResponse(error.reason());
  handlers.on_announce(std::move(*announcement));
  return http::JsonResponse(200, "{}");
}

http::response Goodbye(const target_api_handlers& handlers, const std::string& body) {
  core::last_error error;
  auto instance = ParseGoodbye(body, error);
  if (!instance) return ErrorResponse(error.reason());
  handlers.on_goodbye(std::move(*instance));
  return http::JsonResponse(200, "{}");
}

http::response Route(const target_api_handlers& handlers, const metrics::registry& metrics,
                     const http::request& received) {
  const bool posts = received.path == "/v1/announce" || received.path == "/v1/goodbye";
  const bool gets = received.path == "/healthz" || received.path == "/metrics";
  if (!posts && !gets) return ErrorResponse({result_code::not_found, "no such path"});
  if (received.method != (posts ? "POST" : "GET")) {
    return ErrorResponse({result_code::method_not_allowed, posts ? "use POST" : "use GET"});
  }
  if (received.path == "/v1/announce") return Announce(handlers, received.body);
  if (received.path == "/v1/goodbye") return Goodbye(handlers, received.body);
  if (received.path == "/healthz") return http::JsonResponse(200, R"({"status":"ok"})");
  return {200,
          {{"Content-Type", "text/plain; version=0.0.4"}},
          metrics.Render() + wire::RenderTraffic()};
}

}  // namespace

http::request_handler MakeTargetApi(target_api_handlers handlers, metrics::registry& metrics) {
  return [handlers = std::move(handlers), &metrics](const http::request& received,
                                                    const http::responder& respond) {
    http::response answer = Route(handlers, metrics, received);
    const auto code = answer.FindHeader("X-Result-Code");
    if (code) metrics.GetCounter("coltsfoot_agent_api_errors_total", {"code", *code}).Add();
    respond(std::move(answer));
  };
}

}  // namespace coltsfoot::agent

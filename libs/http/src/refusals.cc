#include "refusals.h"

#include <spdlog/fmt/fmt.h>

#include <string>
#include <string_view>

#include "core/result_code.h"

namespace coltsfoot::http {
namespace {

response NotRun(int status, core::result_code code, std::string_view reason) {
  const auto number = static_cast<int>(code);
  response answer =
      JsonResponse(status, fmt::format(R"({{"code":{},"name":"{}","reason":"{}","not_run":true}})",
                                       number, core::ToString(code), reason));
  answer.headers["X-Result-Code"] = std::to_string(number);
  answer.headers["X-Not-Run"] = "true";
  return answer;
}

}  // namespace

response BodyTooLarge() {
  return NotRun(413, core::result_code::body_too_large, "the body exceeds the size limit");
}

response MalformedRequest() {
  return NotRun(400, core::result_code::malformed_request, "the request is not valid HTTP");
}

response Overloaded(const refusal& refused) {
  response answer = NotRun(503, core::result_code::overloaded,
                           "the process holds as many requests as it may; try again later");
  answer.headers["Retry-After"] = std::to_string(refused.retry_after.count());
  return answer;
}

}  // namespace coltsfoot::http

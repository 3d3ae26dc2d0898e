#include "api_error.h"

#include "json_text.h"

namespace coltsfoot::entry {

http::response ErrorResponse(core::result_code code, const std::string& reason) {
  const auto number = static_cast<unsigned>(code);
  const bool not_run = core::IsNotRun(code);
  const nlohmann::json body = {{"code", number},
                               {"name", std::string(core::ToString(code))},
                               {"reason", reason},
                               {"not_run", not_run}};
  http::response answer = http::JsonResponse(core::HttpStatus(code), Dump(body));
  answer.headers["X-Result-Code"] = std::to_string(number);
  answer.headers["X-Not-Run"] = not_run ? "true" : "false";
  return answer;
}

}  // namespace coltsfoot::entry

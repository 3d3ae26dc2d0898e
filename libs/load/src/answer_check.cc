#include "load/answer_check.h"

#include <fmt/format.h>

#include <charconv>

namespace coltsfoot::load {
namespace {

using core::result_code;

constexpr int kFirstErrorStatus = 400;

}  // namespace

std::string KeyOf(std::uint64_t seed, std::uint64_t number) {
  return fmt::format("load-{:x}-{}", seed, number);
}

std::string TokenOf(std::string_view key) { return fmt::format("key={};", key); }

std::string BodyOf(std::string_view key, std::size_t bytes) {
  std::string body = TokenOf(key);
  if (body.size() < bytes) body.resize(bytes, 'x');
  return body;
}

answer_verdict CheckAnswer(std::string_view key, const http::response& answer) {
  const auto digest = answer.FindHeader("X-Digest");
  if (digest && *digest != std::to_string(core::StableHash(answer.body))) {
    return answer_verdict::truncated;
  }
  const std::string token = TokenOf(key);
  if (answer.body.starts_with(token)) return answer_verdict::valid;
  const bool is_start = token.starts_with(answer.body);
  return is_start ? answer_verdict::truncated : answer_verdict::mismatched;
}

result_code CodeOf(const http::call_result& result) {
  if (!result.answer) return result.reason.code;
  const std::string header = result.answer->FindHeader("X-Result-Code").value_or("");
  std::uint16_t number = 0;
  const auto parsed = std::from_chars(header.data(), header.data() + header.size(), number);
  if (!header.empty() && parsed.ec == std::errc{}) return static_cast<result_code>(number);
  // An HTTP error without a result code comes from an intermediary such as a load balancer, so
  // whether the call ran is unknown.
  return result.answer->status < kFirstErrorStatus ? result_code::ok : result_code::outcome_unknown;
}

}  // namespace coltsfoot::load

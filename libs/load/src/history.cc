#include "load/history.h"

#include <fmt/format.h>

#include <ostream>

#include "core/ids.h"
#include "load/answer_check.h"

namespace coltsfoot::load {
namespace {

// The fake target echoes the request body and appends this mark and the name of its worker.
constexpr std::string_view kAnswerMark = "#answered-by=";

/// @return the part of an answer that echoes the request body.
std::string_view EchoedBody(std::string_view answer) {
  return answer.substr(0, answer.rfind(kAnswerMark));
}

std::string CodeFields(core::result_code code) {
  return fmt::format(R"(,"code":{},"name":"{}")", static_cast<unsigned>(code), ToString(code));
}

}  // namespace

void history::Invoke(std::string_view op, std::string_view key, bool idempotent,
                     std::string_view body, std::string_view entry) {
  Write("invoke", fmt::format(R"(,"op":"{}","key":"{}","idempotent":{},"digest":{},"entry":"{}")",
                              op, key, idempotent, core::StableHash(body), entry));
}

void history::RequestOutcome(std::string_view key, core::result_code code,
                             const http::response* answer) {
  std::string members = fmt::format(R"(,"op":"request","key":"{}")", key) + CodeFields(code);
  if (answer != nullptr) {
    members += fmt::format(R"(,"answer_whole":{},"answer_digest":{})",
                           CheckAnswer(key, *answer) != answer_verdict::truncated,
                           core::StableHash(EchoedBody(answer->body)));
  }
  Write("outcome", members);
}

void history::SubmitOutcome(std::string_view key, core::result_code code, std::string_view task) {
  std::string members = fmt::format(R"(,"op":"task","key":"{}")", key) + CodeFields(code);
  if (!task.empty()) members += fmt::format(R"(,"task":"{}")", task);
  Write("outcome", members);
}

void history::TaskEnded(std::string_view task, core::result_code code) {
  Write("task_ended", fmt::format(R"(,"task":"{}")", task) + CodeFields(code));
}

void history::Write(std::string_view event, const std::string& members) {
  if (out_ == nullptr) return;
  const std::lock_guard lock(mutex_);
  // The clocks are read under the lock, so that lines are in chronological order.
  *out_ << fmt::format(R"({{"wall_ms":{},"mono_ns":{},"event":"{}"{}}})",
                       time_.WallNow().time_since_epoch().count(),
                       time_.Now().time_since_epoch().count(), event, members)
        << '\n';
}

}  // namespace coltsfoot::load

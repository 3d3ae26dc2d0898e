#include "session.h"

#include <fmt/format.h>

#include <ostream>
#include <utility>

#include "config/json_format.h"
#include "core/ids.h"

namespace coltsfoot::ctl {

api_outcome session::Call(api_call call) {
  call.timeout = std::max(call.timeout, flags.timeout);
  return entries.Call(call);
}

api_outcome session::Get(const std::string& path) { return Call({.path = path}); }

exit_code session::Report(const api_outcome& outcome) {
  if (outcome.code == exit_code::ok) return outcome.code;
  if (flags.json && outcome.answer) env.out << outcome.answer->body << '\n';
  const std::string_view name = core::ToString(outcome.reason.code);
  const std::string& why = outcome.reason.message;
  switch (outcome.code) {
    case exit_code::cannot_connect:
      env.err << fmt::format("Cannot connect to any entry (last tried: {}). Nothing was sent.\n",
                             outcome.entry);
      break;
    case exit_code::unknown:
      env.err << fmt::format("Outcome unknown: {} ({}, {}). The call may have taken effect.\n", why,
                             name, outcome.entry);
      break;
    default:
      env.err << fmt::format("{}: {} (code {}, {})\n", name, why,
                             static_cast<unsigned>(outcome.reason.code), outcome.entry);
      break;
  }
  return outcome.code;
}

exit_code session::Usage(std::string_view problem) {
  env.err << problem << "\nSee coltsfootctl --help.\n";
  return exit_code::usage;
}

bool session::PrintAsJson(const api_outcome& outcome) {
  if (!flags.json || !outcome.answer) return false;
  env.out << outcome.answer->body << '\n';
  return true;
}

std::optional<config::fleet_config> session::ReadConfig(api_outcome& outcome, exit_code& code) {
  outcome = Get("/v1/config");
  if (outcome.code != exit_code::ok) {
    code = Report(outcome);
    return std::nullopt;
  }
  core::last_error error;
  auto parsed = config::ParseConfigAnswer(outcome.answer->body, error);
  if (!parsed) {
    env.err << "The entry's configuration cannot be read: " << error.reason().message << '\n';
    code = exit_code::failed;
  }
  return parsed;
}

std::string session::NewIdempotencyKey() {
  return core::ToHex(env.random.Next()) + core::ToHex(env.random.Next());
}

}  // namespace coltsfoot::ctl

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"
#include "ctl/entry_client.h"
#include "ctl/run.h"

namespace coltsfoot::ctl {

/// Context of one command: flags, arguments, entries and output streams.
class session {
 public:
  session(const options& flags, std::vector<std::string> arguments, environment& env)
      : flags(flags),
        arguments(std::move(arguments)),
        env(env),
        entries(env.client, flags.entries) {}

  const options& flags;
  const std::vector<std::string> arguments;  ///< without the command name
  environment& env;
  entry_client entries;

  /// Makes a call whose timeout is at least `--timeout_ms`.
  api_outcome Call(api_call call);
  /// Makes a GET call.
  api_outcome Get(const std::string& path);

  /// Prints the error of a failed call; prints nothing on success.
  /// @return the exit code of the outcome.
  exit_code Report(const api_outcome& outcome);
  /// Prints an error in the command line.
  /// @return exit_code::usage.
  exit_code Usage(std::string_view problem);
  /// Prints the unchanged body of an answer if `--json` is set.
  /// @return true if it was printed.
  bool PrintAsJson(const api_outcome& outcome);

  /// Reads the fleet configuration.
  /// @param code is set to the exit code if the result is empty.
  std::optional<config::fleet_config> ReadConfig(api_outcome& outcome, exit_code& code);

  /// @return random text for an idempotency key.
  std::string NewIdempotencyKey();
};

// Command handlers. Each returns the exit code of the program.
exit_code ConfigGet(session& ctx);
exit_code ConfigSet(session& ctx);
exit_code ConfigUnset(session& ctx);
exit_code ConfigStatus(session& ctx);
exit_code ConfigExplain(session& ctx);
exit_code ExceptionAdd(session& ctx);
exit_code ExceptionList(session& ctx);
exit_code ExceptionShow(session& ctx);
exit_code ExceptionChallenge(session& ctx);
exit_code ExceptionRemove(session& ctx);
exit_code TaskSubmit(session& ctx);
exit_code TaskGet(session& ctx);
exit_code TaskWatch(session& ctx);
exit_code TaskCancel(session& ctx);
exit_code TaskList(session& ctx);
exit_code TaskExplain(session& ctx);
exit_code Request(session& ctx);
exit_code Workers(session& ctx);
exit_code Drain(session& ctx);
exit_code Undrain(session& ctx);
exit_code WorkerLost(session& ctx);
exit_code Teams(session& ctx);
exit_code Status(session& ctx);

}  // namespace coltsfoot::ctl

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"
#include "ctl/entry_client.h"
#include "ctl/run.h"

namespace coltsfoot::ctl {

/// One run of one command: its flags, its arguments and where it prints.
class session {
 public:
  session(const options& flags, std::vector<std::string> arguments, environment& surroundings)
      : flags(flags),
        arguments(std::move(arguments)),
        around(surroundings),
        entries(surroundings.via, flags.entries) {}

  const options& flags;
  const std::vector<std::string> arguments;  ///< without the words of the command
  environment& around;
  entry_client entries;

  /// Makes a call with the timeout of the flags.
  api_outcome Call(api_call call);
  /// Makes a read.
  api_outcome Get(const std::string& path);

  /// Prints what went wrong.
  /// @return the exit code of the outcome.
  exit_code Report(const api_outcome& outcome);
  /// Prints a mistake in the command line.
  exit_code Usage(std::string_view mistake);
  /// Prints an answer as it is if `--json` is given.
  /// @return true if it did.
  bool PrintedJson(const api_outcome& outcome);

  /// Reads the fleet configuration.
  /// @param code is set to the exit code if the result is empty.
  std::optional<config::fleet_config> ReadConfig(api_outcome& outcome, exit_code& code);

  /// @return random text for an idempotency key.
  std::string NewKey();
};

// Commands. Each returns the exit code of the program.
exit_code ConfigGet(session& run);
exit_code ConfigSet(session& run);
exit_code ConfigUnset(session& run);
exit_code ConfigStatus(session& run);
exit_code ConfigExplain(session& run);
exit_code ExceptionAdd(session& run);
exit_code ExceptionList(session& run);
exit_code ExceptionShow(session& run);
exit_code ExceptionChallenge(session& run);
exit_code ExceptionRemove(session& run);
exit_code TaskSubmit(session& run);
exit_code TaskGet(session& run);
exit_code TaskWatch(session& run);
exit_code TaskCancel(session& run);
exit_code TaskList(session& run);
exit_code TaskExplain(session& run);
exit_code Request(session& run);
exit_code Workers(session& run);
exit_code Drain(session& run);
exit_code Undrain(session& run);
exit_code WorkerLost(session& run);
exit_code Teams(session& run);
exit_code Status(session& run);

}  // namespace coltsfoot::ctl

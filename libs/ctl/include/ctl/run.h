#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"
#include "ctl/exit_code.h"
#include "http/client.h"

namespace coltsfoot::ctl {

/// Flags of coltsfootctl.
struct options {
  std::vector<std::string> entries;
  bool json = false;  ///< print the JSON answers of the API in place of tables
  std::string author;
  core::milliseconds timeout{10'000};

  std::string reason;
  std::vector<std::string> scopes;  ///< "worker:w1", "team:mills", ...
  std::string id;
  std::int64_t if_version = -1;  ///< negative: the change is not conditional on a version

  std::string team;
  std::string task_class;
  std::string kind = "batch";
  bool urgent = false;
  std::int64_t cpu_millis = 1000;
  std::int64_t memory_mb = 512;
  std::int64_t accelerators = 0;
  std::int64_t expected_ms = 0;
  std::string payload;
  std::string key;
  std::string state;
  std::int64_t limit = 100;
  core::milliseconds wait{3'600'000};  ///< maximum time that `task watch` waits

  std::string body;
  bool idempotent = true;
  std::int64_t deadline_ms = 0;  ///< 0: the default of the fleet
};

/// External dependencies of coltsfootctl, which tests replace.
struct environment {
  http::client& client;
  core::random_source& random;
  const core::clock& time;
  std::function<void(core::milliseconds)> sleep;
  std::ostream& out;
  std::ostream& err;
};

/// Runs one command and prints its result.
/// @param words the command and its arguments, for example {"config", "get"}.
exit_code Run(const options& flags, const std::vector<std::string>& words, environment env);

/// @return the text of `--help` without the list of flags.
std::string HelpText();

}  // namespace coltsfoot::ctl

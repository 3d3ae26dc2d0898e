#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::load {

/// What to send. Rates are per second.
struct load_options {
  std::vector<std::string> entries;  ///< URLs, used in turn
  std::uint64_t seed = 1;
  core::milliseconds duration{10'000};
  std::uint64_t max_calls = 1'000'000;  ///< bound on requests and submissions together
  std::uint32_t max_in_flight = 2000;   ///< calls beyond are not sent, and counted
  core::milliseconds timeout{15'000};   ///< longest time to wait for an answer
  std::uint32_t retries = 0;  ///< further tries after a lost connection or an unknown outcome

  std::string service;
  double request_rate = 0;
  double non_idempotent_percent = 0;
  std::vector<std::string> teams = {"default"};  ///< drawn evenly
  std::int64_t deadline_ms = 0;                  ///< 0: the default of the fleet
  std::size_t body_bytes = 100;                  ///< at least as long as the token

  double task_rate = 0;
  std::string task_class = "load";
  std::string task_kind = "batch";
  std::vector<std::int64_t> task_cpu_millis = {1000};  ///< drawn evenly
  std::int64_t task_memory_mb = 100;
  std::vector<std::int64_t> task_expected_ms = {1000};  ///< drawn evenly
  /// Real run time of a task in percent of the declared one, drawn evenly.
  std::vector<std::int64_t> task_work_percent = {100};
  /// Processors that a task really uses in percent of its declared size, drawn evenly.
  std::vector<std::int64_t> task_use_percent = {100};
  core::milliseconds task_wait{60'000};  ///< longest time to wait for tasks after the last call

  bool operator==(const load_options&) const = default;
};

/// @return what is wrong with the options, one sentence each; empty if nothing is.
std::vector<std::string> CheckOptions(const load_options& options);

}  // namespace coltsfoot::load

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::load {

/// Options of a load run. Rates are per second.
struct load_options {
  std::vector<std::string> entries;  ///< URLs, used round-robin
  std::uint64_t seed = 1;
  core::milliseconds duration{10'000};
  std::uint64_t max_calls = 1'000'000;  ///< maximum number of requests and submissions
  std::uint32_t max_in_flight = 2000;   ///< calls above this are counted but not sent
  core::milliseconds timeout{15'000};   ///< maximum time to wait for an answer
  std::uint32_t retries = 0;            ///< after a lost connection or an unknown outcome

  std::string service;
  double request_rate = 0;
  double non_idempotent_percent = 0;
  std::vector<std::string> teams = {"default"};  ///< drawn uniformly
  std::int64_t deadline_ms = 0;                  ///< 0: the default of the fleet
  std::size_t body_bytes = 100;                  ///< at least as long as the token

  double task_rate = 0;
  std::string task_class = "load";
  std::string task_kind = "batch";
  std::vector<std::int64_t> task_cpu_millis = {1000};  ///< drawn uniformly
  std::int64_t task_memory_mb = 100;
  std::vector<std::int64_t> task_expected_ms = {1000};  ///< drawn uniformly
  /// Real run time of a task in percent of the declared one, drawn uniformly.
  std::vector<std::int64_t> task_work_percent = {100};
  /// CPU that a task really uses in percent of its declared size, drawn uniformly.
  std::vector<std::int64_t> task_use_percent = {100};
  core::milliseconds task_wait{60'000};  ///< maximum time to wait for tasks after the last answer

  bool operator==(const load_options&) const = default;
};

/// @return one error message per invalid option; empty if all are valid.
std::vector<std::string> ValidateOptions(const load_options& options);

}  // namespace coltsfoot::load

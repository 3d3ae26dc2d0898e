#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/resources.h"

namespace coltsfoot::history {

/// One line of a history.
struct record {
  std::int64_t at_ns = 0;
  std::string event;
  nlohmann::json members;

  std::string Text(const char* name) const { return members.value(name, ""); }
  std::int64_t Number(const char* name) const { return members.value(name, std::int64_t{0}); }
  std::uint64_t Unsigned(const char* name) const { return members.value(name, std::uint64_t{0}); }
  core::resources Amount(const char* name) const;
  bool IsTaskStart() const { return event == "task_start" || event == "task_resume"; }
  bool IsTaskEnd() const {
    return event == "task_stop" || event == "task_finish" || event == "task_fail";
  }
  bool IsStart() const { return IsTaskStart() || event == "request_start"; }
  bool EndsProcess() const { return event == "target_start" || event == "killed"; }
};

/// Records in the order of their times.
using record_list = std::vector<record>;
/// Receives one sentence per violation.
using report = std::function<void(std::string)>;

/// No worker runs more than its resources and slots.
void CheckOccupancy(const record_list& records, const report& found);
/// No task runs twice at a time or after its end; it resumes from a checkpoint; none is lost.
void CheckRuns(const record_list& records, bool strict_resume, const report& found);
/// The outcomes that callers saw agree with the work that ran.
void CheckCalls(const record_list& records, const report& found);
/// A departed target gets no new work after the bound.
void CheckDepartures(const record_list& records, std::int64_t bound_ns, const report& found);
/// Configuration versions never decrease, and accepted ones are in force within the bound.
void CheckConfig(const record_list& records, std::int64_t bound_ns, const report& found);

}  // namespace coltsfoot::history

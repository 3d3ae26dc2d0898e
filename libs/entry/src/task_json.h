#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "ledger/records.h"
#include "task_controller.h"

namespace coltsfoot::entry {

/// Parses the body of a task submission. Unknown fields, wrong types and values out of range are
/// errors. Does not set the task id and the submission time.
std::optional<ledger::task_spec> ParseTaskSpec(std::string_view json, core::last_error& error);

/// @return "queued", "assigned", "running" or "ended". `view.entry` must not be null.
std::string_view TaskStateName(const task_view& view);

/// @return the JSON view of a task. `view.entry` must not be null.
std::string RenderTask(const task_view& view);

}  // namespace coltsfoot::entry

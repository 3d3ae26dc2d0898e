#include "jobs/types.h"

#include <fmt/format.h>

#include "jobs/messages.h"

namespace coltsfoot::jobs {

const char* ToString(job_state state) noexcept {
  switch (state) {
    case job_state::queued:
      return "queued";
    case job_state::active:
      return "active";
    case job_state::complete:
      return "complete";
    case job_state::failed:
      return "failed";
    case job_state::cancelled:
      return "cancelled";
  }
  return "unknown";
}

const char* ToString(end_reason reason) noexcept {
  switch (reason) {
    case end_reason::done:
      return "done";
    case end_reason::failed:
      return "failed";
    case end_reason::stopped:
      return "stopped";
    case end_reason::lapsed:
      return "lapsed";
    case end_reason::broken:
      return "broken";
    case end_reason::alone:
      return "alone";
  }
  return "unknown";
}

const char* ToString(start_refusal reason) noexcept {
  switch (reason) {
    case start_refusal::stale_fence:
      return "stale_fence";
    case start_refusal::old_run:
      return "old_run";
    case start_refusal::late:
      return "late";
    case start_refusal::no_room:
      return "no_room";
    case start_refusal::unhealthy:
      return "unhealthy";
    case start_refusal::malformed:
      return "malformed";
    case start_refusal::not_sent:
      return "not_sent";
    case start_refusal::expired:
      return "expired";
  }
  return "unknown";
}

std::string ToString(const task_id& task) {
  return fmt::format("{}.{}.{}.{}", task.job, task.occurrence, task.step, task.index);
}

}  // namespace coltsfoot::jobs

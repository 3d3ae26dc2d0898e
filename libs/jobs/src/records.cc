#include "jobs/records.h"

#include <algorithm>

namespace coltsfoot::jobs {
namespace {

constexpr std::int64_t kMaxWallMs = 253'402'300'799'999;  // end of the year 9999

constexpr std::string_view kCrashSuffix = "/crashes";

std::string Join(std::string_view prefix, std::string_view name) {
  std::string key(prefix);
  key += name;
  return key;
}

}  // namespace

bool IsValid(const job_record& record, core::last_error& error) {
  const auto fail = [&error](const char* reason) {
    error.Set(core::result_code::decode_error, reason);
    return false;
  };
  if (record.accepted_wall_ms < 0 || record.accepted_wall_ms > kMaxWallMs) {
    return fail("time of acceptance out of range");
  }
  // Also refuses a value that is not a number.
  if (!(record.stretch >= 0 && record.stretch <= kMaxStretch)) return fail("stretch out of range");
  const job_spec& spec = record.spec;
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) return fail("step count out of range");
  for (std::size_t position = 0; position < spec.steps.size(); ++position) {
    const step_spec& step = spec.steps[position];
    if (step.count == 0 || step.count > kMaxTasksPerStep) return fail("task count out of range");
    for (const std::int64_t amount :
         {step.need.cpu_millis, step.need.memory_mb, step.need.accelerators}) {
      if (amount < 0 || amount > kMaxResourceAmount) return fail("resource request out of range");
    }
    const bool depends_on_later = std::any_of(step.after.begin(), step.after.end(),
                                              [&](auto earlier) { return earlier >= position; });
    if (depends_on_later) return fail("a step depends on a step that is not earlier");
  }
  return true;
}

std::string JobKey(std::string_view job) { return Join(kJobPrefix, job); }
std::string CancelKey(std::string_view job) { return Join(kCancelPrefix, job); }
std::string ProgressKey(std::string_view job) { return Join(kProgressPrefix, job); }
std::string CrashKey(std::string_view job) { return Join(kProgressPrefix, job) += kCrashSuffix; }
std::string AgentKey(std::string_view agent) { return Join(kAgentPrefix, agent); }
std::string EntryKey(std::string_view entry) { return Join(kEntryPrefix, entry); }

std::optional<std::string> JobOfCrashKey(std::string_view key) {
  if (!key.starts_with(kProgressPrefix) || !key.ends_with(kCrashSuffix)) return std::nullopt;
  key.remove_prefix(kProgressPrefix.size());
  key.remove_suffix(kCrashSuffix.size());
  return std::string(key);
}

std::optional<std::string> KeySuffix(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return std::nullopt;
  return std::string(key.substr(prefix.size()));
}

}  // namespace coltsfoot::jobs

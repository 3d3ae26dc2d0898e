#include "jobs/records.h"

namespace coltsfoot::jobs {
namespace {

std::string Join(std::string_view prefix, std::string_view name) {
  std::string key(prefix);
  key += name;
  return key;
}

}  // namespace

std::string JobKey(std::string_view job) { return Join(kJobPrefix, job); }
std::string CancelKey(std::string_view job) { return Join(kCancelPrefix, job); }
std::string ProgressKey(std::string_view job) { return Join(kProgressPrefix, job); }
std::string AgentKey(std::string_view agent) { return Join(kAgentPrefix, agent); }
std::string EntryKey(std::string_view entry) { return Join(kEntryPrefix, entry); }

std::optional<std::string> KeySuffix(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return std::nullopt;
  return std::string(key.substr(prefix.size()));
}

}  // namespace coltsfoot::jobs

#include "jobs/absence_register.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "jobs/records.h"
#include "wire/codec.h"

namespace coltsfoot::jobs {
namespace {

constexpr core::milliseconds kRetryDelay{150};

}  // namespace

struct absence_register::pending_write {
  std::set<std::string> agents;
};

absence_register::absence_register(const core::clock& time, metrics::registry& metrics,
                                   store::versioned_store& storage,
                                   std::function<void()> on_deposed)
    : time_(time), metrics_(metrics), storage_(storage), on_deposed_(std::move(on_deposed)) {}

absence_register::~absence_register() = default;

void absence_register::Reset(std::uint64_t term, const std::optional<store::kv_entry>& stored) {
  term_ = term;
  version_ = 0;
  stored_.clear();
  unconfirmed_.clear();
  in_flight_.reset();
  unreadable_ = false;
  in_doubt_ = false;
  retry_at_ = {};
  if (stored) Load(*stored);
  desired_ = stored_;
}

void absence_register::Load(const store::kv_entry& entry) {
  version_ = entry.version;
  stored_.clear();
  core::last_error error;
  const auto record = wire::DecodeValue<absent_record>(entry.value, error);
  unreadable_ = !record;
  if (!record) {
    spdlog::error("event=absences_unreadable reason=\"{}\"", error.reason().message);
    return;
  }
  stored_.insert(record->agents.begin(), record->agents.end());
}

bool absence_register::MayGrant(const std::string& agent) const {
  return !unreadable_ && !stored_.contains(agent) && !unconfirmed_.contains(agent);
}

void absence_register::Flush() {
  if (term_ == 0 || in_flight_ || time_.Now() < retry_at_) return;
  if (desired_ == stored_ && !in_doubt_ && !unreadable_) return;
  auto next = std::make_shared<pending_write>(pending_write{desired_});
  unconfirmed_.insert(desired_.begin(), desired_.end());
  store::transaction writes;
  writes.expect.push_back({std::string(kLeaderKey), term_});
  writes.expect.push_back({std::string(kAbsentKey), version_});
  writes.puts.push_back({std::string(kAbsentKey),
                         wire::EncodeValue(absent_record{{desired_.begin(), desired_.end()}}), 0});
  in_flight_ = next;
  storage_.Commit(std::move(writes), [this, next, alive = std::weak_ptr<int>(alive_)](
                                         const store::commit_result& result) {
    if (alive.expired() || in_flight_ != next) return;
    OnWritten(next, result);
  });
}

void absence_register::OnWritten(const std::shared_ptr<pending_write>& written,
                                 const store::commit_result& result) {
  in_flight_.reset();
  switch (result.status) {
    case store::kv_status::ok:
      spdlog::info("event=absences_stored term={} agents={} before={}", term_,
                   written->agents.size(), stored_.size());
      version_ = result.revision;
      stored_ = std::move(written->agents);
      unconfirmed_.clear();
      unreadable_ = false;
      in_doubt_ = false;
      return;
    case store::kv_status::conflict:
      // Only this coordinator writes the key, so an earlier write took effect whose answer was
      // lost.
      if (AdoptStored(result)) {
        unconfirmed_.clear();
        in_doubt_ = false;
      }
      return;
    case store::kv_status::unknown:
      in_doubt_ = true;
      break;
    default:
      if (!in_doubt_) unconfirmed_.clear();
      break;
  }
  retry_at_ = time_.Now() + kRetryDelay;
  metrics_.GetCounter("coltsfoot_absence_write_failures_total").Add();
  spdlog::warn("event=absence_write_failed term={} agents={} status={}", term_,
               written->agents.size(), static_cast<int>(result.status));
}

bool absence_register::AdoptStored(const store::commit_result& result) {
  const store::kv_entry* present = nullptr;
  bool still_leader = false;
  for (const store::kv_entry& entry : result.present) {
    if (entry.key == kLeaderKey) still_leader = entry.version == term_;
    if (entry.key == kAbsentKey) present = &entry;
  }
  if (!still_leader) {
    spdlog::warn("event=deposed term={} by=absence_write", term_);
    on_deposed_();
    return false;
  }
  if (present != nullptr) {
    Load(*present);
  } else {
    version_ = 0;
    stored_.clear();
    unreadable_ = false;
  }
  return true;
}

}  // namespace coltsfoot::jobs

#include "jobs/run_numbers.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <utility>

#include "jobs/records.h"
#include "wire/codec.h"

namespace coltsfoot::jobs {
namespace {

// Numbers reserved at a time. Each term uses up at least one reservation.
constexpr std::uint32_t kReservation = 1024;
// The next reservation is stored when fewer numbers than this are left.
constexpr std::uint32_t kMinLeft = 256;
// Assumed bound if the stored one cannot be read: far above what a fleet uses.
constexpr std::uint32_t kBoundIfUnreadable = kMaxRun / 2;
constexpr core::milliseconds kRetryDelay{150};

std::uint32_t AddUpToMax(std::uint64_t run, std::uint32_t count) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(run + count, kMaxRun));
}

}  // namespace

run_numbers::run_numbers(const core::clock& time, store::versioned_store& storage,
                         std::function<void()> on_deposed)
    : time_(time), storage_(storage), on_deposed_(std::move(on_deposed)) {}

void run_numbers::Reset(std::uint64_t term, const std::optional<store::kv_entry>& stored) {
  term_ = term;
  ++epoch_;
  version_ = 0;
  bound_ = 0;
  in_flight_ = false;
  retry_at_ = {};
  if (stored) Load(*stored);
  base_ = bound_;
  wanted_ = AddUpToMax(base_, kReservation);
}

void run_numbers::Load(const store::kv_entry& entry) {
  version_ = entry.version;
  core::last_error error;
  const auto record = wire::DecodeValue<run_bound_record>(entry.value, error);
  if (record) {
    bound_ = std::min(record->bound, kMaxRun);
    return;
  }
  spdlog::error("event=run_bound_unreadable reason=\"{}\"", error.reason().message);
  bound_ = std::max(bound_, kBoundIfUnreadable);
}

bool run_numbers::Reserve(std::uint64_t run) {
  if (run > kMaxRun) {
    if (!std::exchange(exhaustion_logged_, true)) {
      spdlog::error("event=run_number_out_of_range run={}", run);
    }
    return false;
  }
  if (AddUpToMax(run, kMinLeft) > wanted_) wanted_ = AddUpToMax(run, kReservation);
  return run <= bound_;
}

void run_numbers::Flush() {
  if (term_ == 0 || in_flight_ || bound_ >= wanted_ || time_.Now() < retry_at_) return;
  in_flight_ = true;
  store::transaction writes;
  writes.expect.push_back({std::string(kLeaderKey), term_});
  writes.expect.push_back({std::string(kRunBoundKey), version_});
  writes.puts.push_back(
      {std::string(kRunBoundKey), wire::EncodeValue(run_bound_record{wanted_}), 0});
  storage_.Commit(std::move(writes),
                  [this, epoch = epoch_, bound = wanted_,
                   alive = std::weak_ptr<int>(alive_)](const store::commit_result& result) {
                    if (!alive.expired()) OnWritten(epoch, bound, result);
                  });
}

void run_numbers::OnWritten(std::uint64_t epoch, std::uint32_t bound,
                            const store::commit_result& result) {
  if (epoch != epoch_) return;
  in_flight_ = false;
  if (result.status == store::kv_status::ok) {
    spdlog::info("event=runs_reserved term={} bound={} before={}", term_, bound, bound_);
    version_ = result.revision;
    bound_ = bound;
    return;
  }
  if (result.status == store::kv_status::conflict) {
    AdoptStored(result);
    return;
  }
  // A write that took effect without an answer shows as a conflict of the next one.
  retry_at_ = time_.Now() + kRetryDelay;
  spdlog::warn("event=run_bound_write_failed term={} status={}", term_,
               static_cast<int>(result.status));
}

void run_numbers::AdoptStored(const store::commit_result& result) {
  const auto find = [&](std::string_view key) {
    return std::find_if(result.present.begin(), result.present.end(),
                        [&](const auto& entry) { return entry.key == key; });
  };
  const auto leader = find(kLeaderKey);
  if (leader == result.present.end() || leader->version != term_) {
    spdlog::warn("event=deposed term={} by=run_bound_write", term_);
    on_deposed_();
    return;
  }
  const auto present = find(kRunBoundKey);
  if (present != result.present.end()) {
    Load(*present);
  } else {
    version_ = 0;
  }
}

}  // namespace coltsfoot::jobs

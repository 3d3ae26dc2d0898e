#include "shard_ownership.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/codec.h"

namespace coltsfoot::ledger {
namespace {

// The shard's own batch in flight and one of another writer.
constexpr std::size_t kCheckedBatches = 2;

}  // namespace

shard_ownership::shard_ownership(const ledger_context& context, core::shard_index shard,
                                 ownership_host& host)
    : context_(context), shard_(shard), host_(host), scope_(context.health) {}

std::string shard_ownership::KeyValue(store::lease_id lease) const {
  // The process and its lease follow the entry's id, so that the key of an earlier process with
  // the same id, or of a lapsed lease, is not taken for the present one.
  return fmt::format("{} {}-{}", context_.options.entry, core::ToHex(context_.writer), lease);
}

bool shard_ownership::HoldsKey() const { return key_lease_ != 0 && key_lease_ == host_.Lease(); }

void shard_ownership::Tick() {
  const core::mono_time now = context_.time.Now();
  const bool due = !waiting_ && now >= next_try_;
  switch (phase_) {
    case ownership_phase::free:
      if (due && !closed_ && HoldsKey() && host_.LeaseHolds(now)) StartLoad();
      break;
    case ownership_phase::claiming:
      break;
    case ownership_phase::loading:
      if (due && !loader_) StartLoad();
      break;
    case ownership_phase::fencing:
      log_->Tick(HoldsKey() && host_.LeaseHolds(now));
      break;
    case ownership_phase::verifying:
      if (due) Verify();
      break;
    case ownership_phase::owned:
    case ownership_phase::handing_over:
      TickOwned(now);
      break;
    case ownership_phase::flushing:
      TickOwned(now);
      if (phase_ == ownership_phase::flushing) HandOver(now);
      break;
    case ownership_phase::deleting_key:
      if (due) DeleteKey();
      break;
  }
}

void shard_ownership::TickOwned(core::mono_time now) {
  const bool lease_holds = host_.LeaseHolds(now);
  if (!HoldsKey() && lease_holds && !waiting_ && now >= next_try_) AcquireKey();
  const bool may_write = HoldsKey() && lease_holds;
  if (may_write) snapshots_->Tick();
  log_->Tick(may_write);
}

void shard_ownership::Take() {
  if (phase_ != ownership_phase::free || closed_ || context_.time.Now() < next_try_) return;
  phase_ = ownership_phase::claiming;
  AcquireKey();
}

void shard_ownership::AcquireKey() {
  waiting_ = true;
  const store::lease_id lease = host_.Lease();
  const core::mono_time sent = context_.time.Now();
  context_.kv.Put(OwnerKey(shard_), KeyValue(lease), {.if_version = 0, .lease = lease},
                  scope_->Wrap([this, lease, sent](const store::write_result& result) {
                    waiting_ = false;
                    if (result.status == store::kv_status::ok) {
                      OnKeyHeld(lease, result.version, sent);
                    } else if (HadNoEffect(result.status)) {
                      OnKeyFailed();
                    } else {
                      // Taken, or created by an earlier write whose answer was lost.
                      CheckKey(lease);
                    }
                  }));
}

void shard_ownership::CheckKey(store::lease_id lease) {
  waiting_ = true;
  const core::mono_time sent = context_.time.Now();
  context_.kv.Get(OwnerKey(shard_),
                  scope_->Wrap([this, lease, sent](const store::get_result& result) {
                    waiting_ = false;
                    if (result.status != store::kv_status::ok) {
                      OnKeyFailed();
                    } else if (result.entry->value == KeyValue(lease)) {
                      OnKeyHeld(lease, result.entry->version, sent);
                    } else {
                      OnKeyTaken();
                    }
                  }));
}

void shard_ownership::OnKeyHeld(store::lease_id lease, store::key_version version,
                                core::mono_time sent) {
  if (phase_ != ownership_phase::claiming) return CheckLog(lease, version, sent);
  backoff_.Reset();
  key_lease_ = lease;
  key_version_ = version;
  confirmed_ = sent;
  StartLoad();
}

void shard_ownership::OnKeyTaken() {
  host_.OnOwnersChanged();
  if (phase_ != ownership_phase::claiming) return Lose(shard_loss::owner_taken);
  phase_ = ownership_phase::free;
  RetryLater();
}

void shard_ownership::OnKeyFailed() {
  if (phase_ == ownership_phase::claiming) phase_ = ownership_phase::free;
  CountRetry(context_, "ledger_owner", store::kv_status::refused);
  RetryLater();
}

void shard_ownership::CheckLog(store::lease_id lease, store::key_version version,
                               core::mono_time sent) {
  waiting_ = true;
  context_.kv.Range(
      LogPrefix(shard_), LogKey(shard_, log_->table().next_index() - 1), kCheckedBatches,
      scope_->Wrap([this, lease, version, sent](const store::range_result& result) {
        waiting_ = false;
        if (result.status != store::kv_status::ok) return OnKeyFailed();
        core::last_error error;
        for (const store::kv_entry& entry : result.entries) {
          const auto batch = wire::DecodeValue<log_batch>(entry.value, error);
          if (!batch || batch->token.writer != context_.writer) return Lose(shard_loss::fenced);
        }
        backoff_.Reset();
        key_lease_ = lease;
        key_version_ = version;
        confirmed_ = std::max(confirmed_, sent);
        spdlog::info("event=shard_retaken shard={} fence={}", shard_, log_->table().fence());
      }));
}

void shard_ownership::StartLoad() {
  phase_ = ownership_phase::loading;
  loader_ = std::make_unique<log_loader>(
      context_, shard_, [this](load_result result) { OnLoaded(std::move(result)); });
}

void shard_ownership::OnLoaded(load_result result) {
  const auto finished = std::move(loader_);
  auto& loaded = result.loaded;
  if (result.problem != load_problem_ && !result.problem.empty()) {
    spdlog::error("event=log_unusable shard={} reason=\"{}\"", shard_, result.problem);
  }
  load_problem_ = std::move(result.problem);
  if (!loaded) {
    RetryLater();
    return;
  }
  const auto released = loaded->table.release();
  since_.graceful = released || loaded->table.fence() == 0;
  since_.orphan_wait = context_.options.orphan_grace;
  if (released) since_.orphan_wait = core::milliseconds{released->orphan_wait_ms};
  if (loaded->table.fence() == 0) since_.orphan_wait = {};
  phase_ = ownership_phase::fencing;
  const core::fencing_token fence = loaded->table.fence() + 1;
  snapshots_ = std::make_unique<snapshot_writer>(context_, shard_, *loaded);
  log_ = std::make_unique<shard_log>(context_, shard_, std::move(loaded->table), fence, *this);
  record change = owner_changed{context_.options.entry, fence};
  const std::size_t bytes = wire::EncodeValue(change).size();
  log_->Append(std::move(change), bytes, [this](append_outcome outcome) {
    if (outcome != append_outcome::committed) return;
    phase_ = ownership_phase::verifying;
    next_try_ = {};
  });
}

void shard_ownership::Verify() {
  waiting_ = true;
  context_.kv.Get(OwnerKey(shard_), scope_->Wrap([this](const store::get_result& result) {
    waiting_ = false;
    OnVerified(result);
  }));
}

void shard_ownership::OnVerified(const store::get_result& result) {
  const bool answered =
      result.status == store::kv_status::ok || result.status == store::kv_status::not_found;
  if (!answered) {
    RetryLater();
    return;
  }
  if (!result.entry || result.entry->value != KeyValue(key_lease_)) {
    AbortTake();
    return;
  }
  backoff_.Reset();
  phase_ = ownership_phase::owned;
  announced_ = true;
  since_.since = context_.time.Now();
  host_.OnOwned(shard_);
}

void shard_ownership::Release() {
  if (phase_ == ownership_phase::owned) {
    phase_ = ownership_phase::flushing;
  } else if (phase_ < ownership_phase::owned) {
    AbortTake();
  }
}

void shard_ownership::Close() {
  closed_ = true;
  Release();
}

void shard_ownership::HandOver(core::mono_time now) {
  // A final record of unknown outcome stops the renewal of execution leases, so it is not sent
  // into an outage.
  const bool ready = host_.MayHandOver(shard_) && HoldsKey() && host_.LeaseHolds(now) &&
                     context_.health->reachable();
  if (!ready) return;
  // The record goes behind all that is queued. To wait for an empty queue instead would never end
  // while task events keep arriving.
  phase_ = ownership_phase::handing_over;
  const core::nanoseconds left = since_.since + since_.orphan_wait - now;
  // Rounded up: the next owner must not wait less than is left.
  const std::int64_t left_ms = left.count() > 0 ? core::ToMs(left) + 1 : 0;
  record change = owner_released{context_.options.entry, log_->table().fence(), left_ms};
  const std::size_t bytes = wire::EncodeValue(change).size();
  log_->Append(std::move(change), bytes, [this](append_outcome outcome) {
    if (outcome == append_outcome::committed) phase_ = ownership_phase::deleting_key;
  });
}

void shard_ownership::DeleteKey() {
  if (announced_) {
    announced_ = false;
    snapshots_.reset();
    log_.reset();
    host_.OnLost(shard_, shard_loss::released);
  }
  waiting_ = true;
  context_.kv.Delete(OwnerKey(shard_), key_version_,
                     scope_->Wrap([this](const store::write_result& result) {
                       waiting_ = false;
                       const bool gone = result.status == store::kv_status::ok ||
                                         result.status == store::kv_status::not_found ||
                                         result.status == store::kv_status::conflict;
                       if (gone) return FinishRelease();
                       RetryLater();
                     }));
}

void shard_ownership::FinishRelease() {
  backoff_.Reset();
  key_lease_ = 0;
  phase_ = ownership_phase::free;
  host_.OnOwnersChanged();
}

void shard_ownership::AbortTake() {
  DropCalls();
  loader_.reset();
  snapshots_.reset();
  log_.reset();
  // The key is gone or, during a shutdown, goes with the lease.
  key_lease_ = 0;
  phase_ = ownership_phase::free;
  RetryLater();
  host_.OnOwnersChanged();
}

void shard_ownership::Lose(shard_loss reason) {
  DropCalls();
  phase_ = ownership_phase::free;
  announced_ = false;
  snapshots_.reset();
  const auto lost = std::move(log_);
  if (reason == shard_loss::owner_taken) key_lease_ = 0;
  RetryLater();
  lost->Abandon();
  host_.OnLost(shard_, reason);
}

void shard_ownership::OnLeaseConfirmed(store::lease_id lease, core::mono_time sent) {
  if (key_lease_ == lease) confirmed_ = std::max(confirmed_, sent);
}

void shard_ownership::OnLeaseExpired() {
  key_lease_ = 0;
  if (phase_ == ownership_phase::free) return;
  if (phase_ < ownership_phase::owned) {
    AbortTake();
  } else {
    DropCalls();
    next_try_ = {};
    if (phase_ == ownership_phase::deleting_key && !announced_) FinishRelease();
  }
}

void shard_ownership::OnOwnerRead(const store::kv_entry* found, std::uint64_t revision,
                                  core::mono_time sent) {
  const bool ours = found != nullptr && found->value == KeyValue(host_.Lease());
  // A read from before the key was created says nothing about it.
  const bool is_news = revision >= key_version_;
  if (phase_ == ownership_phase::free) {
    if (key_lease_ != 0 && is_news && !ours) key_lease_ = 0;
    // Created by a write whose answer was lost; a released key has no higher version.
    if (key_lease_ == 0 && ours && found->version > key_version_) {
      key_lease_ = host_.Lease();
      key_version_ = found->version;
      confirmed_ = sent;
    }
    return;
  }
  const bool holds_shard = announced_ && phase_ != ownership_phase::deleting_key;
  if (!holds_shard || !is_news || ours) return;
  if (found == nullptr) {
    key_lease_ = 0;
  } else if (found->version > key_version_) {
    Lose(shard_loss::owner_taken);
  }
}

void shard_ownership::Append(record change, std::size_t bytes,
                             shard_manager::append_callback done) {
  log_->Append(std::move(change), bytes, std::move(done));
}

bool shard_ownership::MayAppend() const noexcept {
  return phase_ == ownership_phase::owned && !log_->suspect();
}

bool shard_ownership::AcceptsRecords() const noexcept {
  const bool owned = phase_ == ownership_phase::owned || phase_ == ownership_phase::flushing;
  return owned && !log_->suspect();
}

bool shard_ownership::MayGrant(core::mono_time now) const {
  if (!announced_ || !log_ || log_->suspect() || GraceIsOver(now)) return false;
  if (phase_ == ownership_phase::deleting_key) return false;
  // Once the final record may be in the log, the next owner need not wait for this one's leases.
  return phase_ != ownership_phase::handing_over || !log_->MaybeWritten();
}

bool shard_ownership::GraceIsOver(core::mono_time now) const {
  return now >= confirmed_ + context_.options.orphan_grace;
}

void shard_ownership::OnBatchCommitted() { snapshots_->OnBatch(log_->table()); }

void shard_ownership::OnLogTaken() {
  if (announced_) return Lose(shard_loss::fenced);
  // A late batch of the previous owner came first; read it and append behind it.
  snapshots_.reset();
  log_.reset();
  phase_ = ownership_phase::loading;
  RetryLater();
}

core::mono_time shard_ownership::TruncationHorizon() const {
  return confirmed_ + context_.options.store_lease_ttl + context_.options.truncate_delay;
}

void shard_ownership::RetryLater() {
  next_try_ = context_.time.Now() + backoff_.Next(context_.random);
}

void shard_ownership::DropCalls() {
  scope_.emplace(context_.health);
  waiting_ = false;
}

}  // namespace coltsfoot::ledger

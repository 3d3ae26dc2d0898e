#include "ledger/shard_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "kv_lease.h"
#include "ledger/keys.h"
#include "ledger_context.h"
#include "shard_ownership.h"
#include "watched_range.h"
#include "wire/codec.h"

namespace coltsfoot::ledger {
namespace {

/// @return the entry with the highest hash for the shard (rendezvous hashing): a change of the
/// list moves only the shards of the entry that came or went.
std::string PreferredEntry(core::shard_index shard, const std::vector<live_entry>& entries) {
  std::string best;
  std::uint64_t best_hash = 0;
  for (const live_entry& one : entries) {
    const std::uint64_t hash = core::StableHash(one.entry + "/" + std::to_string(shard));
    if (best.empty() || hash > best_hash) {
      best = one.entry;
      best_hash = hash;
    }
  }
  return best;
}

/// The value of `owner/<shard>` starts with the entry's id.
std::string EntryOfOwnerValue(const std::string& value) { return value.substr(0, value.find(' ')); }

bool IsReleasing(ownership_phase phase) { return phase > ownership_phase::owned; }

}  // namespace

std::string_view ToString(shard_loss reason) noexcept {
  switch (reason) {
    case shard_loss::released:
      return "released";
    case shard_loss::fenced:
      return "fenced";
    case shard_loss::owner_taken:
      return "owner_taken";
  }
  return "unknown";
}

class shard_manager::impl final : public kv_lease_listener,
                                  public watched_range_listener,
                                  public ownership_host {
 public:
  impl(ledger_options options, store::kv_client& kv, const core::clock& time,
       core::random_source& random, metrics::registry& metrics, shard_listener& listener)
      : options_(std::move(options)),
        metrics_(metrics),
        context_{options_,     kv, time, random, metrics_, std::make_shared<store_health>(),
                 random.Next()},
        listener_(listener),
        lease_(context_, *this),
        entries_range_(context_, kEntriesPrefix, *this),
        owners_range_(context_, kOwnersPrefix, *this),
        scope_(context_.health) {
    for (core::shard_index shard = 0; shard < options_.shard_count; ++shard) {
      shards_.push_back(std::make_unique<shard_ownership>(context_, shard, *this));
    }
  }

  void Tick();
  void Append(core::shard_index shard, record change, append_callback done);
  void Shutdown(std::function<void(bool)> done);
  const shard_ownership* Find(core::shard_index shard) const {
    return shard < shards_.size() && shards_[shard]->announced() ? shards_[shard].get() : nullptr;
  }
  const std::vector<std::unique_ptr<shard_ownership>>& shards() const { return shards_; }
  std::optional<shard_owner> OwnerOf(core::shard_index shard) const;
  const std::vector<live_entry>& entries() const { return entries_; }
  bool reachable() const { return context_.health->reachable(); }
  bool ready() const {
    return registered_lease_ != 0 && count_checked_ && entries_range_.known() &&
           owners_range_.known();
  }
  core::mono_time Now() const { return context_.time.Now(); }

  store::lease_id Lease() const override { return lease_.id(); }
  bool LeaseHolds(core::mono_time now) const override { return lease_.Holds(now); }
  void OnOwned(core::shard_index shard) override;
  void OnLost(core::shard_index shard, shard_loss reason) override;
  bool MayHandOver(core::shard_index shard) override { return listener_.MayHandOver(shard); }
  void OnOwnersChanged() override { owners_range_.Reread(); }
  void OnLeaseConfirmed(store::lease_id lease, core::mono_time sent) override;
  void OnLeaseExpired(store::lease_id lease) override;
  void OnRangeRead(std::string_view prefix, core::mono_time sent) override;

 private:
  void CheckShardCount(core::mono_time now);
  void CreateShardCount();
  void OnShardCount(const std::string& recorded);
  void Register(core::mono_time now);
  void Unregister(core::mono_time now);
  void OnEntriesRead();
  void OnOwnersRead(core::mono_time sent);
  void TakeFreeShards(core::mono_time now);
  void ReleaseMisplacedShard(core::mono_time now);
  void ProgressShutdown(core::mono_time now);
  bool IsRegistered() const;

  ledger_options options_;
  ledger_metrics metrics_;
  ledger_context context_;
  shard_listener& listener_;
  kv_lease lease_;
  watched_range entries_range_;
  watched_range owners_range_;
  std::vector<std::unique_ptr<shard_ownership>> shards_;
  std::vector<live_entry> entries_;
  std::vector<std::string> preferred_;               ///< preferred entry of each shard
  std::map<core::shard_index, std::string> owners_;  ///< entry that owns each shard, as last read
  std::map<std::string, std::string> known_values_;  ///< of live entries and of owners
  std::vector<std::function<void()>> deferred_;      ///< run by the next tick
  bool count_checked_ = false;
  bool count_differs_ = false;
  bool count_waiting_ = false;
  core::mono_time next_count_{};
  backoff count_backoff_;
  store::lease_id registered_lease_ = 0;  ///< lease under which `entries/<id>` was written
  bool register_waiting_ = false;
  core::mono_time next_register_{};
  backoff register_backoff_;
  core::mono_time take_not_before_{};
  core::mono_time release_not_before_{};
  bool unregistered_ = false;
  bool revoking_ = false;
  bool all_released_ = true;
  std::function<void(bool)> shutdown_done_;
  bool shutting_down_ = false;
  call_scope scope_;
};

void shard_manager::impl::Tick() {
  for (const auto& call : std::exchange(deferred_, {})) call();
  if (revoking_) return;
  lease_.Tick();
  const core::mono_time now = Now();
  CheckShardCount(now);
  if (shutting_down_) {
    Unregister(now);
  } else {
    Register(now);
  }
  entries_range_.Tick();
  owners_range_.Tick();
  for (const auto& shard : shards_) shard->Tick();
  if (shutting_down_) {
    ProgressShutdown(now);
  } else if (count_checked_ && IsRegistered() && owners_range_.known() && LeaseHolds(now)) {
    TakeFreeShards(now);
    ReleaseMisplacedShard(now);
  }
}

void shard_manager::impl::CheckShardCount(core::mono_time now) {
  if (count_checked_ || count_differs_ || count_waiting_ || now < next_count_) return;
  count_waiting_ = true;
  context_.kv.Get(std::string(kShardCountKey), scope_.Wrap([this](const store::get_result& result) {
    count_waiting_ = false;
    if (result.status == store::kv_status::ok) {
      OnShardCount(result.entry->value);
    } else if (result.status == store::kv_status::not_found) {
      CreateShardCount();
    } else {
      next_count_ = Now() + count_backoff_.Next(context_.random);
    }
  }));
}

void shard_manager::impl::CreateShardCount() {
  count_waiting_ = true;
  // Whatever the outcome, the next read decides: another entry may have come first.
  context_.kv.Put(std::string(kShardCountKey), std::to_string(options_.shard_count),
                  {.if_version = 0},
                  scope_.Wrap([this](const store::write_result&) { count_waiting_ = false; }));
}

void shard_manager::impl::OnShardCount(const std::string& recorded) {
  if (recorded == std::to_string(options_.shard_count)) {
    count_checked_ = true;
    return;
  }
  count_differs_ = true;
  spdlog::error("event=shard_count_mismatch recorded={} settings={}", recorded,
                options_.shard_count);
  listener_.OnShardCountMismatch(
      static_cast<std::uint32_t>(std::strtoul(recorded.c_str(), nullptr, 10)));
}

void shard_manager::impl::Register(core::mono_time now) {
  const store::lease_id lease = lease_.id();
  if (lease == registered_lease_ || register_waiting_ || now < next_register_) return;
  if (!LeaseHolds(now) || count_differs_) return;
  register_waiting_ = true;
  // Unconditional: it moves the key of an earlier process with the same id under this lease.
  context_.kv.Put(EntryKey(options_.entry), options_.entry_value, {.lease = lease},
                  scope_.Wrap([this, lease](const store::write_result& result) {
                    register_waiting_ = false;
                    if (result.status == store::kv_status::ok) {
                      register_backoff_.Reset();
                      registered_lease_ = lease;
                      entries_range_.Reread();
                      return;
                    }
                    CountRetry(context_, "ledger_register", result.status);
                    next_register_ = Now() + register_backoff_.Next(context_.random);
                  }));
}

void shard_manager::impl::Unregister(core::mono_time now) {
  if (unregistered_ || register_waiting_ || now < next_register_) return;
  register_waiting_ = true;
  // Before the shards are released: other entries take only shards that hash to them.
  context_.kv.Delete(EntryKey(options_.entry), std::nullopt,
                     scope_.Wrap([this](const store::write_result& result) {
                       register_waiting_ = false;
                       unregistered_ = result.status == store::kv_status::ok ||
                                       result.status == store::kv_status::not_found;
                       next_register_ = Now() + register_backoff_.Next(context_.random);
                     }));
}

bool shard_manager::impl::IsRegistered() const {
  return registered_lease_ != 0 && registered_lease_ == lease_.id() &&
         std::any_of(entries_.begin(), entries_.end(),
                     [this](const live_entry& one) { return one.entry == options_.entry; });
}

void shard_manager::impl::OnLeaseConfirmed(store::lease_id lease, core::mono_time sent) {
  for (const auto& shard : shards_) shard->OnLeaseConfirmed(lease, sent);
}

void shard_manager::impl::OnLeaseExpired(store::lease_id lease) {
  spdlog::warn("event=store_lease_lapsed lease={}", lease);
  registered_lease_ = 0;
  // After an outage the leases of all entries have lapsed; each retakes its own shards first.
  take_not_before_ = Now() + options_.renew_interval;
  for (const auto& shard : shards_) shard->OnLeaseExpired();
}

void shard_manager::impl::OnRangeRead(std::string_view prefix, core::mono_time sent) {
  if (prefix == kEntriesPrefix) {
    OnEntriesRead();
  } else {
    OnOwnersRead(sent);
  }
}

void shard_manager::impl::OnEntriesRead() {
  std::vector<live_entry> read;
  for (const store::kv_entry& entry : entries_range_.entries()) {
    read.push_back({entry.key.substr(kEntriesPrefix.size()), entry.value});
    known_values_[read.back().entry] = entry.value;
  }
  if (read == entries_) return;
  entries_ = std::move(read);
  release_not_before_ = Now() + options_.rebalance_delay;
  preferred_.clear();
  for (core::shard_index shard = 0; shard < shards_.size(); ++shard) {
    preferred_.push_back(PreferredEntry(shard, entries_));
  }
  std::erase_if(known_values_, [this](const auto& known) {
    const bool live = std::any_of(entries_.begin(), entries_.end(),
                                  [&](const live_entry& one) { return one.entry == known.first; });
    return !live && std::none_of(owners_.begin(), owners_.end(),
                                 [&](const auto& owner) { return owner.second == known.first; });
  });
  // The key can be lost while the lease lives, by a process of the same id that shuts down.
  const bool missing = std::none_of(entries_.begin(), entries_.end(), [this](const auto& one) {
    return one.entry == options_.entry;
  });
  if (missing) registered_lease_ = 0;
}

void shard_manager::impl::OnOwnersRead(core::mono_time sent) {
  std::map<core::shard_index, const store::kv_entry*> found;
  for (const store::kv_entry& entry : owners_range_.entries()) {
    if (const auto shard = ShardOfOwnerKey(entry.key)) found[*shard] = &entry;
  }
  owners_.clear();
  for (const auto& [shard, entry] : found) owners_[shard] = EntryOfOwnerValue(entry->value);
  for (core::shard_index shard = 0; shard < shards_.size(); ++shard) {
    const auto position = found.find(shard);
    shards_[shard]->OnOwnerRead(position == found.end() ? nullptr : position->second,
                                owners_range_.revision(), sent);
  }
}

void shard_manager::impl::TakeFreeShards(core::mono_time now) {
  if (now < take_not_before_) return;
  for (core::shard_index shard = 0; shard < shards_.size(); ++shard) {
    if (!owners_.contains(shard) && preferred_[shard] == options_.entry) shards_[shard]->Take();
  }
}

void shard_manager::impl::ReleaseMisplacedShard(core::mono_time now) {
  for (const auto& shard : shards_) {
    if (IsReleasing(shard->phase())) {
      release_not_before_ = now + options_.rebalance_delay;
      return;
    }
  }
  if (now < release_not_before_) return;
  for (core::shard_index shard = 0; shard < shards_.size(); ++shard) {
    const bool is_owned = shards_[shard]->phase() == ownership_phase::owned;
    if (is_owned && preferred_[shard] != options_.entry) {
      shards_[shard]->Release();
      return;
    }
  }
}

void shard_manager::impl::Append(core::shard_index shard, record change, append_callback done) {
  auto outcome = append_outcome::not_committed;
  if (shard < shards_.size() && shards_[shard]->AcceptsRecords()) {
    const std::size_t bytes = wire::EncodeValue(change).size();
    if (bytes <= kMaxRecordBytes) {
      shards_[shard]->Append(std::move(change), bytes, std::move(done));
      return;
    }
    outcome = append_outcome::too_large;
  }
  context_.metrics.registry.CountRefusal("ledger", outcome == append_outcome::too_large
                                                       ? core::result_code::body_too_large
                                                       : core::result_code::not_owner);
  if (done) deferred_.emplace_back([done = std::move(done), outcome] { done(outcome); });
}

void shard_manager::impl::OnOwned(core::shard_index shard) {
  const shard_ownership& owned = *shards_[shard];
  owners_[shard] = options_.entry;
  metrics_.owned_shards.Set(metrics_.owned_shards.value() + 1);
  spdlog::info("event=shard_owned shard={} fence={} graceful={} orphan_wait_ms={}", shard,
               owned.log().table().fence(), owned.since().graceful,
               core::ToMs(owned.since().orphan_wait));
  listener_.OnShardOwned(shard);
}

void shard_manager::impl::OnLost(core::shard_index shard, shard_loss reason) {
  metrics_.owned_shards.Set(metrics_.owned_shards.value() - 1);
  metrics_.registry.GetCounter("coltsfoot_ledger_lost_shards_total", {"reason", ToString(reason)})
      .Add();
  if (reason != shard_loss::released) all_released_ = false;
  spdlog::info("event=shard_lost shard={} reason={}", shard, ToString(reason));
  // Until the next read, nobody is known to own it.
  owners_.erase(shard);
  owners_range_.Reread();
  listener_.OnShardLost(shard, reason);
}

std::optional<shard_owner> shard_manager::impl::OwnerOf(core::shard_index shard) const {
  const auto owner = owners_.find(shard);
  if (owner == owners_.end()) return std::nullopt;
  shard_owner out{owner->second, std::nullopt};
  const auto value = known_values_.find(owner->second);
  if (value != known_values_.end()) out.value = value->second;
  return out;
}

void shard_manager::impl::Shutdown(std::function<void(bool)> done) {
  shutdown_done_ = std::move(done);
  if (shutting_down_) return;
  shutting_down_ = true;
  all_released_ = true;
  for (const auto& shard : shards_) shard->Close();
}

void shard_manager::impl::ProgressShutdown(core::mono_time now) {
  const bool all_free = std::all_of(shards_.begin(), shards_.end(), [](const auto& shard) {
    return shard->phase() == ownership_phase::free;
  });
  const bool grace_over = std::all_of(shards_.begin(), shards_.end(), [&](const auto& shard) {
    return shard->phase() == ownership_phase::free || shard->GraceIsOver(now);
  });
  if (!all_free && !grace_over) return;
  // Without shards to hand over, an unreachable service only delays the end.
  revoking_ = true;
  lease_.Revoke([this, released = all_free && all_released_] {
    deferred_.emplace_back([this, released] { shutdown_done_(released); });
  });
}

shard_manager::shard_manager(ledger_options options, store::kv_client& kv, const core::clock& time,
                             core::random_source& random, metrics::registry& metrics,
                             shard_listener& listener)
    : impl_(std::make_unique<impl>(std::move(options), kv, time, random, metrics, listener)) {}

shard_manager::~shard_manager() = default;

void shard_manager::Tick() { impl_->Tick(); }

void shard_manager::Append(core::shard_index shard, record change, append_callback done) {
  impl_->Append(shard, std::move(change), std::move(done));
}

bool shard_manager::MayAppend(core::shard_index shard) const {
  const shard_ownership* const found = impl_->Find(shard);
  return found != nullptr && found->MayAppend();
}

std::size_t shard_manager::PendingAppends(core::shard_index shard) const {
  const shard_ownership* const found = impl_->Find(shard);
  return found == nullptr ? 0 : found->log().pending();
}

const shard_table* shard_manager::Table(core::shard_index shard) const {
  const shard_ownership* const found = impl_->Find(shard);
  return found == nullptr ? nullptr : &found->log().table();
}

std::optional<core::fencing_token> shard_manager::Fence(core::shard_index shard) const {
  const shard_table* const table = Table(shard);
  if (table == nullptr) return std::nullopt;
  return table->fence();
}

std::optional<takeover> shard_manager::OwnedSince(core::shard_index shard) const {
  const shard_ownership* const found = impl_->Find(shard);
  if (found == nullptr) return std::nullopt;
  return found->since();
}

std::vector<core::shard_index> shard_manager::OwnedShards() const {
  std::vector<core::shard_index> out;
  for (core::shard_index shard = 0; shard < impl_->shards().size(); ++shard) {
    if (impl_->Find(shard) != nullptr) out.push_back(shard);
  }
  return out;
}

std::vector<lease_grant> shard_manager::Grants() const {
  std::vector<lease_grant> out;
  const core::mono_time now = impl_->Now();
  for (core::shard_index shard = 0; shard < impl_->shards().size(); ++shard) {
    const shard_ownership* const found = impl_->Find(shard);
    if (found != nullptr && found->MayGrant(now)) {
      out.push_back({shard, found->log().table().fence()});
    }
  }
  return out;
}

std::optional<shard_owner> shard_manager::OwnerOf(core::shard_index shard) const {
  return impl_->OwnerOf(shard);
}

const std::vector<live_entry>& shard_manager::Entries() const { return impl_->entries(); }

bool shard_manager::store_reachable() const { return impl_->reachable(); }

bool shard_manager::ready() const { return impl_->ready(); }

void shard_manager::Shutdown(std::function<void(bool released)> done) {
  impl_->Shutdown(std::move(done));
}

}  // namespace coltsfoot::ledger

#include "jobs/leadership.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace coltsfoot::jobs {
namespace {

// Maximum durations of the watches. They are short, because a dead connection is only noticed when
// the watch times out.
constexpr core::milliseconds kLeaderWatchTimeout{2000};
// A watch without changes may be broken; reading the key itself reveals a missed change.
constexpr core::milliseconds kLeaderReadPeriod{4000};
constexpr core::milliseconds kInboxWatchTimeout{1000};
constexpr core::milliseconds kRetryDelay{150};
// Pause after handing over the leadership before the leader key is read again, so that the
// stronger entry can be elected first.
constexpr core::milliseconds kHandoverDelay{500};
// The store counts the lease from the arrival of the renewal, this process from the earlier time of
// sending. The margin covers a clock of the store that runs fast.
constexpr core::milliseconds kLeaseMargin{100};

}  // namespace

leadership::leadership(leadership_options options, const core::clock& time,
                       core::random_source& random, metrics::registry& metrics,
                       store::versioned_store& storage, handlers callbacks)
    : options_(std::move(options)),
      time_(time),
      random_(random),
      metrics_(metrics),
      storage_(storage),
      callbacks_(std::move(callbacks)),
      nonce_(random.Next()) {}

leadership::~leadership() = default;

template <class Result>
std::function<void(Result)> leadership::BindToEpoch(std::function<void(Result)> handler) {
  return [this, epoch = epoch_, alive = std::weak_ptr<int>(alive_),
          handler = std::move(handler)](Result result) {
    if (!alive.expired() && epoch == epoch_) handler(std::move(result));
  };
}

void leadership::Start() { Follow(); }

void leadership::Follow() {
  role_ = role::following;
  ++epoch_;
  reading_leader_ = false;
  renewing_ = false;
  term_ = 0;
  lease_ = 0;
  ReadLeader();
}

void leadership::ReadLeaderAgainIn(core::milliseconds delay) {
  reading_leader_ = false;
  // Random jitter, so that not all entries become candidates at the same moment.
  next_leader_read_at_ = time_.Now() + delay + core::milliseconds{random_.Below(50)};
}

void leadership::ReadLeader() {
  reading_leader_ = true;
  last_leader_read_at_ = time_.Now();
  storage_.Get(std::string(kLeaderKey),
               BindToEpoch<store::get_result>([this](store::get_result result) {
                 if (result.status == store::kv_status::ok) {
                   // The store may have dropped its history since the key's version, so the watch
                   // starts at the revision of this read.
                   watched_from_ = std::max(watched_from_, result.revision);
                   OnLeaderEntry(result.entry);
                 } else if (result.status == store::kv_status::not_found) {
                   OnLeaderEntry(std::nullopt);
                 } else {
                   ReadLeaderAgainIn(kRetryDelay);
                 }
               }));
}

void leadership::OnLeaderEntry(const std::optional<store::kv_entry>& entry) {
  if (!entry) {
    leader_.reset();
    offer_at_ = {};
    CampaignInTurn();
    return;
  }
  waited_for_stronger_ = false;
  core::last_error error;
  const auto record = wire::DecodeValue<leader_record>(entry->value, error);
  if (!record) {
    spdlog::error("event=leader_unreadable reason=\"{}\"", error.reason().message);
    ReadLeaderAgainIn(kRetryDelay);
    return;
  }
  if (record->entry == options_.entry) {
    // Written by an earlier incarnation of this entry, or by this one in a claim without an answer.
    // In both cases no other entry leads.
    Campaign(entry->version);
    return;
  }
  if (leader_ != record) {
    spdlog::info("event=leader_seen leader={} term={}", record->entry, entry->version);
  }
  if (!IsWeakerThan(record->processor_millis, options_.processor_millis)) {
    offer_at_ = {};
  } else if (leader_ != record || offer_at_ == core::mono_time{}) {
    offer_at_ = time_.Now() + options_.offer_delay;
  }
  leader_ = *record;
  leader_version_ = entry->version;
  watched_from_ = std::max(watched_from_, entry->version);
  Watch();
}

void leadership::Watch() {
  const core::mono_time sent = time_.Now();
  storage_.WatchChanges({std::string(kLeaderKey), watched_from_, kLeaderWatchTimeout},
                        BindToEpoch<store::change_batch>(
                            [this, sent](store::change_batch batch) { OnWatched(batch, sent); }));
}

void leadership::OnWatched(const store::change_batch& batch, core::mono_time sent) {
  const core::mono_time now = time_.Now();
  if (batch.status != store::kv_status::ok) {
    ReadLeaderAgainIn(kRetryDelay);
  } else if (!batch.changes.empty()) {
    OnLeaderEntry(batch.changes.back().entry);
  } else if (now - sent < kLeaderWatchTimeout || now - last_leader_read_at_ >= kLeaderReadPeriod) {
    ReadLeaderAgainIn(core::milliseconds{0});
  } else {
    watched_from_ = std::max(watched_from_, batch.revision);
    Watch();
  }
}

bool leadership::IsWeakerThan(std::uint32_t own, std::uint32_t other) const {
  return std::uint64_t{own} * 1000 < std::uint64_t{other} * options_.weaker_host_permille;
}

void leadership::Register() {
  registering_ = true;
  store::transaction writes;
  writes.puts.push_back(
      {EntryKey(options_.entry), wire::EncodeValue(entry_record{options_.processor_millis}), 0});
  storage_.Commit(std::move(writes),
                  [this, alive = std::weak_ptr<int>(alive_)](const store::commit_result& result) {
                    if (alive.expired()) return;
                    registering_ = false;
                    registered_ = result.status == store::kv_status::ok;
                    register_at_ = time_.Now() + kRetryDelay;
                  });
}

void leadership::CampaignInTurn() {
  if (std::exchange(waited_for_stronger_, true)) {
    Campaign(0);
    return;
  }
  storage_.ReadAll(std::string(kEntryPrefix),
                   BindToEpoch<store::range_result>([this](const store::range_result& entries) {
                     std::uint32_t strongest = 0;
                     for (const store::kv_entry& each : entries.entries) {
                       core::last_error error;
                       const auto known = wire::DecodeValue<entry_record>(each.value, error);
                       if (known) strongest = std::max(strongest, known->processor_millis);
                     }
                     if (!IsWeakerThan(options_.processor_millis, strongest)) {
                       Campaign(0);
                       return;
                     }
                     spdlog::info("event=election_left_to_stronger own={} strongest={}",
                                  options_.processor_millis, strongest);
                     ReadLeaderAgainIn(options_.weaker_host_delay);
                   }));
}

void leadership::OfferLeadership() {
  offer_at_ = time_.Now() + options_.offer_delay;
  if (callbacks_.on_offer) callbacks_.on_offer(options_.processor_millis);
}

bool leadership::ConsiderHandover(std::uint32_t processor_millis) {
  if (role_ != role::leading || !IsWeakerThan(options_.processor_millis, processor_millis)) {
    return false;
  }
  // A new leader declines for a while, so that the leadership does not change hands repeatedly.
  if (time_.Now() < elected_at_ + options_.offer_delay || !MayStart()) return false;
  spdlog::info("event=leadership_handed_over term={} own={} stronger={}", term_,
               options_.processor_millis, processor_millis);
  const store::lease_id lease = std::exchange(lease_, 0);
  role_ = role::following;
  ++epoch_;
  retry_inbox_from_ = 0;
  leader_.reset();
  callbacks_.on_deposed();
  storage_.RevokeLease(lease, [](const store::lease_result&) {});
  ReadLeaderAgainIn(kHandoverDelay);
  return true;
}

void leadership::Campaign(store::key_version present) {
  role_ = role::candidate;
  ++epoch_;
  const core::mono_time sent = time_.Now();
  storage_.GrantLease(options_.lease_ttl, BindToEpoch<store::lease_result>(
                                              [this, present, sent](store::lease_result result) {
                                                if (result.status != store::kv_status::ok) {
                                                  role_ = role::following;
                                                  ReadLeaderAgainIn(kRetryDelay);
                                                  return;
                                                }
                                                Claim(present, result.lease, sent);
                                              }));
}

void leadership::Claim(store::key_version present, store::lease_id lease, core::mono_time granted) {
  store::transaction writes;
  writes.expect.push_back({std::string(kLeaderKey), present});
  writes.puts.push_back(
      {std::string(kLeaderKey),
       wire::EncodeValue(leader_record{.entry = options_.entry,
                                       .address = options_.address,
                                       .nonce = nonce_,
                                       .processor_millis = options_.processor_millis}),
       lease});
  storage_.Commit(std::move(writes), BindToEpoch<store::commit_result>(
                                         [this, lease, granted](store::commit_result result) {
                                           OnClaimed(result, lease, granted);
                                         }));
}

void leadership::OnClaimed(const store::commit_result& result, store::lease_id lease,
                           core::mono_time granted) {
  if (result.status == store::kv_status::ok) {
    BecomeLeader(result.revision, lease, granted);
    return;
  }
  role_ = role::following;
  ReadLeaderAgainIn(result.status == store::kv_status::conflict ? core::milliseconds{0}
                                                                : kRetryDelay);
}

void leadership::BecomeLeader(std::uint64_t term, store::lease_id lease, core::mono_time granted) {
  term_ = term;
  lease_ = lease;
  valid_until_ = granted + options_.lease_ttl - kLeaseMargin;
  renew_at_ = time_.Now() + options_.renew_period;
  leader_ = leader_record{.entry = options_.entry,
                          .address = options_.address,
                          .nonce = nonce_,
                          .processor_millis = options_.processor_millis};
  elected_at_ = time_.Now();
  offer_at_ = {};
  waited_for_stronger_ = false;
  leader_version_ = term;
  role_ = role::loading;
  retry_load_at_.reset();
  ++epoch_;
  metrics_.GetCounter("coltsfoot_terms_total").Add();
  spdlog::info("event=elected term={}", term);
  LoadRecords();
}

void leadership::LoadRecords() {
  storage_.ReadAll(
      std::string(kInboxPrefix),
      BindToEpoch<store::range_result>([this](store::range_result inbox) {
        if (inbox.status != store::kv_status::ok) {
          retry_load_at_ = time_.Now() + kRetryDelay;
          return;
        }
        if (!StillLeads(inbox.entries)) return;
        storage_.ReadAll(
            std::string(kProgressPrefix),
            BindToEpoch<store::range_result>([this, inbox](const store::range_result& progress) {
              if (progress.status != store::kv_status::ok) {
                retry_load_at_ = time_.Now() + kRetryDelay;
                return;
              }
              role_ = role::leading;
              callbacks_.on_elected({term_, inbox.entries, progress.entries});
              WatchInbox(inbox.revision);
            }));
      }));
}

void leadership::WatchInbox(std::uint64_t since) {
  storage_.WatchChanges({std::string(kInboxPrefix), since, kInboxWatchTimeout},
                        BindToEpoch<store::change_batch>([this, since](store::change_batch batch) {
                          if (batch.status == store::kv_status::conflict) {
                            ReloadInbox();
                            return;
                          }
                          if (batch.status != store::kv_status::ok) {
                            retry_inbox_at_ = time_.Now() + kRetryDelay;
                            retry_inbox_from_ = since;
                            return;
                          }
                          const std::uint64_t epoch = epoch_;
                          for (const store::key_change& change : batch.changes) {
                            if (change.key == kLeaderKey) {
                              if (!StillLeads(change.entry)) return;
                              continue;
                            }
                            callbacks_.on_inbox_change(change);
                            if (epoch != epoch_) return;
                          }
                          WatchInbox(std::max(since, batch.revision));
                        }));
}

void leadership::ReloadInbox() {
  spdlog::info("event=inbox_reloaded term={} reason=history_gone", term_);
  storage_.ReadAll(std::string(kInboxPrefix),
                   BindToEpoch<store::range_result>([this](const store::range_result& inbox) {
                     if (inbox.status != store::kv_status::ok) {
                       // The history at revision 1 is gone, so the watch reports a conflict and
                       // calls this function again.
                       retry_inbox_from_ = 1;
                       retry_inbox_at_ = time_.Now() + kRetryDelay;
                       return;
                     }
                     if (!StillLeads(inbox.entries)) return;
                     for (const store::kv_entry& entry : inbox.entries) {
                       if (entry.key == kLeaderKey) continue;
                       callbacks_.on_inbox_change({entry.key, entry});
                     }
                     WatchInbox(inbox.revision);
                   }));
}

bool leadership::StillLeads(const std::optional<store::kv_entry>& entry) {
  if (entry && entry->version == term_) return true;
  spdlog::warn("event=deposed term={} by=leader_key newer_term={}", term_,
               entry ? entry->version : 0);
  Depose();
  return false;
}

bool leadership::StillLeads(const std::vector<store::kv_entry>& inbox) {
  const auto leader = std::find_if(inbox.begin(), inbox.end(),
                                   [](const auto& entry) { return entry.key == kLeaderKey; });
  return StillLeads(leader == inbox.end() ? std::nullopt : std::optional(*leader));
}

void leadership::Renew() {
  renewing_ = true;
  const core::mono_time sent = time_.Now();
  renew_at_ = sent + options_.renew_period;
  storage_.RenewLease(
      lease_, BindToEpoch<store::lease_result>([this, sent](store::lease_result result) {
        renewing_ = false;
        if (result.status == store::kv_status::ok) {
          valid_until_ = std::max(valid_until_, sent + options_.lease_ttl - kLeaseMargin);
        } else if (result.status == store::kv_status::not_found) {
          spdlog::warn("event=leader_lease_ended term={}", term_);
          Depose();
        } else {
          metrics_.GetCounter("coltsfoot_leader_renewal_failures_total").Add();
        }
      }));
}

void leadership::Tick() {
  const core::mono_time now = time_.Now();
  if (!registered_ && !registering_ && now >= register_at_) Register();
  switch (role_) {
    case role::following:
      if (leader_ && offer_at_ != core::mono_time{} && now >= offer_at_) OfferLeadership();
      if (!reading_leader_ && now >= next_leader_read_at_) ReadLeader();
      return;
    case role::loading:
    case role::leading:
      if (now >= valid_until_ + options_.grant_extension) {
        spdlog::warn("event=leader_lease_lost term={} reason=store_out_of_reach", term_);
        Depose();
        return;
      }
      if (retry_load_at_ && now >= *retry_load_at_) {
        retry_load_at_.reset();
        LoadRecords();
      }
      if (retry_inbox_from_ != 0 && now >= retry_inbox_at_) {
        WatchInbox(std::exchange(retry_inbox_from_, 0));
      }
      if (!renewing_ && now >= renew_at_) Renew();
      return;
    case role::candidate:
    case role::resigned:
      return;
  }
}

void leadership::Depose() {
  if (role_ != role::leading && role_ != role::loading) return;
  const bool led = role_ == role::leading;
  leader_.reset();
  retry_inbox_from_ = 0;
  role_ = role::following;
  ++epoch_;
  if (led) callbacks_.on_deposed();
  Follow();
}

void leadership::Resign() {
  const bool led = role_ == role::leading;
  const store::lease_id lease = std::exchange(lease_, 0);
  role_ = role::resigned;
  ++epoch_;
  if (led) callbacks_.on_deposed();
  if (lease == 0) return;
  spdlog::info("event=resigned term={}", term_);
  storage_.RevokeLease(lease, [](const store::lease_result&) {});
}

bool leadership::MayStart() const { return leading() && time_.Now() < valid_until_; }

bool leadership::MayExtend() const {
  return leading() && time_.Now() < valid_until_ + options_.grant_extension;
}

}  // namespace coltsfoot::jobs

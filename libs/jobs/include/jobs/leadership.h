#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"
#include "jobs/records.h"
#include "metrics/registry.h"
#include "store/versioned_store.h"

namespace coltsfoot::jobs {

/// Settings of the election.
struct leadership_options {
  std::string entry;    ///< id of this entry
  std::string address;  ///< IP:PORT on which other entries reach this one
  /// Processor capacity of this host, in thousandths of a processor.
  std::uint32_t processor_millis = 1000;
  /// This host counts as weaker than another if it has less than this share, in thousandths, of the
  /// other's processor capacity.
  std::uint32_t weaker_host_permille = 600;
  /// Delay before an entry on a weaker host becomes a candidate, so that stronger ones go first.
  core::milliseconds weaker_host_delay{250};
  /// How long a stronger entry follows a weaker leader before it offers to take over, and how long
  /// a new leader declines such offers.
  core::milliseconds offer_delay{3000};
  core::milliseconds lease_ttl{2000};
  core::milliseconds renew_period{500};
  /// How long after its own lease expired a leader that cannot reach the store still extends task
  /// leases.
  core::milliseconds grant_extension{6000};
};

/// State of the store at the start of a term.
struct term_snapshot {
  std::uint64_t term = 0;
  std::vector<store::kv_entry> inbox;
  std::vector<store::kv_entry> progress;
};

/// Elects one coordinator through a leased key in the store and passes it changes of the inbox.
/// Must be used from one thread. All I/O goes through `versioned_store`.
class leadership {
 public:
  struct handlers {
    std::function<void(const term_snapshot&)> on_elected;
    std::function<void()> on_deposed;
    std::function<void(const store::key_change&)> on_inbox_change;
    /// The leader runs on a weaker host; the handler should send it an offer to take over.
    std::function<void(std::uint32_t processor_millis)> on_offer;
  };

  leadership(leadership_options options, const core::clock& time, core::random_source& random,
             metrics::registry& metrics, store::versioned_store& storage, handlers callbacks);
  ~leadership();

  /// Reads the leader key and becomes a candidate if there is no leader.
  void Start();
  /// Runs what is due; call at least every 100 ms.
  void Tick();
  /// Ends the leader's lease and takes part in no further election, for a graceful shutdown.
  void Resign();
  /// Steps down because another coordinator exists or may exist, and follows.
  void Depose();
  /// Handles an offer to take over: steps down if this host is weaker than the one that offers,
  /// unless this process was elected less than `offer_delay` ago.
  /// @param processor_millis capacity of the host that offers.
  /// @return true if the leadership was given up.
  bool ConsiderHandover(std::uint32_t processor_millis);

  bool leading() const noexcept { return role_ == role::leading; }
  /// @return true while the lease rules out another coordinator, so that tasks may be started.
  bool MayStart() const;
  /// @return true while task leases may be extended, which is allowed for `grant_extension` beyond
  /// the own lease.
  bool MayExtend() const;
  /// @return the last known leader, which may be this process; nothing if none is known.
  const std::optional<leader_record>& leader() const noexcept { return leader_; }

 private:
  enum class role : std::uint8_t { following, candidate, loading, leading, resigned };

  void Follow();
  void ReadLeader();
  void OnLeaderEntry(const std::optional<store::kv_entry>& entry);
  void Watch();
  void OnWatched(const store::change_batch& batch, core::mono_time sent);
  void Register();
  /// Becomes a candidate; on a weaker host only after stronger ones had `weaker_host_delay` to do
  /// so.
  void CampaignInTurn();
  void Campaign(store::key_version present);
  void OfferLeadership();
  bool IsWeakerThan(std::uint32_t own, std::uint32_t other) const;
  void Claim(store::key_version present, store::lease_id lease, core::mono_time granted);
  void OnClaimed(const store::commit_result& result, store::lease_id lease,
                 core::mono_time granted);
  void BecomeLeader(std::uint64_t term, store::lease_id lease, core::mono_time granted);
  void LoadRecords();
  void WatchInbox(std::uint64_t since);
  void ReloadInbox();
  /// Steps down if `entry` is not this term's leader key.
  /// @return false if this process stepped down.
  bool StillLeads(const std::optional<store::kv_entry>& entry);
  bool StillLeads(const std::vector<store::kv_entry>& inbox);
  void Renew();
  void ReadLeaderAgainIn(core::milliseconds delay);
  /// @return `handler` wrapped so that it does nothing after a change of role or destruction.
  template <class Result>
  std::function<void(Result)> BindToEpoch(std::function<void(Result)> handler);

  leadership_options options_;
  const core::clock& time_;
  core::random_source& random_;
  metrics::registry& metrics_;
  store::versioned_store& storage_;
  handlers callbacks_;
  role role_ = role::resigned;
  std::uint64_t epoch_ = 0;  ///< rises with each change of role; answers to calls of an older epoch
                             ///< are ignored
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::uint64_t nonce_;
  std::optional<leader_record> leader_;
  std::uint64_t leader_version_ = 0;
  std::uint64_t watched_from_ = 0;
  core::mono_time next_leader_read_at_;
  core::mono_time last_leader_read_at_;
  bool registered_ = false;
  bool registering_ = false;
  core::mono_time register_at_;
  bool waited_for_stronger_ = false;
  core::mono_time offer_at_;  ///< when to offer to take over; zero: the leader is not weaker
  core::mono_time elected_at_;
  bool reading_leader_ = false;
  std::uint64_t term_ = 0;
  store::lease_id lease_ = 0;
  core::mono_time valid_until_;
  core::mono_time renew_at_;
  bool renewing_ = false;
  std::optional<core::mono_time> retry_load_at_;  ///< when to retry a failed `LoadRecords`
  core::mono_time retry_inbox_at_;
  std::uint64_t retry_inbox_from_ = 0;  ///< 0: no retry is due
};

}  // namespace coltsfoot::jobs

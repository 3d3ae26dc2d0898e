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
  std::string address;  ///< IP:PORT for other entries
  /// Processors of this host, in thousandths of one.
  std::uint32_t processor_millis = 1000;
  /// Share of another host's processors, in thousandths, below which this one is the weaker.
  std::uint32_t weaker_permille = 600;
  /// Time by which entries on weaker hosts let others stand first.
  core::milliseconds weaker_delay{250};
  /// Time for which a stronger entry follows a weaker one before it offers to coordinate, and for
  /// which a coordinator declines.
  core::milliseconds offer_after{3000};
  core::milliseconds lease_ttl{2000};
  core::milliseconds renew_period{500};
  /// How long after its lease a coordinator without contact to the store goes on extending leases.
  core::milliseconds grant_extension{6000};
};

/// What the elected coordinator works from.
struct term_start {
  std::uint64_t term = 0;
  std::vector<store::kv_entry> inbox;
  std::vector<store::kv_entry> progress;
};

/// Elects one coordinator by a key under a lease and feeds it the changes of the inbox. One thread;
/// all calls go through `versioned_store`.
class leadership {
 public:
  struct handlers {
    std::function<void(const term_start&)> on_elected;
    std::function<void()> on_deposed;
    std::function<void(const store::key_change&)> on_inbox_change;
    /// The coordinating entry is on a weaker host; it should be offered to take over from.
    std::function<void(std::uint32_t processor_millis)> on_offer;
  };

  leadership(leadership_options options, const core::clock& time, core::random_source& random,
             metrics::registry& metrics, store::versioned_store& storage, handlers callbacks);
  ~leadership();

  /// Looks for a leader and stands for election if there is none.
  void Start();
  /// Call at least each 100 ms.
  void Tick();
  /// Gives the leadership up at once, for a graceful shutdown.
  void Resign();
  /// Gives the leadership up because another coordinator exists.
  void Depose();
  /// Hands the leadership over if the host that offers to lead is much stronger.
  /// @return true if it was handed over.
  bool ConsiderHandover(std::uint32_t processor_millis);

  bool leading() const noexcept { return role_ == role::leading; }
  /// @return true while no other coordinator can exist.
  bool MayStart() const;
  /// @return true while leases may still be extended.
  bool MayExtend() const;
  /// @return the leader as last seen, this process included.
  const std::optional<leader_record>& leader() const noexcept { return leader_; }

 private:
  enum class role : std::uint8_t { following, candidate, loading, leading, resigned };

  void Follow();
  void ReadLeader();
  void OnLeaderEntry(const std::optional<store::kv_entry>& entry);
  void Watch();
  void OnWatched(const store::change_batch& batch, core::mono_time sent);
  void Register();
  /// Stands for election, after entries on stronger hosts had the time to.
  void CampaignInTurn();
  void Campaign(store::key_version present);
  void OfferToLead();
  bool IsWeakerThan(std::uint32_t own, std::uint32_t other) const;
  void Claim(store::key_version present, store::lease_id lease, core::mono_time granted);
  void OnClaimed(const store::commit_result& result, store::lease_id lease,
                 core::mono_time granted);
  void Win(std::uint64_t term, store::lease_id lease, core::mono_time granted);
  void Load();
  void WatchInbox(std::uint64_t since);
  void ReloadInbox();
  /// @return false, after giving the leadership up, if `entry` is not this process's claim.
  bool StillLeads(const std::optional<store::kv_entry>& entry);
  bool StillLeads(const std::vector<store::kv_entry>& inbox);
  void Renew();
  void ReadLeaderAgainIn(core::milliseconds delay);
  template <class Result>
  std::function<void(Result)> Guard(std::function<void(Result)> handler);

  leadership_options options_;
  const core::clock& time_;
  core::random_source& random_;
  metrics::registry& metrics_;
  store::versioned_store& storage_;
  handlers callbacks_;
  role role_ = role::resigned;
  std::uint64_t epoch_ = 0;  ///< rises with each change of role; answers of older ones are dropped
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::uint64_t nonce_;
  std::optional<leader_record> leader_;
  std::uint64_t leader_version_ = 0;
  std::uint64_t watched_from_ = 0;
  core::mono_time read_leader_at_;
  core::mono_time read_at_;  ///< when the leader key was last read
  bool registered_ = false;
  bool registering_ = false;
  core::mono_time register_at_;
  bool gave_way_ = false;     ///< others had the time to stand first
  core::mono_time offer_at_;  ///< when to offer to lead; zero: the leader is no weaker
  core::mono_time elected_at_;
  bool reading_leader_ = false;
  std::uint64_t term_ = 0;
  store::lease_id lease_ = 0;
  core::mono_time valid_until_;
  core::mono_time renew_at_;
  bool renewing_ = false;
  std::optional<core::mono_time> load_at_;  ///< when to read the store again
  core::mono_time retry_inbox_at_;
  std::uint64_t retry_inbox_from_ = 0;  ///< 0: the watch is in flight
};

}  // namespace coltsfoot::jobs

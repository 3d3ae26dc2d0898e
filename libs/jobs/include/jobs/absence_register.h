#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/clock.h"
#include "metrics/registry.h"
#include "store/versioned_store.h"

namespace coltsfoot::jobs {

/// Stored set of the agents that have no lease. With it a coordinator that takes over need not wait
/// for the leases of hosts that left or failed earlier.
///
/// An agent is added after all leases that it was granted have expired, and is granted none until
/// its removal is stored. Each write is conditional on the version of the leader key, so a deposed
/// coordinator can neither add nor remove agents. At most one write is in flight.
class absence_register {
 public:
  /// @param on_deposed called when the leader key has another version than the term.
  absence_register(const core::clock& time, metrics::registry& metrics,
                   store::versioned_store& storage, std::function<void()> on_deposed);
  ~absence_register();

  /// Begins a term. Outcomes of writes in flight are ignored.
  /// @param term version of the leader key; 0: no term.
  /// @param stored the entry under `kAbsentKey`, if it exists.
  void Reset(std::uint64_t term, const std::optional<store::kv_entry>& stored);
  /// @return true if the agent is absent in the store, so that a takeover need not wait for it.
  bool IsAbsent(const std::string& agent) const { return stored_.contains(agent); }
  /// @return false if the agent may be absent in the store: it must get no lease, since a successor
  /// would not wait for that lease.
  bool MayGrant(const std::string& agent) const;
  /// Adds an agent whose leases have all expired. Stored by a later `Flush`.
  void Add(const std::string& agent) { desired_.insert(agent); }
  /// Removes an agent that has returned or that is no longer listed. Stored by a later `Flush`.
  void Remove(const std::string& agent) { desired_.erase(agent); }
  /// Writes the set if it changed. Call regularly: retries failed writes.
  void Flush();

 private:
  struct pending_write;
  void OnWritten(const std::shared_ptr<pending_write>& written, const store::commit_result& result);
  /// Loads the stored state that a conflicting write returned.
  /// @return false if another coordinator leads.
  bool AdoptStored(const store::commit_result& result);
  void Load(const store::kv_entry& entry);

  const core::clock& time_;
  metrics::registry& metrics_;
  store::versioned_store& storage_;
  std::function<void()> on_deposed_;
  std::uint64_t term_ = 0;
  store::key_version version_ = 0;     ///< of `kAbsentKey` in the store
  std::set<std::string> stored_;       ///< as of `version_`
  std::set<std::string> unconfirmed_;  ///< in writes without a known outcome
  std::set<std::string> desired_;      ///< to be stored
  std::shared_ptr<pending_write> in_flight_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  bool unreadable_ = false;  ///< the stored set cannot be decoded: any agent may be in it
  bool in_doubt_ = false;    ///< a write without an answer may have taken effect
  core::mono_time retry_at_;
};

}  // namespace coltsfoot::jobs

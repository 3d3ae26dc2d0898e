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

/// Keeps in the store which agents have no lease, so that a coordinator that takes over need not
/// wait for hosts that left or failed before.
///
/// An agent is entered after all leases it was granted have passed, and gets none before its
/// removal is stored. Each write expects the leader key, so a deposed coordinator can do neither.
/// One write is in flight at a time.
class absence_register {
 public:
  /// @param on_deposed called when the leader key has another version.
  absence_register(const core::clock& time, metrics::registry& metrics,
                   store::versioned_store& storage, std::function<void()> on_deposed);
  ~absence_register();

  /// Begins a term; forgets writes in flight.
  /// @param term version of the leader key; 0: no term.
  /// @param stored the entry under `kAbsentKey`, if there is one.
  void Reset(std::uint64_t term, const std::optional<store::kv_entry>& stored);
  /// @return true if the store holds the agent as absent: no lease of it has to be waited for.
  bool IsAbsent(const std::string& agent) const { return stored_.contains(agent); }
  /// @return false if the store may hold the agent as absent: a successor would not wait for it.
  bool MayGrant(const std::string& agent) const;
  /// The agent's leases have all passed. Stored by a later `Flush`.
  void Add(const std::string& agent) { desired_.insert(agent); }
  /// The agent is back, or off the list of agents. Stored by a later `Flush`.
  void Remove(const std::string& agent) { desired_.erase(agent); }
  /// Writes what changed.
  void Flush();

 private:
  struct pending_write;
  void OnWritten(const std::shared_ptr<pending_write>& written, const store::commit_result& result);
  /// Takes over what a conflict shows. @return false if another coordinator leads.
  bool AdoptStored(const store::commit_result& result);
  void Load(const store::kv_entry& entry);

  const core::clock& time_;
  metrics::registry& metrics_;
  store::versioned_store& storage_;
  std::function<void()> on_deposed_;
  std::uint64_t term_ = 0;
  store::key_version version_ = 0;     ///< of `kAbsentKey`
  std::set<std::string> stored_;       ///< as of `version_`
  std::set<std::string> unconfirmed_;  ///< in writes without an outcome
  std::set<std::string> desired_;
  std::shared_ptr<pending_write> in_flight_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  bool unreadable_ = false;  ///< the stored list cannot be read: it may hold anybody
  bool in_doubt_ = false;    ///< a write without an answer may have taken effect
  core::mono_time retry_at_;
};

}  // namespace coltsfoot::jobs

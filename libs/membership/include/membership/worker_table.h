#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/resources.h"
#include "membership/name_table.h"
#include "wire/messages.h"

namespace coltsfoot::membership {

/// Dense index of a worker within one process. It stays the same while the table knows the worker,
/// even across restarts of its agent, and may be reused after `worker_table::Forget`.
using worker_index = std::uint32_t;

/// Index that no worker has.
inline constexpr worker_index kNoWorker = std::numeric_limits<worker_index>::max();

/// Timings of the worker table.
struct worker_table_options {
  core::nanoseconds heartbeat = std::chrono::seconds{5};  ///< interval of the agents' heartbeats
  /// A worker whose newest heartbeat is older than this many intervals gets no new work.
  std::uint32_t missed_heartbeats = 3;
  /// A worker that has been silent or gone this long is removed by `Forget`.
  core::nanoseconds forget_after = std::chrono::minutes{10};
  /// A worker without `Confirm` is removed by `Forget` when it has been silent or gone this long,
  /// and in a full table this long after its first heartbeat.
  core::nanoseconds forget_unconfirmed_after = std::chrono::minutes{1};
  /// Rows in use. The heartbeat of a further worker is refused, and while the table is full,
  /// `Forget` removes workers as soon as they are silent.
  std::size_t max_workers = 4096;
  /// Names of services, and of regions, zones and racks together, which are never removed. A
  /// heartbeat with a further one is refused.
  std::size_t max_names = 16'384;
};

/// Why a worker gets no new work.
enum class worker_state : std::uint8_t {
  live,
  recovering,  ///< the agent does not yet know what its target runs
  draining,    ///< the agent or an operator drains the worker
  silent,      ///< no heartbeat within the limit
  gone,        ///< said goodbye, or the row is not in use
};

/// What a heartbeat did to the table.
enum class heartbeat_outcome : std::uint8_t {
  added,        ///< first heartbeat of this worker
  updated,      ///< newer heartbeat of the known incarnation
  replaced,     ///< the agent restarted; drops assignments and services, keeps holds
  stale,        ///< not newer than a heartbeat already seen, or of a replaced incarnation; ignored
  refused,      ///< the table has no room for the worker or for a name; ignored
  undescribed,  ///< has no description, and the one that it refers to is not known; ignored
};

/// Result of `worker_table::OnHeartbeat`.
struct heartbeat_result {
  worker_index worker = kNoWorker;
  heartbeat_outcome outcome = heartbeat_outcome::stale;
};

/// Load of one service on one worker, as known to this entry.
struct service_row {
  name_id service = kNoName;
  std::uint32_t in_flight = 0;    ///< as last reported, by all entries
  std::uint32_t queued = 0;       ///< as last reported
  std::uint32_t average_us = 0;   ///< as last reported; 0 if not known
  std::uint32_t sent_since = 0;   ///< requests of this entry since that report
  std::uint32_t outstanding = 0;  ///< requests of this entry without an answer

  /// @return requests that run or wait: the report and what was sent since, and at least this
  /// entry's own outstanding requests.
  std::uint32_t pending() const noexcept {
    const std::uint32_t reported = in_flight + queued + sent_since;
    return reported > outstanding ? reported : outstanding;
  }
};

/// Columns of a worker that change rarely and are not read by scans.
struct worker_identity {
  std::string id;
  std::uint64_t incarnation = 0;
  std::uint64_t previous_incarnation = 0;  ///< its late heartbeats are ignored
  std::uint64_t seq = 0;                   ///< newest heartbeat received
  std::uint32_t description = 0;           ///< version of the description in force
  wire::endpoint agent_tcp;
  std::uint32_t running_tasks = 0;
  std::uint32_t connections_total = 0;
  std::uint32_t connections_free = 0;
  core::config_version config = 0;
};

/// Identifies capacity of a worker that this entry has assigned or holds back.
using assignment_id = std::uint64_t;

/// Table of all known workers. Each column that placement scans is a separate array.
///
/// The free capacity of a worker is an estimate: what its last message reported, minus what this
/// entry has assigned that the report cannot include yet, plus what ended since. The estimate is
/// conservative: it is meant never to exceed the true value. Only the agent decides whether it
/// accepts work.
class worker_table {
 public:
  explicit worker_table(worker_table_options options = {});

  // Updates.

  /// Applies a heartbeat. A heartbeat without a description is applied only if the table has the
  /// description that it refers to.
  /// An assignment is dropped from the estimate by the first heartbeat after `ConfirmAssignment`,
  /// and unconfirmed by the second one after it was made, because the first may have been sent
  /// before the assignment arrived.
  heartbeat_result OnHeartbeat(const wire::agent_heartbeat& heartbeat, core::mono_time now);
  /// A connection to the worker has opened. Until then its row may be invented, since anyone can
  /// send a heartbeat.
  void Confirm(worker_index worker) { confirmed_[worker] = true; }
  /// Marks the worker as gone if the message is of its known incarnation.
  /// @return the worker, or nothing if nothing changed.
  std::optional<worker_index> OnGoodbye(const wire::agent_goodbye& goodbye);
  /// Applies the load that an answer carries. Call it once for each attempt that was counted by
  /// `OnRequestSent`, with the same service: a refusal may carry no load. Has no effect on
  /// liveness.
  void OnRequestReply(worker_index worker, name_id service, const wire::request_reply& reply);
  /// Counts a request that this entry sends to `worker`.
  void OnRequestSent(worker_index worker, name_id service);
  /// Counts a request as no longer outstanding when no reply will come (connection lost,
  /// abandoned).
  void OnRequestAbandoned(worker_index worker, name_id service);
  /// Replaces the free capacity of the last heartbeat. The report must have come over the
  /// connection that carries the worker's task events, so that it includes all confirmed
  /// assignments.
  void OnFreeReported(worker_index worker, const core::resources& free);
  /// The agent could not make room; it is not asked again before its next heartbeat.
  void OnMakeRoomFailed(worker_index worker) { evictable_[worker] = {}; }
  /// Sets or clears a drain that the fleet configuration requests (`worker.drain`, `worker.lost`).
  void SetOperatorDrain(worker_index worker, bool drain);

  /// Counts `need` against the worker's free capacity until a heartbeat includes it.
  assignment_id Assign(worker_index worker, const core::resources& need);
  /// Counts `need` against the worker until `ReleaseAssignment` or `ConvertHold`, regardless
  /// of heartbeats. Reserves capacity that is being freed for one task.
  assignment_id Hold(worker_index worker, const core::resources& need);
  /// Turns a hold into an assignment made now.
  void ConvertHold(worker_index worker, assignment_id id);
  /// Records the agent's report that the assignment started; the next heartbeat includes it.
  void ConfirmAssignment(worker_index worker, assignment_id id);
  /// Removes an assignment that did not start or has ended. If a heartbeat already included it,
  /// `need` is added to the free capacity until the next heartbeat.
  void ReleaseAssignment(worker_index worker, assignment_id id, const core::resources& need);

  /// Ends a hold that was not converted.
  void ReleaseHold(worker_index worker, assignment_id id);

  /// Removes workers that have been silent or gone for `forget_after`, at most 64 per call, and
  /// unconfirmed ones by `forget_unconfirmed_after`. In a full table, removes workers that have
  /// missed the allowed heartbeats.
  /// @return their indexes; owners of per-worker columns reset them, since indexes are reused.
  std::vector<worker_index> Forget(core::mono_time now);

  // Queries. An index must be below `size()`.

  /// @return the number of rows, including those not in use.
  std::size_t size() const noexcept { return identity_.size(); }
  /// @return the worker named `id`, or nothing.
  std::optional<worker_index> Find(std::string_view id) const;
  /// @return false if the row is not in use.
  bool IsKnown(worker_index worker) const noexcept { return !identity_[worker].id.empty(); }
  /// @return why the worker gets no new work, or `live`.
  worker_state State(worker_index worker, core::mono_time now) const noexcept;
  /// @return true if the entry may send new work to the worker.
  bool IsDispatchable(worker_index worker, core::mono_time now) const noexcept {
    return flags_[worker] == 0 && now - last_heartbeat_at_[worker] <= silence_limit_;
  }
  /// @return the token of the newest heartbeat, which a dispatch carries.
  wire::liveness_token LivenessToken(worker_index worker) const;
  const worker_identity& identity(worker_index worker) const { return identity_[worker]; }
  /// @return when the newest heartbeat arrived.
  core::mono_time last_heartbeat_at(worker_index worker) const {
    return last_heartbeat_at_[worker];
  }
  /// @return services of the worker's live target; empty without one.
  std::span<const service_row> services(worker_index worker) const { return services_[worker]; }
  /// @return the row of `service` on `worker`, or nullptr.
  const service_row* FindService(worker_index worker, name_id service) const noexcept;
  /// @return workers whose last heartbeat lists `service`, live or not, in no particular order.
  std::span<const worker_index> Targets(name_id service) const noexcept;
  /// @return the number of dispatchable workers.
  std::size_t CountDispatchable(core::mono_time now) const noexcept;

  // Columns, indexed by worker_index.

  std::span<const core::resources> total() const noexcept { return total_; }
  /// Estimated free capacity; a component may be negative while a hold waits for evictions.
  std::span<const core::resources> available() const noexcept { return available_; }
  /// What an agent can evict for an urgent task, as of its last heartbeat.
  std::span<const core::resources> evictable() const noexcept { return evictable_; }
  std::span<const std::uint32_t> slots_total() const noexcept { return slots_total_; }
  std::span<const std::uint32_t> slots_free() const noexcept { return slots_free_; }
  std::span<const name_id> region() const noexcept { return region_; }
  std::span<const name_id> zone() const noexcept { return zone_; }
  std::span<const name_id> rack() const noexcept { return rack_; }

  /// Names of services.
  name_table& service_names() noexcept { return service_names_; }
  const name_table& service_names() const noexcept { return service_names_; }
  /// Names of regions, zones and racks.
  name_table& place_names() noexcept { return place_names_; }
  const name_table& place_names() const noexcept { return place_names_; }

 private:
  struct pending_assignment {
    assignment_id id = 0;
    core::resources need;
    std::uint64_t made_at_seq = 0;
    bool confirmed = false;
    bool hold = false;
  };

  /// @return true if the rows and names that the heartbeat needs exist or may be added.
  bool HasRoomFor(const wire::agent_heartbeat& heartbeat) const;
  worker_index AddRow(const std::string& id, core::mono_time now);
  bool IsForgettable(worker_index worker, core::mono_time now) const;
  heartbeat_result OnBriefHeartbeat(const wire::agent_heartbeat& heartbeat, core::mono_time now);
  void ApplyDescription(worker_index worker, const wire::agent_heartbeat& heartbeat);
  void ApplyState(worker_index worker, const wire::agent_heartbeat& heartbeat, core::mono_time now);
  void SetIncarnation(worker_index worker, std::uint64_t incarnation);
  void ForgetIncarnation(worker_index worker);
  void ApplyLoads(worker_index worker, const std::vector<wire::service_load>& loads);
  void ApplyServices(worker_index worker, const std::vector<wire::service_load>& loads);
  void ClearServices(worker_index worker);
  void DropIncludedAssignments(worker_index worker, std::uint64_t seq);
  void RecomputeAvailable(worker_index worker);
  assignment_id AddPending(worker_index worker, const core::resources& need, bool hold);
  service_row* MutableService(worker_index worker, name_id service) noexcept;
  void SetFlag(worker_index worker, std::uint8_t flag, bool on) noexcept;

  core::nanoseconds silence_limit_;
  core::nanoseconds forget_after_;
  core::nanoseconds forget_unconfirmed_after_;
  std::size_t max_workers_;
  std::size_t max_names_;
  name_table service_names_;
  name_table place_names_;
  std::unordered_map<std::string, worker_index> by_id_;
  std::unordered_map<std::uint64_t, worker_index> by_incarnation_;
  std::vector<worker_index> free_rows_;
  assignment_id next_assignment_ = 1;

  std::vector<std::uint8_t> flags_;
  std::vector<core::mono_time> last_heartbeat_at_;
  std::vector<core::mono_time> added_at_;
  std::vector<bool> confirmed_;
  std::vector<core::resources> total_;
  std::vector<core::resources> available_;
  std::vector<core::resources> evictable_;
  std::vector<std::uint32_t> slots_total_;
  std::vector<std::uint32_t> slots_free_;
  std::vector<name_id> region_;
  std::vector<name_id> zone_;
  std::vector<name_id> rack_;
  std::vector<worker_identity> identity_;
  std::vector<std::vector<service_row>> services_;
  std::vector<core::resources> reported_free_;
  std::vector<core::resources> released_;
  std::vector<std::vector<pending_assignment>> pending_;
  std::vector<std::vector<worker_index>> targets_;
};

}  // namespace coltsfoot::membership

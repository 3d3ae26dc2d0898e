#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/result_code.h"

namespace coltsfoot::admission {

/// A queued request.
struct waiting_request {
  std::uint64_t id = 0;  ///< unique in the queue
  std::string team;
  core::mono_time deadline;

  bool operator==(const waiting_request&) const = default;
};

/// A request that is rejected or removed without being dispatched; it did not run.
struct refused_request {
  waiting_request request;
  core::result_code code = core::result_code::queue_full;

  bool operator==(const refused_request&) const = default;
};

/// Result of `fair_queue::Admit`.
struct admit_result {
  /// How the caller must handle the new request.
  enum class action : std::uint8_t { dispatch, wait, refuse };
  action decision = action::refuse;
  /// Reason for a refusal: `deadline_unmeetable`, `queue_full` or `fair_share_exceeded`.
  core::result_code code = core::result_code::ok;
  /// A waiting request of a team above its share, removed to admit the new one
  /// (`fair_share_exceeded`).
  std::optional<refused_request> displaced;

  bool operator==(const admit_result&) const = default;
};

/// Result of `fair_queue::Next`.
struct next_result {
  std::optional<waiting_request> dispatch;
  std::vector<refused_request> refused;  ///< can no longer finish before the deadline

  bool operator==(const next_result&) const = default;
};

/// Bounded queue of one service with weighted fair queueing between teams.
///
/// Each team has a virtual time that advances by the time for which its requests occupy targets,
/// divided by its share. The next request comes from the waiting team with the lowest virtual time.
/// A team therefore gets its share regardless of the number and duration of requests, and waits at
/// most until the other teams have used their shares.
///
/// When the queue is full, a request of a team above its share of the queue is refused; a request
/// of a team below its share displaces the newest waiting request of the team farthest above its
/// share. Each operation iterates at most once over the active teams; only `Expire` iterates over
/// the requests.
class fair_queue {
 public:
  /// @param limit maximum number of waiting requests.
  explicit fair_queue(std::size_t limit) : limit_(limit) {}

  /// Decides whether a new request is dispatched, queued or refused. After the decision `wait`,
  /// call `Next` if a target has free capacity.
  /// @param share relative share of the team (`team.request_share`); requests of a team with share
  /// 0 are dispatched only while no other team has waiting requests.
  /// @param service expected service time.
  /// @param target_available true if a target can accept a request now.
  admit_result Admit(waiting_request request, double share, core::nanoseconds service,
                     bool target_available, core::mono_time now);

  /// Dequeues the next request to dispatch. Call when a target has free capacity.
  /// @param service expected service time.
  next_result Next(core::nanoseconds service, core::mono_time now);

  /// Removes waiting requests that can no longer finish before their deadline. Call it
  /// periodically.
  /// @param service expected service time.
  /// @return the removed requests.
  std::vector<refused_request> Expire(core::nanoseconds service, core::mono_time now);

  /// Records the end of a dispatched request of a team. Call once for each request that `Admit` or
  /// `Next` returned for dispatch.
  /// @param occupancy time for which the request occupied targets, summed over all attempts.
  void Finish(const std::string& team, core::nanoseconds occupancy);

  /// Removes a waiting request, for example because its caller has disconnected.
  /// @return false if the request is not in the queue.
  bool Remove(std::uint64_t id);

  /// Changes the limit. Requests that are already waiting stay, even above the new limit.
  void SetLimit(std::size_t limit) noexcept { limit_ = limit; }

  std::size_t size() const noexcept { return positions_.size(); }
  /// @return the number of dispatched requests of a team that have not ended.
  std::uint32_t InFlight(const std::string& team) const;
  /// @return the expected waiting time of a new request of `team`, from the recent dispatch rate.
  core::nanoseconds ExpectedWait(const std::string& team, double share) const;

 private:
  struct team_state {
    double share = 1;
    std::uint32_t in_flight = 0;
    double charged_ns = 0;       ///< expected service time of the requests in flight
    double virtual_time_ns = 0;  ///< occupancy divided by the share
    std::list<waiting_request> waiting;
  };
  using team_map = std::map<std::string, team_state, std::less<>>;
  struct queue_position {
    std::string team;
    std::list<waiting_request>::iterator position;
  };

  team_state& ActivateTeam(const std::string& name, double share);
  bool MakeRoom(team_state& arriving, admit_result& result);
  void Enqueue(waiting_request request, team_state& team);
  waiting_request Dequeue(team_state& team, std::list<waiting_request>::iterator position);
  void Charge(team_state& team, core::nanoseconds service);
  void RecordDispatch(core::mono_time now);
  void RecordRemoval();
  void EraseIfIdle(team_map::iterator team);
  team_map::iterator PickTeam();
  team_map::iterator FarthestTeamAboveShare();
  static bool MayDisplace(const team_state& arriving, const team_state& victim);

  std::size_t limit_;
  team_map teams_;
  std::unordered_map<std::uint64_t, queue_position> positions_;
  double last_virtual_time_ns_ = 0;  ///< team's virtual time at the last dispatch
  core::mono_time last_dispatch_{};
  bool backlog_since_dispatch_ = false;
  double dispatch_interval_ns_ = 0;
};

}  // namespace coltsfoot::admission

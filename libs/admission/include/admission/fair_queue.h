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

/// A request as the queue sees it.
struct waiting_request {
  std::uint64_t id = 0;  ///< unique in the queue
  std::string team;
  core::mono_time deadline;

  bool operator==(const waiting_request&) const = default;
};

/// A request that leaves the queue without being dispatched, and why. It did not run.
struct refused_request {
  waiting_request request;
  core::result_code code = core::result_code::queue_full;

  bool operator==(const refused_request&) const = default;
};

/// Result of `fair_queue::Admit`.
struct admit_result {
  /// What to do with the new request.
  enum class action : std::uint8_t { dispatch, wait, refuse };
  action verdict = action::refuse;
  /// Reason of a refusal: `deadline_unmeetable`, `queue_full` or `fair_share_exceeded`.
  core::result_code code = core::result_code::ok;
  /// A waiting request of a team above its share that had to make room (`fair_share_exceeded`).
  std::optional<refused_request> displaced;

  bool operator==(const admit_result&) const = default;
};

/// Result of `fair_queue::Next`.
struct next_result {
  std::optional<waiting_request> dispatch;
  std::vector<refused_request> refused;  ///< can no longer finish in time

  bool operator==(const next_result&) const = default;
};

/// Bounded queue of one service that divides the service between teams. Each team has a virtual
/// time that grows by the time its requests occupy places, divided by its share; the next request
/// is of the waiting team with the lowest. A team therefore gets its share however many requests
/// it or others send and however long they take, and waits at most until the others have used
/// theirs. When the queue is full, a team above its share of the queue is refused, and a team below
/// it displaces the newest waiting request of the team farthest above. Each operation costs at most
/// one pass over the teams present; only `Expire` passes over the requests.
class fair_queue {
 public:
  /// @param limit most requests that may wait.
  explicit fair_queue(std::size_t limit) : limit_(limit) {}

  /// Decides about a new request. After the verdict `wait`, call `Next` if a place is free.
  /// @param share relative share of the team (`team.request_share`); with 0 its requests are
  /// dispatched only while no other team waits.
  /// @param service expected time to answer.
  /// @param place_free true if a target could take a request now.
  admit_result Admit(waiting_request request, double share, core::nanoseconds service,
                     bool target_available, core::mono_time now);

  /// Takes the next request to dispatch. Call when a place at a target is free.
  next_result Next(core::nanoseconds service, core::mono_time now);

  /// Removes waiting requests that can no longer finish in time. Call from the tick.
  std::vector<refused_request> Expire(core::nanoseconds service, core::mono_time now);

  /// Records the end of a dispatched request of a team. Call once for each request that `Admit`
  /// or `Next` gave to dispatch.
  /// @param occupied time for which the request occupied places at targets, over all attempts.
  void Finish(const std::string& team, core::nanoseconds occupancy);

  /// Removes a waiting request, for example because its caller is gone.
  /// @return false if it does not wait here.
  bool Remove(std::uint64_t id);

  /// Changes the limit; requests that already wait stay.
  void SetLimit(std::size_t limit) noexcept { limit_ = limit; }

  std::size_t size() const noexcept { return positions_.size(); }
  /// @return the number of dispatched requests of a team that have not ended.
  std::uint32_t InFlight(const std::string& team) const;
  /// @return the expected wait of a new request of a team, from the recent rate of dispatch.
  core::nanoseconds ExpectedWait(const std::string& team, double share) const;

 private:
  struct team_state {
    double share = 1;
    std::uint32_t in_flight = 0;
    double charged_ns = 0;       ///< expected time of the requests in flight
    double virtual_time_ns = 0;  ///< occupied time divided by the share
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
  double last_virtual_time_ns_ = 0;  ///< virtual time of the last dispatch
  core::mono_time last_dispatch_{};
  bool backlog_since_dispatch_ = false;
  double dispatch_interval_ns_ = 0;
};

}  // namespace coltsfoot::admission

#include "admission/fair_queue.h"

#include <algorithm>
#include <utility>

#include "admission/service_time.h"

namespace coltsfoot::admission {
namespace {

using core::result_code;

// The dispatch interval follows roughly the last 16 dispatches from a backlog.
constexpr double kSmoothing = 1.0 / 16;
// Smallest share in divisions. It keeps virtual times of teams with a share near zero within the
// range in which a double counts single nanoseconds.
constexpr double kSmallestShare = 1e-3;
// Charge of a request while no service time is known, so that teams still take turns.
constexpr core::nanoseconds kMinCharge = std::chrono::microseconds{100};

double Weight(double share) { return std::max(share, kSmallestShare); }

admit_result Refused(result_code code) {
  return {.verdict = admit_result::action::refuse, .code = code};
}

}  // namespace

admit_result fair_queue::Admit(waiting_request request, double share, core::nanoseconds service,
                               bool place_free, core::mono_time now) {
  const bool at_once = place_free && places_.empty();
  const core::nanoseconds wait = at_once ? core::nanoseconds{0} : ExpectedWait(request.team, share);
  const result_code code = CheckDeadline(request.deadline - now, wait, service);
  if (code != result_code::ok) return Refused(code);

  team_state& team = Activate(request.team, share);
  if (at_once) {
    Charge(team, service);
    NoteDispatch(now);
    return {.verdict = admit_result::action::dispatch};
  }
  admit_result result{.verdict = admit_result::action::wait};
  if (places_.size() >= limit_ && !MakeRoom(team, result)) {
    ForgetIfIdle(teams_.find(request.team));
    return result;
  }
  Enqueue(std::move(request), team);
  return result;
}

bool fair_queue::MakeRoom(team_state& arriving, admit_result& result) {
  const auto victim = FarthestAboveShare();
  if (victim == teams_.end()) {
    result = Refused(result_code::queue_full);
    return false;
  }
  if (!MayDisplace(arriving, victim->second)) {
    const bool alone = arriving.waiting.size() == places_.size();
    const bool above_share = !arriving.waiting.empty() && !alone;
    result = Refused(above_share ? result_code::fair_share_exceeded : result_code::queue_full);
    return false;
  }
  const auto newest = std::prev(victim->second.waiting.end());
  result.displaced =
      refused_request{Dequeue(victim->second, newest), result_code::fair_share_exceeded};
  return true;
}

next_result fair_queue::Next(core::nanoseconds service, core::mono_time now) {
  next_result result;
  while (!places_.empty()) {
    const auto team = PickTeam();
    waiting_request request = Dequeue(team->second, team->second.waiting.begin());
    const result_code code = CheckDeadline(request.deadline - now, {}, service);
    if (code == result_code::ok) {
      Charge(team->second, service);
      NoteDispatch(now);
      result.dispatch = std::move(request);
      return result;
    }
    result.refused.push_back({std::move(request), code});
    ForgetIfIdle(team);
  }
  NoteRemoval();
  return result;
}

std::vector<refused_request> fair_queue::Expire(core::nanoseconds service, core::mono_time now) {
  std::vector<refused_request> expired;
  for (auto team = teams_.begin(); team != teams_.end();) {
    auto& waiting = team->second.waiting;
    for (auto position = waiting.begin(); position != waiting.end();) {
      const auto next = std::next(position);
      const result_code code = CheckDeadline(position->deadline - now, {}, service);
      if (code != result_code::ok) expired.push_back({Dequeue(team->second, position), code});
      position = next;
    }
    ForgetIfIdle(team++);
  }
  NoteRemoval();
  return expired;
}

void fair_queue::Finish(const std::string& team, core::nanoseconds occupied) {
  const auto found = teams_.find(team);
  if (found == teams_.end() || found->second.in_flight == 0) return;
  team_state& state = found->second;
  // Replaces the expected time that was charged at the dispatch by the real one.
  const double charged = state.charged_ns / state.in_flight;
  state.virtual_ns += (static_cast<double>(occupied.count()) - charged) / Weight(state.share);
  state.charged_ns -= charged;
  state.in_flight -= 1;
  ForgetIfIdle(found);
}

bool fair_queue::Remove(std::uint64_t id) {
  const auto found = places_.find(id);
  if (found == places_.end()) return false;
  const auto team = teams_.find(found->second.team);
  Dequeue(team->second, found->second.position);
  NoteRemoval();
  ForgetIfIdle(team);
  return true;
}

std::uint32_t fair_queue::InFlight(const std::string& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.in_flight;
}

core::nanoseconds fair_queue::ExpectedWait(const std::string& team, double share) const {
  if (places_.empty()) return {};
  const auto found = teams_.find(team);
  const double own = found == teams_.end() ? 0 : static_cast<double>(found->second.waiting.size());
  // A team gets its share of the dispatches, at worst after all requests that wait now.
  double sum = Weight(share);
  for (const auto& [name, state] : teams_) {
    if (name != team && !state.waiting.empty()) sum += Weight(state.share);
  }
  const double ahead =
      std::min((own + 1) * sum / Weight(share), static_cast<double>(places_.size()) + 1);
  return core::nanoseconds{static_cast<std::int64_t>(ahead * dispatch_interval_ns_)};
}

void fair_queue::Enqueue(waiting_request request, team_state& team) {
  const std::uint64_t id = request.id;
  std::string name = request.team;
  team.waiting.push_back(std::move(request));
  places_[id] = {std::move(name), std::prev(team.waiting.end())};
}

waiting_request fair_queue::Dequeue(team_state& team,
                                    std::list<waiting_request>::iterator position) {
  waiting_request request = std::move(*position);
  places_.erase(request.id);
  team.waiting.erase(position);
  return request;
}

void fair_queue::Charge(team_state& team, core::nanoseconds service) {
  const auto charge = static_cast<double>(std::max(service, kMinCharge).count());
  // Not the highest virtual time so far: an expected time that turns out too long would then push
  // back every team that becomes active later.
  virtual_now_ns_ = team.virtual_ns;
  team.virtual_ns += charge / Weight(team.share);
  team.charged_ns += charge;
  team.in_flight += 1;
}

void fair_queue::NoteDispatch(core::mono_time now) {
  // Only the time between dispatches with a backlog tells how fast the service takes requests.
  if (backlog_since_dispatch_) {
    const auto interval = static_cast<double>((now - last_dispatch_).count());
    dispatch_interval_ns_ += kSmoothing * (interval - dispatch_interval_ns_);
  }
  last_dispatch_ = now;
  backlog_since_dispatch_ = !places_.empty();
}

void fair_queue::NoteRemoval() {
  if (places_.empty()) backlog_since_dispatch_ = false;
}

fair_queue::team_state& fair_queue::Activate(const std::string& name, double share) {
  team_state& team = teams_[name];
  team.share = share;
  // An idle team saves up no time: it starts where the last dispatch was.
  const bool idle = team.in_flight == 0 && team.waiting.empty();
  if (idle) team.virtual_ns = std::max(team.virtual_ns, virtual_now_ns_);
  return team;
}

void fair_queue::ForgetIfIdle(team_map::iterator team) {
  const team_state& state = team->second;
  // A team that is ahead of the others is kept, or it would start anew after each request.
  const bool ahead = state.virtual_ns > virtual_now_ns_;
  if (state.in_flight == 0 && state.waiting.empty() && !ahead) teams_.erase(team);
}

fair_queue::team_map::iterator fair_queue::PickTeam() {
  const auto comes_before = [](const team_state& left, const team_state& right) {
    const bool left_last = left.share <= 0;
    const bool right_last = right.share <= 0;
    return left_last != right_last ? right_last : left.virtual_ns < right.virtual_ns;
  };
  auto best = teams_.end();
  for (auto team = teams_.begin(); team != teams_.end(); ++team) {
    if (team->second.waiting.empty()) continue;
    if (best == teams_.end() || comes_before(team->second, best->second)) best = team;
  }
  return best;
}

fair_queue::team_map::iterator fair_queue::FarthestAboveShare() {
  auto farthest = teams_.end();
  double most = 0;
  for (auto team = teams_.begin(); team != teams_.end(); ++team) {
    // The last request of a team stays, or a team with a small share would lose it to each arrival
    // and never be served.
    const std::size_t kept = team->second.share > 0 ? 1 : 0;
    if (team->second.waiting.size() <= kept) continue;
    const double load =
        static_cast<double>(team->second.waiting.size()) / Weight(team->second.share);
    if (load > most) {
      most = load;
      farthest = team;
    }
  }
  return farthest;
}

bool fair_queue::MayDisplace(const team_state& arriving, const team_state& victim) {
  if (&arriving == &victim) return false;
  // A team with nothing in the queue gets a place however small its share is, or it would starve
  // behind a full queue.
  if (arriving.waiting.empty() && arriving.share > 0) return true;
  const double after = static_cast<double>(arriving.waiting.size() + 1) / Weight(arriving.share);
  const double present = static_cast<double>(victim.waiting.size()) / Weight(victim.share);
  return after < present;
}

}  // namespace coltsfoot::admission
